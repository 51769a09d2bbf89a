//! Attempts at the sidecar: opened, run, ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use coltsfootnotch_chart::UpstreamEvent;
use coltsfootnotch_fabric::{AttemptStream, PeerId, write_frame};
use coltsfootnotch_router::{RunOutcome, SidecarAction};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, AttemptReply, Begin, BeginCause, ContentKey, FailReason, Message, NotStartedReason,
    ToRelay, Usage,
};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

use super::actor::{SidecarActor, SidecarMsg};
use super::runner::{Cost, Progress, Resumed, Runner, RunnerControl};
use super::upstream_call::{self, UpstreamCall};
use crate::util::events;

/// Parts between the upstream's thread and the attempt's task.
const PART_BUFFER: usize = 32;
/// Time in which an upstream that broke off must take a connection, or it has crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl SidecarActor {
    /// An entry opens an attempt, or takes one up again.
    pub(super) fn on_opened(&mut self, peer: &PeerId, begin: Begin, stream: AttemptStream) {
        if let BeginCause::Resume { from } = begin.cause {
            return self.resume(begin.attempt, from, stream);
        }
        let now = self.cx.now();
        match self.core.try_start(now, &peer.host, &begin) {
            Ok(upstream) => self.run_attempt(begin, &upstream, stream),
            Err(reason) => self.not_started(begin.attempt, reason, stream),
        }
    }

    fn resume(&mut self, attempt: AttemptId, from: u64, stream: AttemptStream) {
        let Some(control) = self.attempts.get(&attempt) else {
            // Its pieces are gone, so whether it ran can't be said from here.
            let (reason, usage) = (FailReason::PiecesGone, Usage::default());
            return self.reply(
                AttemptReply::Failed {
                    attempt,
                    reason,
                    usage,
                },
                stream,
            );
        };
        let resume = control.resume.clone();
        self.cx
            .runtime
            .spawn(async move { resume.send(Resumed { stream, from }).await });
    }

    fn not_started(&self, attempt: AttemptId, reason: NotStartedReason, stream: AttemptStream) {
        let label = [("reason", reason.to_string())];
        self.cx
            .metrics
            .counter("not_started", &[("reason", label[0].1.as_str())])
            .increment(1);
        self.reply(AttemptReply::NotStarted { attempt, reason }, stream);
    }

    fn reply(&self, reply: AttemptReply, mut stream: AttemptStream) {
        self.cx.runtime.spawn(async move {
            if write_frame(&mut stream.send, &reply).await.is_ok() && stream.send.finish().is_ok() {
                let _entry_has_it = stream.send.stopped().await;
            }
        });
    }

    fn run_attempt(&mut self, begin: Begin, upstream: &UpstreamName, stream: AttemptStream) {
        let attempt = begin.attempt;
        let Some(known) = self.upstreams.get(upstream) else {
            let now = self.cx.now();
            self.core
                .finish(now, attempt, ServiceUnits(0), RunOutcome::NotReached);
            return self.not_started(attempt, NotStartedReason::NotReached, stream);
        };
        let cancelled = Arc::new(AtomicBool::new(false));
        let (parts_tx, parts) = mpsc::channel(PART_BUFFER);
        let (resume, resumed) = mpsc::channel(1);
        let wake = Arc::new(Notify::new());
        let control = RunnerControl {
            cancelled: Arc::clone(&cancelled),
            wake,
            resume,
        };
        let call = UpstreamCall {
            agent: self.clients.of_call(begin.repeatable),
            address: known.address,
            attempt,
            deadline: Duration::from_millis(begin.deadline_ms),
            cancelled,
            parts: parts_tx,
            resume_from: 0,
            call: begin.call,
        };
        let runner = Runner {
            attempt,
            upstream: upstream.clone(),
            cost: self.cost_of(&begin.pool, begin.estimate),
            stream: Some(stream),
            parts,
            resumed,
            control: control.clone(),
            tx: self.tx.clone(),
            state: Progress::default(),
        };
        self.attempts.insert(attempt, control);
        self.cx.runtime.spawn_blocking(move || call.run());
        self.cx.runtime.spawn(runner.run());
    }

    fn cost_of(&self, pool: &PoolName, estimate: ServiceUnits) -> Cost {
        let model = self
            .relay
            .config()
            .and_then(|config| config.model(pool.as_str()));
        match model {
            Some(model) => Cost::Tokens(model.token_weights),
            None => Cost::Call(estimate),
        }
    }

    /// The first piece has come.
    pub(super) fn on_first_piece(&mut self, attempt: AttemptId) {
        if let Some(upstream) = self.core.upstream_of(attempt) {
            self.upstreams.fire(upstream, UpstreamEvent::ProbeSucceeded);
        }
        self.core.on_first_chunk(self.cx.now(), attempt);
    }

    /// An attempt has ended at the upstream; its slot is free.
    pub(super) fn on_ended(&mut self, attempt: AttemptId, usage: Usage, outcome: RunOutcome) {
        let now = self.cx.now();
        let upstream = self.core.upstream_of(attempt).cloned();
        if let RunOutcome::Failed(reason) = outcome {
            self.cx.log(
                &events::ATTEMPT_FAILED,
                &[("attempt", &attempt), ("cause", &reason)],
            );
            if let Some(upstream) = &upstream {
                self.after_failure(attempt, upstream, reason);
            }
        }
        self.core.finish(now, attempt, usage.service, outcome);
        if let (RunOutcome::NotReached, Some(upstream)) = (outcome, upstream) {
            self.unreachable(&upstream, UpstreamEvent::ConnectFailed);
        }
    }

    fn after_failure(&mut self, attempt: AttemptId, upstream: &UpstreamName, reason: FailReason) {
        let Some(known) = self.upstreams.get(upstream) else {
            return;
        };
        let address = known.address;
        match reason {
            FailReason::Cancelled if known.capabilities.cancel => {
                let agent = self.clients.of_call(true);
                let cancel = move || upstream_call::cancel(&agent, address, attempt);
                self.cx.runtime.spawn_blocking(cancel);
            }
            FailReason::UpstreamBroke => self.probe(upstream, address),
            _ => {}
        }
    }

    /// Finds out whether an upstream that broke off has crashed. The first attempt to break off has
    /// the others of the same crash still beside it; those that follow are of the same crash.
    fn probe(&mut self, upstream: &UpstreamName, address: SocketAddr) {
        if !self.probing.insert(upstream.clone()) {
            return;
        }
        let suspects = self.core.running_content_keys(upstream);
        let (tx, upstream) = (self.tx.clone(), upstream.clone());
        self.cx.runtime.spawn(async move {
            let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            let crashed = !matches!(connected, Ok(Ok(_)));
            tx.send(SidecarMsg::Probed {
                upstream,
                crashed,
                suspects,
            });
        });
    }

    /// An upstream that broke off was looked at.
    pub(super) fn on_probed(
        &mut self,
        upstream: &UpstreamName,
        crashed: bool,
        suspects: Vec<ContentKey>,
    ) {
        self.probing.remove(upstream);
        if crashed {
            let count = suspects.len();
            self.cx.log(
                &events::UPSTREAM_CRASHED,
                &[("upstream", upstream), ("in_flight", &count)],
            );
            self.unreachable(upstream, UpstreamEvent::Crashed);
            self.core
                .on_upstream_crash(self.cx.now(), upstream, suspects);
        }
    }

    /// Carries out what the core has decided.
    pub(super) fn run_actions(&mut self) {
        let now = self.cx.now();
        for action in self.core.take_actions(now) {
            match action {
                SidecarAction::Send { to, message } => {
                    if let Some((_, tx)) = self.entries.get(&to) {
                        let _sent = tx.send(&Message::FromSidecar(message));
                    }
                }
                SidecarAction::Cancel { attempt } => {
                    if let Some(control) = self.attempts.get(&attempt) {
                        control.cancel();
                    }
                }
            }
        }
    }

    /// Tells the relay what service was given, and whose totals are wanted.
    pub(super) fn report_service(&mut self, now: Duration) {
        let (fair, waits) = self.core.fair_ledger_and_waits();
        if let Some(batch) = self.reports.due(now, fair, || waits.all_accounts()) {
            self.relay.send(ToRelay::Service(batch));
        }
    }
}
