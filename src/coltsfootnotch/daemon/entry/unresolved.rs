//! Resolves an earlier attempt of the same call that is still open in the ledger.
//!
//! The sidecar run that was to dispatch the attempt is queried first. If it never will, the attempt
//! is closed and the call starts again. If it did, or can't be reached, the reread call of the
//! manifest looks up the result by the idempotency key, and the result is recorded as the outcome.
//! Without a result the upstream may still be working on the call, so the response says that the
//! outcome is unknown.

use std::time::Duration;

use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_manifest::Reread;
use coltsfootnotch_state::{AttemptId as LedgerAttempt, ClosedBy, ProcessId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, Call, ToSidecar};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use super::actor::{EntryActor, EntryMsg};
use super::attempt_result::CollectedResponse;
use super::ledger_ops;
use super::proposals::Purpose;
use super::requests::{ChosenSlot, Stage, UnresolvedAttempt};
use super::{ClientRequest, ResponsePart};
use crate::core::{Refusal, RefusalKind};

/// Time to resolve an earlier attempt before its outcome is reported as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry-After when an outcome is unknown or the ledger can't be written.
pub(super) const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Buffered response parts of a reread call: the head, the body and the end.
const REREAD_RESPONSE_PARTS: usize = 4;

impl EntryActor {
    /// Starts to resolve an attempt of the call that is still open in the ledger.
    pub(super) fn resolve_earlier(
        &mut self,
        chosen: ChosenSlot,
        earlier: LedgerAttempt,
        sidecar: &ProcessId,
    ) {
        let request = chosen.queued.request;
        let attempt = ledger_ops::to_wire_attempt(earlier);
        let is_local = attempt.entry == self.cx.identity.incarnation;
        if is_local && self.requests.get(attempt.request).is_some() {
            let refusal = Refusal::unknown(RefusalKind::InProgress).retry_after(LEDGER_RETRY_AFTER);
            self.requests.fire(request, RequestEvent::OtherAttemptOpen);
            return self.finish_failed(request, refusal);
        }
        let reachable = self.sidecars.incarnation_of(&sidecar.host) == Some(sidecar.incarnation);
        let unresolved = UnresolvedAttempt {
            queued: chosen.queued,
            earlier: attempt,
            sidecar: sidecar.clone(),
            reread: None,
            deadline: self.cx.now() + RESOLVE_TIMEOUT,
        };
        self.requests.fire(request, RequestEvent::OtherAttemptOpen);
        self.set_stage(request, Stage::Resolving(Box::new(unresolved)));
        if reachable {
            self.sidecars
                .send(&sidecar.host, ToSidecar::CloseAttempt { attempt });
        } else {
            self.reread(request);
        }
    }

    /// Handles the reply of a sidecar; `never` means that it won't dispatch the attempt.
    pub(super) fn on_attempt_closed(
        &mut self,
        from: &HostName,
        attempt: AttemptId,
        never_dispatched: bool,
    ) {
        let of_attempt = |unresolved: &UnresolvedAttempt| {
            unresolved.earlier == attempt && unresolved.sidecar.host == *from
        };
        let requests: Vec<u64> = self
            .requests
            .unresolved()
            .filter(|(_, unresolved)| of_attempt(unresolved))
            .map(|(request, _)| request)
            .collect();
        for request in requests {
            if never_dispatched {
                self.close_earlier(request);
            } else {
                self.reread(request);
            }
        }
    }

    fn close_earlier(&mut self, request: u64) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Stage::Resolving(unresolved) = &active.stage else {
            return;
        };
        let Some(key) = &active.req.ledger_key else {
            return;
        };
        let by = ClosedBy::Sidecar(unresolved.sidecar.clone());
        let op = ledger_ops::close(&active.req.account, key, unresolved.earlier, by);
        let now = self.cx.now();
        if self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::CloseEarlier, op)
            .is_none()
        {
            self.fail_unresolved(request);
        }
    }

    /// Handles the reply to the close of the earlier attempt; the call is then queued again.
    pub(super) fn on_earlier_closed(&mut self, request: u64, closed: bool) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Resolving(unresolved) = &active.stage else {
            return;
        };
        if !closed {
            return self.fail_unresolved(request);
        }
        let queued = unresolved.queued.clone();
        active.fire(RequestEvent::ResolvedNotRun);
        self.requeue(request, queued);
    }

    /// Looks up the result by the idempotency key, if the manifest defines a reread call.
    fn reread(&mut self, request: u64) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let req = &active.req;
        let service = req.config.service(req.pool.as_str());
        let reread = service.and_then(|service| service.reread.as_ref());
        let key = req.call.idempotency_key.as_deref();
        let (Some(reread), Some(key)) = (reread, key) else {
            return self.fail_unresolved(request);
        };
        if active.caller_left {
            return self.fail_unresolved(request);
        }
        let (response, parts) = mpsc::channel(REREAD_RESPONSE_PARTS);
        let number = self.next_request_number();
        let reread_req = reread_request(req, reread, key, number, self.cx.now(), response);
        let tx = self.tx.clone();
        self.cx.runtime.spawn(async move {
            let response = collect_response(parts).await;
            tx.send(EntryMsg::RereadFinished { request, response });
        });
        if let Some(active) = self.requests.get_mut(request)
            && let Stage::Resolving(unresolved) = &mut active.stage
        {
            unresolved.reread = Some(number);
        }
        self.enqueue(reread_req);
    }

    /// Handles the end of a reread call.
    pub(super) fn on_reread_finished(&mut self, request: u64, response: Option<CollectedResponse>) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Stage::Resolving(unresolved) = &active.stage else {
            return;
        };
        let found = response.filter(|response| (200..300).contains(&response.status));
        let (Some(found), Some(key)) = (found, &active.req.ledger_key) else {
            return self.fail_unresolved(request);
        };
        let op = ledger_ops::resolve(&active.req.account, key, unresolved.earlier, &found);
        let now = self.cx.now();
        if self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Resolve, op)
            .is_none()
        {
            return self.fail_unresolved(request);
        }
        if let Some(active) = self.requests.get_mut(request) {
            active.fire(RequestEvent::OutcomeReceived);
            active.stage = Stage::Recording { response: found };
        }
    }

    /// Fails the requests whose earlier attempt could not be resolved in time.
    pub(super) fn expire_unresolved(&mut self, now: Duration) {
        let expired: Vec<u64> = self
            .requests
            .unresolved()
            .filter(|(_, unresolved)| unresolved.deadline <= now)
            .map(|(request, _)| request)
            .collect();
        expired
            .into_iter()
            .for_each(|request| self.fail_unresolved(request));
    }

    fn fail_unresolved(&mut self, request: u64) {
        let refusal = Refusal::unknown(RefusalKind::InDoubt).retry_after(LEDGER_RETRY_AFTER);
        self.finish_failed(request, refusal);
    }
}

/// Builds the reread call as a separate request.
fn reread_request(
    req: &ClientRequest,
    reread: &Reread,
    key: &str,
    request: u64,
    now: Duration,
    response: mpsc::Sender<ResponsePart>,
) -> ClientRequest {
    let call = Call {
        method: reread.method.to_string(),
        path: reread.path.fill("key", key),
        content_type: None,
        idempotency_key: None,
        body: vec![],
        stream: false,
    };
    ClientRequest {
        request,
        account: req.account.clone(),
        pool: req.pool.clone(),
        arrived: now,
        deadline: now + RESOLVE_TIMEOUT,
        estimate: req.estimate,
        prefix: 0,
        // Differs from the content of the call, which must not become a suspect of reread crashes.
        content: Sha256::digest(reread.path.fill("key", key)).into(),
        ledger_key: None,
        call,
        config: std::sync::Arc::clone(&req.config),
        response,
    }
}

/// Collects a complete response; none if the request failed.
async fn collect_response(mut parts: mpsc::Receiver<ResponsePart>) -> Option<CollectedResponse> {
    let mut response = CollectedResponse::default();
    loop {
        match parts.recv().await? {
            ResponsePart::Head {
                status,
                content_type,
                ends_with_connection,
            } => {
                response.status = status;
                response.content_type = content_type;
                response.ends_with_connection = ends_with_connection;
            }
            ResponsePart::Chunk(chunk) => response.body.extend_from_slice(&chunk),
            ResponsePart::End => return Some(response),
            ResponsePart::Failed(_) => return None,
        }
    }
}
