//! Handlers of the actor for attempts, which start, run and finish.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use coltsfootnotch_chart::UpstreamEvent;
use coltsfootnotch_fabric::{AttemptStream, PeerId, write_frame};
use coltsfootnotch_router::{InFlightRequests, RunOutcome, SidecarAction};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, AttemptReply, FailReason, Message, NotStartedReason, OpenAttempt, OpenCause,
    ToRelay, Usage,
};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

use super::actor::{SidecarActor, SidecarMsg};
use super::runner::{Cost, ResumeRequest, Runner, RunnerHandle, RunnerState};
use super::upstream_call::{self, UpstreamCall};
use crate::util::events;

/// Capacity of the channel from the thread of the upstream call to the task of the attempt.
const PART_CHANNEL_CAPACITY: usize = 32;
/// Time to accept a connection after a broken response; an upstream that doesn't has crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl SidecarActor {
    /// Handles a stream on which an entry starts or resumes an attempt.
    pub(super) fn on_attempt_opened(
        &mut self,
        peer: &PeerId,
        open: OpenAttempt,
        stream: AttemptStream,
    ) {
        if let OpenCause::Resume { from } = open.cause {
            return self.resume(open.attempt, from, stream);
        }
        let now = self.cx.now();
        match self.core.try_start(now, &peer.host, &open) {
            Ok(upstream) => self.run_attempt(open, &upstream, stream),
            Err(reason) => self.reply_not_started(open.attempt, reason, stream),
        }
    }

    fn resume(&mut self, attempt: AttemptId, from: u64, stream: AttemptStream) {
        let Some(runner) = self.attempts.get(&attempt) else {
            // Its chunks are lost, so whether it ran is unknown here.
            let (reason, usage) = (FailReason::ChunksDiscarded, Usage::default());
            return self.reply(
                AttemptReply::Failed {
                    attempt,
                    reason,
                    usage,
                },
                stream,
            );
        };
        let resume = runner.resume.clone();
        self.cx
            .runtime
            .spawn(async move { resume.send(ResumeRequest { stream, from }).await });
    }

    fn reply_not_started(
        &self,
        attempt: AttemptId,
        reason: NotStartedReason,
        stream: AttemptStream,
    ) {
        let label = [("reason", reason.to_string())];
        self.cx
            .metrics
            .counter("not_started", &[("reason", label[0].1.as_str())])
            .increment(1);
        self.reply(AttemptReply::NotStarted { attempt, reason }, stream);
    }

    fn reply(&self, reply: AttemptReply, mut stream: AttemptStream) {
        let in_progress = Arc::clone(&self.replies_in_progress);
        self.cx.runtime.spawn(async move {
            if write_frame(&mut stream.send, &reply).await.is_ok() && stream.send.finish().is_ok() {
                let _acknowledged = stream.send.stopped().await;
            }
            drop(in_progress);
        });
    }

    fn run_attempt(&mut self, open: OpenAttempt, upstream: &UpstreamName, stream: AttemptStream) {
        let attempt = open.attempt;
        let Some(entry) = self.upstreams.get(upstream) else {
            let now = self.cx.now();
            self.core
                .finish(now, attempt, ServiceUnits(0), RunOutcome::NotReached);
            return self.reply_not_started(attempt, NotStartedReason::NotReached, stream);
        };
        let cancelled = Arc::new(AtomicBool::new(false));
        let (parts_tx, parts) = mpsc::channel(PART_CHANNEL_CAPACITY);
        let (resume, resume_requests) = mpsc::channel(1);
        let cancel_notify = Arc::new(Notify::new());
        let handle = RunnerHandle {
            cancelled: Arc::clone(&cancelled),
            cancel_notify,
            resume,
        };
        let call = UpstreamCall {
            agent: self.clients.for_call(open.repeatable),
            address: entry.address,
            attempt,
            deadline: Duration::from_millis(open.deadline_ms),
            cancelled,
            parts: parts_tx,
            resume_from: 0,
            call: open.call,
        };
        let runner = Runner {
            attempt,
            upstream: upstream.clone(),
            cost: self.cost_of(&open.pool, open.estimate),
            stream: Some(stream),
            parts,
            resume_requests,
            handle: handle.clone(),
            tx: self.tx.clone(),
            state: RunnerState::default(),
        };
        self.attempts.insert(attempt, handle);
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

    /// Handles the first chunk of a response.
    pub(super) fn on_first_chunk(&mut self, attempt: AttemptId) {
        if let Some(upstream) = self.core.upstream_of(attempt) {
            self.upstreams.fire(upstream, UpstreamEvent::ProbeSucceeded);
        }
        self.core.on_first_chunk(self.cx.now(), attempt);
    }

    /// Handles a refusal with which an upstream asks for no requests for a time.
    pub(super) fn on_backoff_requested(&mut self, attempt: AttemptId, time: Duration) {
        let Some(upstream) = self.core.upstream_of(attempt).cloned() else {
            return;
        };
        if self
            .core
            .on_backoff_requested(self.cx.now(), &upstream, time)
        {
            let time_ms = time.as_millis();
            self.cx.log(
                &events::UPSTREAM_BACKOFF_REQUESTED,
                &[("upstream", &upstream), ("retry_after_ms", &time_ms)],
            );
        }
    }

    /// Handles the end of the upstream call of an attempt, which frees its slot.
    pub(super) fn on_attempt_finished(
        &mut self,
        attempt: AttemptId,
        usage: Usage,
        outcome: RunOutcome,
    ) {
        let now = self.cx.now();
        let upstream = self.core.upstream_of(attempt).cloned();
        if let RunOutcome::Failed(reason) = outcome {
            self.cx.log(
                &events::ATTEMPT_FAILED,
                &[("attempt", &attempt), ("cause", &reason)],
            );
            if let Some(upstream) = &upstream {
                self.on_attempt_failed(attempt, upstream, reason);
            }
        }
        self.core.finish(now, attempt, usage.service, outcome);
        if let (RunOutcome::NotReached, Some(upstream)) = (outcome, upstream) {
            self.mark_unreachable(&upstream, UpstreamEvent::ConnectFailed);
        }
    }

    fn on_attempt_failed(
        &mut self,
        attempt: AttemptId,
        upstream: &UpstreamName,
        reason: FailReason,
    ) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let address = entry.address;
        match reason {
            FailReason::Cancelled if entry.capabilities.cancel => {
                let agent = self.clients.for_call(true);
                let cancel = move || upstream_call::cancel(&agent, address, attempt);
                self.cx.runtime.spawn_blocking(cancel);
            }
            FailReason::UpstreamAborted => self.probe(upstream, address),
            _ => {}
        }
    }

    /// Checks whether an upstream has crashed after a broken response. Only the first broken
    /// attempt starts a probe, while other attempts of the same crash are still listed as running.
    fn probe(&mut self, upstream: &UpstreamName, address: SocketAddr) {
        if !self.probing.insert(upstream.clone()) {
            return;
        }
        let requests = self.core.running_requests(upstream);
        let (tx, upstream) = (self.tx.clone(), upstream.clone());
        self.cx.runtime.spawn(async move {
            let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            let crashed = !matches!(connected, Ok(Ok(_)));
            tx.send(SidecarMsg::ProbeFinished {
                upstream,
                crashed,
                requests,
            });
        });
    }

    /// Handles the result of a probe.
    pub(super) fn on_probe_finished(
        &mut self,
        upstream: &UpstreamName,
        crashed: bool,
        requests: InFlightRequests,
    ) {
        self.probing.remove(upstream);
        if crashed {
            let count = requests.keys.len();
            self.cx.log(
                &events::UPSTREAM_CRASHED,
                &[("upstream", upstream), ("in_flight", &count)],
            );
            self.mark_unreachable(upstream, UpstreamEvent::Crashed);
            self.core
                .on_upstream_crash(self.cx.now(), upstream, requests);
        }
    }

    /// Executes the actions that the core has decided on.
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
                    if let Some(runner) = self.attempts.get(&attempt) {
                        runner.cancel();
                    }
                }
            }
        }
    }

    /// Reports the provided service and the watched accounts to the relay.
    pub(super) fn report_service(&mut self, now: Duration) {
        let (fair, waits) = self.core.fair_ledger_and_waits();
        if let Some(batch) = self.reports.take_due(now, fair, || waits.all_accounts()) {
            self.relay.send(ToRelay::Service(batch));
        }
    }
}
