//! Starts attempts, handles their results and finishes requests with a response.

use bytes::Bytes;
use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_decide::retry::{FailedAttempt, may_retry};
use coltsfootnotch_state::{ClosedBy, Outcome, ProcessId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, FailReason, NotStartedReason, OpenAttempt, OpenCause, Run, ToSidecar, Usage,
};

use super::ResponsePart;
use super::actor::{EntryActor, EntryMsg};
use super::attempt_result::{AttemptResult, CollectedResponse};
use super::attempt_task::AttemptTask;
use super::ledger_ops;
use super::proposals::Purpose;
use super::requests::{ActiveRequest, ChosenSlot, Stage};
use super::unresolved::LEDGER_RETRY_AFTER;
use crate::core::{Refusal, RefusalKind};
use crate::util::events;

/// Histogram of the time between the chunks of a response, by account.
const TOKEN_GAP_METRIC: &str = "account_token_gap_seconds";

impl EntryActor {
    /// Starts a repeatable request at once; commits the intent of a non-repeatable one first.
    pub(super) fn on_slot_chosen(&mut self, chosen: ChosenSlot) {
        let request = chosen.queued.request;
        let Some(active) = self.requests.get(request) else {
            return self.release_slot(&chosen);
        };
        let Some(key) = &active.req.ledger_key else {
            self.requests.fire(request, RequestEvent::AttemptSent);
            return self.start_attempt(chosen);
        };
        let op = ledger_ops::intent(&active.req.account, key, &chosen);
        let now = self.cx.now();
        let proposed = self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Intent, op);
        if proposed.is_none() {
            self.release_slot(&chosen);
            let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(LEDGER_RETRY_AFTER);
            return self.finish_failed(request, refusal);
        }
        self.requests.fire(request, RequestEvent::SlotChosen);
        self.set_stage(request, Stage::CommittingIntent(Box::new(chosen)));
    }

    /// Releases a chosen slot that is not used.
    pub(super) fn release_slot(&mut self, chosen: &ChosenSlot) {
        self.core.on_attempt_ended(&chosen.queued.account);
        if let OpenCause::Pull { pull } = chosen.cause {
            self.sidecars.send(&chosen.host, ToSidecar::NoWork { pull });
        }
    }

    pub(super) fn set_stage(&mut self, request: u64, stage: Stage) {
        if let Some(active) = self.requests.get_mut(request) {
            active.stage = stage;
        }
    }

    pub(super) fn start_attempt(&mut self, chosen: ChosenSlot) {
        let request = chosen.queued.request;
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Some(link) = self.sidecars.subscribe(&chosen.host) else {
            self.core.on_attempt_ended(&chosen.queued.account);
            return self.on_not_started(chosen, &AttemptResult::NotSent);
        };
        let req = &active.req;
        let now = self.cx.now();
        let remaining = req.deadline.saturating_sub(now);
        let open = OpenAttempt {
            attempt: chosen.attempt,
            cause: chosen.cause,
            account: req.account.clone(),
            pool: req.pool.clone(),
            sidecar: chosen.sidecar,
            content: req.content,
            prefix: req.prefix,
            repeatable: req.ledger_key.is_none(),
            suspected_of: self.suspects.suspected_of(now, req),
            estimate: req.estimate,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            call: req.call.clone(),
        };
        let task = AttemptTask {
            cx: self.cx.clone(),
            open,
            link,
            response: req.response.clone(),
            stream: req.call.stream,
            write_timeout: self.cfg.limits.write_timeout(),
            next_seq: 0,
            collected: CollectedResponse::default(),
            first_chunk_at: None,
            last_chunk_at: None,
            chunk_gaps: self
                .cx
                .metrics
                .account_histogram(TOKEN_GAP_METRIC, &req.account),
            upstream: None,
        };
        let queue_wait = now.saturating_sub(req.arrived);
        self.cx
            .metrics
            .account_seconds("account_wait_seconds", &req.account, queue_wait);
        let (tx, attempt) = (self.tx.clone(), chosen.attempt);
        let running = self.cx.runtime.spawn(async move {
            let result = task.run().await;
            tx.send(EntryMsg::AttemptEnded { attempt, result });
        });
        let task = running.abort_handle();
        active.stage = Stage::Running {
            chosen: Box::new(chosen),
            task,
        };
    }

    /// Records that the prefix of the request's prompt crashed no upstream.
    fn on_answered(&mut self, chosen: &ChosenSlot) {
        let now = self.cx.now();
        if let Some(active) = self.requests.get_mut(chosen.queued.request) {
            let req = &active.req;
            self.suspects.on_answer(now, &req.pool, req.prefix);
        }
    }

    /// Handles the result of an attempt; a result of any but the running attempt is ignored.
    pub(super) fn on_attempt_ended(&mut self, attempt: AttemptId, result: AttemptResult) {
        let Some(chosen) = self.requests.running(attempt).cloned() else {
            return;
        };
        self.core.on_attempt_ended(&chosen.queued.account);
        match result {
            AttemptResult::NotSent | AttemptResult::NotStarted(_) => {
                self.on_not_started(chosen, &result);
            }
            AttemptResult::Done {
                usage,
                collected,
                first_chunk_at,
            } => {
                self.on_answered(&chosen);
                self.on_done(&chosen, usage, collected, first_chunk_at);
            }
            AttemptResult::Failed {
                reason,
                delivered,
                upstream,
            } => {
                self.cx.log(
                    &events::ATTEMPT_FAILED,
                    &[("attempt", &attempt), ("cause", &reason)],
                );
                let kind = match reason {
                    FailReason::UpstreamTimeout => RefusalKind::UpstreamTimeout,
                    FailReason::ChunksDiscarded => RefusalKind::ConnectionLost,
                    FailReason::UpstreamAborted | FailReason::Cancelled => {
                        RefusalKind::UpstreamFailed
                    }
                };
                self.on_failed(chosen, kind, delivered, upstream);
            }
            AttemptResult::ConnectionLost {
                delivered,
                upstream,
            } => {
                self.on_failed(chosen, RefusalKind::ConnectionLost, delivered, upstream);
            }
            AttemptResult::CallerStalled => {
                self.sidecars
                    .send(&chosen.host, ToSidecar::Cancel { attempt });
                let refusal = Refusal {
                    run: Run::Yes,
                    ..Refusal::unknown(RefusalKind::ConnectionLost)
                };
                self.finish_failed(attempt.request, refusal);
            }
        }
    }

    /// Queues a request again whose attempt was not started; a non-repeatable one once the ledger
    /// has closed the attempt.
    fn on_not_started(&mut self, mut chosen: ChosenSlot, result: &AttemptResult) {
        let request = chosen.queued.request;
        if matches!(
            result,
            AttemptResult::NotStarted(NotStartedReason::NotReached | NotStartedReason::Leaving)
        ) {
            chosen.queued.avoid.push(chosen.host.clone());
        }
        self.requests.fire(request, RequestEvent::NotStarted);
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Some(key) = active.req.ledger_key.clone() else {
            if let AttemptResult::NotStarted(NotStartedReason::OtherSuspect) = result {
                return self.requeue_with_backoff(request, chosen.queued);
            }
            return self.requeue(request, chosen.queued);
        };
        let by = match result {
            AttemptResult::NotSent => ClosedBy::Entry(self.cx.identity.incarnation),
            _ => ClosedBy::Sidecar(ProcessId {
                host: chosen.host.clone(),
                incarnation: chosen.sidecar,
            }),
        };
        let account = active.req.account.clone();
        let op = ledger_ops::close(&account, &key, chosen.attempt, by);
        let now = self.cx.now();
        let proposed = self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Close, op);
        if proposed.is_none() {
            let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(LEDGER_RETRY_AFTER);
            return self.finish_failed(request, refusal);
        }
        self.set_stage(request, Stage::Closing(Box::new(chosen)));
    }

    fn on_done(
        &mut self,
        chosen: &ChosenSlot,
        usage: Usage,
        collected: Option<CollectedResponse>,
        first_chunk_at: Option<std::time::Duration>,
    ) {
        let request = chosen.queued.request;
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let req = &active.req;
        let account = req.account.clone();
        self.cx.metrics.account_service(&account, usage.service.0);
        if let Some(first_chunk_at) = first_chunk_at {
            let first_token = first_chunk_at.saturating_sub(req.arrived);
            self.cx
                .metrics
                .account_seconds("account_first_token_seconds", &account, first_token);
        }
        if chosen.queued.attempt == 0 {
            self.retry_budget.on_success(self.cx.now());
        }
        let Some(response) = collected else {
            return self.finish_streamed(request);
        };
        let Some(key) = req.ledger_key.clone() else {
            self.requests.fire(request, RequestEvent::Finished);
            return self.finish_with_response(request, &response);
        };
        self.requests.fire(request, RequestEvent::OutcomeReceived);
        let op = ledger_ops::outcome(&account, &key, chosen.attempt, &response);
        let now = self.cx.now();
        let proposed = self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Outcome, op);
        self.set_stage(request, Stage::Recording { response });
        if proposed.is_none() {
            self.on_outcome_reply(request, false);
        }
    }

    /// Retries a failed attempt on another host if allowed; otherwise fails the request.
    fn on_failed(
        &mut self,
        mut chosen: ChosenSlot,
        kind: RefusalKind,
        delivered: bool,
        upstream: Option<UpstreamName>,
    ) {
        let request = chosen.queued.request;
        let now = self.cx.now();
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        active.failed_on.extend(upstream);
        if delivered {
            active.fire(RequestEvent::AnswerStarted);
        }
        let attempt = FailedAttempt {
            repeatable: active.req.ledger_key.is_none(),
            answer_started: delivered,
            failed_on: &active.failed_on,
            deadline: Some(active.req.deadline),
        };
        if may_retry(&attempt, &mut self.retry_budget, now).is_ok() {
            chosen.queued.avoid.push(chosen.host.clone());
            active.fire(RequestEvent::Retried);
            return self.requeue(request, chosen.queued);
        }
        let run = active.run_status();
        if active.req.ledger_key.is_some() {
            active.fire(RequestEvent::OutcomeLost);
            self.cx
                .log(&events::OUTCOME_UNKNOWN, &[("attempt", &chosen.attempt)]);
        } else {
            active.fire(RequestEvent::AttemptFailed);
        }
        self.finish_failed(
            request,
            Refusal {
                run,
                ..Refusal::unknown(kind)
            },
        );
    }

    fn finish_streamed(&mut self, request: u64) {
        self.requests.fire(request, RequestEvent::Finished);
        let Some(ActiveRequest { req, .. }) = self.requests.remove(request) else {
            return;
        };
        let response = req.response;
        self.cx
            .runtime
            .spawn(async move { response.send(ResponsePart::End).await });
    }

    pub(super) fn finish_replayed(&mut self, request: u64, outcome: Outcome) {
        self.finish_with_response(request, &outcome.into());
    }

    pub(super) fn finish_with_response(&mut self, request: u64, response: &CollectedResponse) {
        let Some(ActiveRequest { req, .. }) = self.requests.remove(request) else {
            return;
        };
        let content_type = response.content_type.clone();
        let head = ResponsePart::Head {
            status: response.status,
            content_type,
            ends_with_connection: response.ends_with_connection,
        };
        let chunk = ResponsePart::Chunk(Bytes::copy_from_slice(&response.body));
        for part in [head, chunk, ResponsePart::End] {
            // Can't be full, since nothing was sent to this caller before.
            let _result = req.response.try_send(part);
        }
    }
}
