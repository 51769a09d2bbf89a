//! Admits, queues, withdraws and refuses requests.

use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_router::QueuedRequest;
use coltsfootnotch_wire::{Run, ToSidecar};
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;

use super::actor::EntryActor;
use super::requests::Stage;
use super::{ClientRequest, ResponsePart};
use crate::core::Refusal;

impl EntryActor {
    /// Handles a request that was read and validated.
    pub(super) fn on_request(&mut self, req: ClientRequest) {
        match self
            .admission_refusal(&req)
            .or_else(|| self.rate_limit_refusal(&req))
        {
            Some(refusal) => send_refusal(&self.cx.runtime, &req, refusal),
            None => self.enqueue(req),
        }
    }

    /// Adds an admitted request to its queue.
    pub(super) fn enqueue(&mut self, req: ClientRequest) {
        let queued = QueuedRequest {
            request: req.request,
            attempt: 0,
            account: req.account.clone(),
            pool: req.pool.clone(),
            arrived: req.arrived,
            deadline: req.deadline,
            estimate: req.estimate,
            prefix: req.prefix,
            repeatable: req.ledger_key.is_none(),
            avoid: vec![],
        };
        self.admission
            .on_queued(&req.pool, &req.account, req.arrived);
        self.requests.insert(req);
        self.core.submit(queued);
    }

    /// Returns a request to its queue, when its attempt was not started or is to be retried. Ends one whose caller has
    /// left.
    pub(super) fn requeue(&mut self, request: u64, queued: QueuedRequest) {
        if self.requests.get(request).is_some_and(|a| a.caller_left) {
            return self.finish_cancelled(request);
        }
        self.record_queued(request, &queued);
        self.core.requeue(queued);
    }

    /// Returns a crash suspect to its queue with a backoff, since another suspect is running.
    pub(super) fn requeue_with_backoff(&mut self, request: u64, queued: QueuedRequest) {
        self.record_queued(request, &queued);
        self.core.requeue_with_backoff(self.cx.now(), queued);
    }

    fn record_queued(&mut self, request: u64, queued: &QueuedRequest) {
        let now = self.cx.now();
        self.admission.on_queued(&queued.pool, &queued.account, now);
        self.set_stage(request, Stage::Queued);
    }

    /// Handles a closed caller connection.
    pub(super) fn on_caller_disconnected(&mut self, request: u64) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        active.caller_left = true;
        let req = &active.req;
        match &active.stage {
            Stage::Queued => self.withdraw(request),
            Stage::Resolving(unresolved) => {
                if let Some(reread) = unresolved.reread {
                    self.on_caller_disconnected(reread);
                }
                return;
            }
            // What the ledger has of it is finished first.
            _ if req.ledger_key.is_some() => return,
            Stage::Running { chosen, task } => {
                task.abort();
                self.core.on_attempt_ended(&req.account);
                let attempt = chosen.attempt;
                let cancel = ToSidecar::Cancel { attempt };
                self.sidecars.send(&chosen.host, cancel);
            }
            _ => {}
        }
        self.finish_cancelled(request);
    }

    /// Ends a request whose caller has left.
    pub(super) fn finish_cancelled(&mut self, request: u64) {
        self.requests
            .fire(request, RequestEvent::CallerDisconnected);
        self.requests.remove(request);
    }

    fn withdraw(&mut self, request: u64) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let (pool, account) = (&active.req.pool, &active.req.account);
        if self.core.withdraw(pool, account, request).is_some() {
            self.admission.on_removed(pool, account);
        }
    }

    /// Finishes a request with a refusal.
    pub(super) fn finish_failed(&mut self, request: u64, refusal: Refusal) {
        let Some(active) = self.requests.remove(request) else {
            return;
        };
        // A caller may retry a request on another host if it is refused as not run.
        let is_run_consistent = refusal.run != Run::No || active.run_status() == Run::No;
        assert!(
            is_run_consistent,
            "request {request} may have run and is refused as not run"
        );
        send_refusal(&self.cx.runtime, &active.req, refusal);
    }
}

/// Sends a refusal to the caller, before or during the response.
pub(super) fn send_refusal(runtime: &Handle, req: &ClientRequest, refusal: Refusal) {
    let response = req.response.clone();
    if let Err(TrySendError::Full(part)) = response.try_send(ResponsePart::Failed(refusal)) {
        // A slow caller has a full channel and must still receive the end of its stream.
        runtime.spawn(async move { response.send(part).await });
    }
}
