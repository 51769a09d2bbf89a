//! Attempts at the sidecar: opened, run, ended.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use coltsfootnotch_fabric::{AttemptStream, PeerId, write_frame};
use coltsfootnotch_router::SidecarAction;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, AttemptReply, Begin, BeginCause, FailReason, Message, NotStartedReason,
    ServiceBatch, ToRelay, Usage,
};
use tokio::sync::{Notify, mpsc};

use super::actor::SidecarActor;
use super::runner::{Cost, Progress, Resumed, Runner, RunnerControl};
use super::upstream_call::{self, UpstreamCall};
use crate::util::events;

/// Parts between the upstream's thread and the attempt's task.
const PART_BUFFER: usize = 32;
/// Time between two reports of service: what hosts know of each other's service is at most about
/// this old, twice over (host to relay, relay to host).
const REPORT_EVERY: Duration = Duration::from_millis(100);

impl SidecarActor {
    /// An entry opens an attempt, or takes one up again.
    pub(super) fn on_opened(&mut self, peer: &PeerId, begin: Begin, stream: AttemptStream) {
        if let BeginCause::Resume { from } = begin.cause {
            return self.resume(begin.attempt, from, stream);
        }
        let now = self.cx.now();
        match self.core.begin(now, &peer.host, &begin) {
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
            self.core.finish(attempt, ServiceUnits(0));
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
            agent: self.agent.clone(),
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
        self.core.first_piece(self.cx.now(), attempt);
    }

    /// An attempt has ended at the upstream; its slot is free.
    pub(super) fn on_ended(
        &mut self,
        attempt: AttemptId,
        usage: Usage,
        failed: Option<FailReason>,
    ) {
        if let Some(reason) = failed {
            self.cx.log(
                &events::ATTEMPT_FAILED,
                &[("attempt", &attempt), ("cause", &reason)],
            );
        }
        let upstream = self.core.upstream_of(attempt).cloned();
        self.core.finish(attempt, usage.service);
        let cancelled = failed == Some(FailReason::Cancelled);
        let known = upstream.and_then(|upstream| self.upstreams.get(&upstream));
        if let Some(known) = known.filter(|known| cancelled && known.capabilities.cancel) {
            let (agent, address) = (self.agent.clone(), known.address);
            self.cx
                .runtime
                .spawn_blocking(move || upstream_call::cancel(&agent, address, attempt));
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
        if now < self.service_sent + REPORT_EVERY {
            return;
        }
        self.service_sent = now;
        let watched = self.core.watched();
        let served = self.core.served_mut().take_unsent();
        if served.is_empty() && watched.is_empty() {
            return;
        }
        self.service_batch += 1;
        let batch = ServiceBatch {
            seq: self.service_batch,
            served,
            watched,
        };
        self.relay.send(ToRelay::Service(batch));
    }
}
