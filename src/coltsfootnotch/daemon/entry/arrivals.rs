//! Requests come in, are queued, withdrawn, and refused.

use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_router::QueuedRequest;
use coltsfootnotch_wire::{Run, ToSidecar};
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;

use super::actor::EntryActor;
use super::requests::Stage;
use super::{Arrival, ReplyPart};
use crate::core::Refusal;

impl EntryActor {
    /// A request that was read and checked.
    pub(super) fn on_arrive(&mut self, arrival: Arrival) {
        match self
            .refusal_of(&arrival)
            .or_else(|| self.rate_refusal(&arrival))
        {
            Some(refusal) => refuse(&self.cx.runtime, &arrival, refusal),
            None => self.let_in(arrival),
        }
    }

    /// Queues a request.
    pub(super) fn let_in(&mut self, arrival: Arrival) {
        let waiting = QueuedRequest {
            request: arrival.request,
            attempt: 0,
            account: arrival.account.clone(),
            pool: arrival.pool.clone(),
            arrived: arrival.arrived,
            deadline: arrival.deadline,
            estimate: arrival.estimate,
            prefix: arrival.prefix,
            repeatable: arrival.booking.is_none(),
            avoid: vec![],
        };
        self.admission
            .on_queued(&arrival.pool, &arrival.account, arrival.arrived);
        self.requests.insert(arrival);
        self.core.submit(waiting);
    }

    /// Queues a request again whose attempt was not started, or is made again.
    pub(super) fn wait_again(&mut self, request: u64, waiting: QueuedRequest) {
        self.note_queued(request, &waiting);
        self.core.requeue(waiting);
    }

    /// A suspect of crashes waits for a while before it is tried again: another suspect runs.
    pub(super) fn hold_back(&mut self, request: u64, waiting: QueuedRequest) {
        self.note_queued(request, &waiting);
        self.core.requeue_with_backoff(self.cx.now(), waiting);
    }

    fn note_queued(&mut self, request: u64, waiting: &QueuedRequest) {
        let now = self.cx.now();
        self.admission
            .on_queued(&waiting.pool, &waiting.account, now);
        self.set_stage(request, Stage::Waiting);
    }

    /// The caller has closed its connection.
    pub(super) fn on_caller_gone(&mut self, request: u64) {
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let arrival = &in_progress.arrival;
        match &in_progress.stage {
            Stage::Waiting => self.withdraw(request),
            // What may not be repeated goes on to its end, so that its outcome is recorded.
            _ if arrival.booking.is_some() => return,
            Stage::Running { chosen, task } => {
                task.abort();
                self.core.on_attempt_ended(&arrival.account);
                let attempt = chosen.attempt;
                let cancel = ToSidecar::Cancel { attempt };
                self.sidecars.send(&chosen.host, cancel);
            }
            _ => {}
        }
        self.requests
            .fire(request, RequestEvent::CallerDisconnected);
        self.requests.remove(request);
    }

    fn withdraw(&mut self, request: u64) {
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let (pool, account) = (&in_progress.arrival.pool, &in_progress.arrival.account);
        if self.core.withdraw(pool, account, request).is_some() {
            self.admission.on_removed(pool, account);
        }
    }

    /// Ends a request that gets no answer.
    pub(super) fn finish_failed(&mut self, request: u64, refusal: Refusal) {
        let Some(in_progress) = self.requests.remove(request) else {
            return;
        };
        // A caller that is told so may run the request elsewhere: it must be true.
        let truly_not_run = refusal.run != Run::No || in_progress.run() == Run::No;
        assert!(
            truly_not_run,
            "request {request} may have run and is refused as not run"
        );
        refuse(&self.cx.runtime, &in_progress.arrival, refusal);
    }
}

/// Tells a caller that it gets no answer, or no more of it.
pub(super) fn refuse(runtime: &Handle, arrival: &Arrival, refusal: Refusal) {
    let reply = arrival.reply.clone();
    if let Err(TrySendError::Full(part)) = reply.try_send(ReplyPart::Failed(refusal)) {
        // The caller is slow; the explicit end of its stream must not be lost for that.
        runtime.spawn(async move { reply.send(part).await });
    }
}
