//! What follows when a slot is chosen, an attempt ends, or the ledger answers.

use bytes::Bytes;
use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_decide::retry::{FailedAttempt, may_retry};
use coltsfootnotch_state::{Disowned, Outcome, ProcessId, RecordedBody};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, Begin, BeginCause, FailReason, NotStartedReason, Run, ToSidecar, Usage,
};

use super::ReplyPart;
use super::actor::{EntryActor, EntryMsg};
use super::attempt::AttemptTask;
use super::attempt_end::{AttemptEnd, Collected};
use super::bookings;
use super::doubts::DOUBT_RETRY;
use super::proposals::Purpose;
use super::requests::{Chosen, InProgress, Stage};
use crate::core::{Refusal, RefusalKind};
use crate::util::events;

/// Time between the pieces of an answer, by account.
const TOKEN_GAP: &str = "account_token_gap_seconds";

impl EntryActor {
    /// A slot is chosen: what may be repeated starts, the rest has its intent committed first.
    pub(super) fn on_chosen(&mut self, chosen: Chosen) {
        let request = chosen.waiting.request;
        let Some(in_progress) = self.requests.get(request) else {
            return self.give_back(&chosen);
        };
        let Some(key) = &in_progress.arrival.booking else {
            self.requests.fire(request, RequestEvent::AttemptSent);
            return self.start_attempt(chosen);
        };
        let op = bookings::intent(&in_progress.arrival.account, key, &chosen);
        let now = self.cx.now();
        let sent = self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Intent, op);
        if sent.is_none() {
            self.give_back(&chosen);
            let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(DOUBT_RETRY);
            return self.finish_failed(request, refusal);
        }
        self.requests.fire(request, RequestEvent::SlotChosen);
        self.set_stage(request, Stage::Intent(Box::new(chosen)));
    }

    /// The slot that was chosen is not used after all.
    pub(super) fn give_back(&mut self, chosen: &Chosen) {
        self.core.on_attempt_ended(&chosen.waiting.account);
        if let BeginCause::Pull { pull } = chosen.cause {
            self.sidecars
                .send(&chosen.host, ToSidecar::Nothing { pull });
        }
    }

    pub(super) fn set_stage(&mut self, request: u64, stage: Stage) {
        if let Some(in_progress) = self.requests.get_mut(request) {
            in_progress.stage = stage;
        }
    }

    pub(super) fn start_attempt(&mut self, chosen: Chosen) {
        let request = chosen.waiting.request;
        let Some(in_progress) = self.requests.get_mut(request) else {
            return;
        };
        let Some(link) = self.sidecars.watch(&chosen.host) else {
            self.core.on_attempt_ended(&chosen.waiting.account);
            return self.after_not_started(chosen, &AttemptEnd::NotSent);
        };
        let arrival = &in_progress.arrival;
        let now = self.cx.now();
        let left = arrival.deadline.saturating_sub(now);
        let begin = Begin {
            attempt: chosen.attempt,
            cause: chosen.cause,
            account: arrival.account.clone(),
            pool: arrival.pool.clone(),
            sidecar: chosen.sidecar,
            content: arrival.content,
            repeatable: arrival.booking.is_none(),
            suspected_of: self.suspects.suspected_of(now, arrival),
            estimate: arrival.estimate,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            call: arrival.call.clone(),
        };
        let task = AttemptTask {
            cx: self.cx.clone(),
            begin,
            link,
            reply: arrival.reply.clone(),
            stream: arrival.call.stream,
            write_timeout: self.cfg.limits.write_timeout(),
            next: 0,
            collected: Collected::default(),
            first_piece: None,
            last_piece: None,
            gaps: self
                .cx
                .metrics
                .account_histogram(TOKEN_GAP, &arrival.account),
            upstream: None,
        };
        let waited = now.saturating_sub(arrival.arrived);
        self.cx
            .metrics
            .account_seconds("account_wait_seconds", &arrival.account, waited);
        let (tx, attempt) = (self.tx.clone(), chosen.attempt);
        let running = self.cx.runtime.spawn(async move {
            let end = task.run().await;
            tx.send(EntryMsg::AttemptEnded { attempt, end });
        });
        let task = running.abort_handle();
        in_progress.stage = Stage::Running {
            chosen: Box::new(chosen),
            task,
        };
    }

    /// An attempt ended; an end that is not of the attempt that runs is dropped.
    pub(super) fn on_attempt_end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let Some(chosen) = self.requests.running(attempt).cloned() else {
            return;
        };
        self.core.on_attempt_ended(&chosen.waiting.account);
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotStarted(_) => self.after_not_started(chosen, &end),
            AttemptEnd::Done {
                usage,
                collected,
                first_piece,
            } => {
                self.after_done(&chosen, usage, collected, first_piece);
            }
            AttemptEnd::Failed {
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
                    FailReason::PiecesGone => RefusalKind::ConnectionLost,
                    FailReason::UpstreamBroke | FailReason::Cancelled => {
                        RefusalKind::UpstreamFailed
                    }
                };
                self.after_failed(chosen, kind, delivered, upstream);
            }
            AttemptEnd::Lost {
                delivered,
                upstream,
            } => {
                self.after_failed(chosen, RefusalKind::ConnectionLost, delivered, upstream);
            }
            AttemptEnd::CallerStalled => {
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

    /// Not started: it waits again, after the ledger knows that this attempt never runs.
    fn after_not_started(&mut self, mut chosen: Chosen, end: &AttemptEnd) {
        let request = chosen.waiting.request;
        if matches!(
            end,
            AttemptEnd::NotStarted(NotStartedReason::NotReached | NotStartedReason::Leaving)
        ) {
            chosen.waiting.avoid.push(chosen.host.clone());
        }
        self.requests.fire(request, RequestEvent::NotStarted);
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let Some(key) = in_progress.arrival.booking.clone() else {
            if let AttemptEnd::NotStarted(NotStartedReason::OtherSuspect) = end {
                return self.hold_back(request, chosen.waiting);
            }
            return self.wait_again(request, chosen.waiting);
        };
        let by = match end {
            AttemptEnd::NotSent => Disowned::ByEntry(self.cx.identity.incarnation),
            _ => Disowned::BySidecar(ProcessId {
                host: chosen.host.clone(),
                incarnation: chosen.sidecar,
            }),
        };
        let account = in_progress.arrival.account.clone();
        let op = bookings::close(&account, &key, chosen.attempt, by);
        let now = self.cx.now();
        let sent = self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Close, op);
        if sent.is_none() {
            let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(DOUBT_RETRY);
            return self.finish_failed(request, refusal);
        }
        self.set_stage(request, Stage::Closing(Box::new(chosen)));
    }

    fn after_done(
        &mut self,
        chosen: &Chosen,
        usage: Usage,
        collected: Option<Collected>,
        first_piece: Option<std::time::Duration>,
    ) {
        let request = chosen.waiting.request;
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let arrival = &in_progress.arrival;
        let account = arrival.account.clone();
        self.cx.metrics.account_service(&account, usage.service.0);
        if let Some(first) = first_piece {
            let waited = first.saturating_sub(arrival.arrived);
            self.cx
                .metrics
                .account_seconds("account_first_token_seconds", &account, waited);
        }
        if chosen.waiting.attempt == 0 {
            self.retries.on_success(self.cx.now());
        }
        let Some(answer) = collected else {
            return self.finish_streamed(request);
        };
        let Some(key) = arrival.booking.clone() else {
            self.requests.fire(request, RequestEvent::Finished);
            return self.finish_answered(request, &answer);
        };
        self.requests.fire(request, RequestEvent::OutcomeReceived);
        let op = bookings::outcome(&account, &key, chosen.attempt, &answer);
        let now = self.cx.now();
        let sent = self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Outcome, op);
        self.set_stage(request, Stage::Recording { answer });
        if sent.is_none() {
            self.after_outcome(request, false);
        }
    }

    /// It started and failed: made again elsewhere, if the rules of retrying allow it.
    fn after_failed(
        &mut self,
        mut chosen: Chosen,
        kind: RefusalKind,
        delivered: bool,
        upstream: Option<UpstreamName>,
    ) {
        let request = chosen.waiting.request;
        let now = self.cx.now();
        let Some(in_progress) = self.requests.get_mut(request) else {
            return;
        };
        in_progress.failed_on.extend(upstream);
        if delivered {
            in_progress.fire(RequestEvent::AnswerStarted);
        }
        let attempt = FailedAttempt {
            repeatable: in_progress.arrival.booking.is_none(),
            answer_started: delivered,
            failed_on: &in_progress.failed_on,
            deadline: Some(in_progress.arrival.deadline),
        };
        if may_retry(&attempt, &mut self.retries, now).is_ok() {
            chosen.waiting.avoid.push(chosen.host.clone());
            in_progress.fire(RequestEvent::Retried);
            return self.wait_again(request, chosen.waiting);
        }
        let run = in_progress.run();
        if in_progress.arrival.booking.is_some() {
            in_progress.fire(RequestEvent::OutcomeLost);
            self.cx
                .log(&events::BOOKING_IN_DOUBT, &[("attempt", &chosen.attempt)]);
        } else {
            in_progress.fire(RequestEvent::AttemptFailed);
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
        let Some(InProgress { arrival, .. }) = self.requests.remove(request) else {
            return;
        };
        let reply = arrival.reply;
        self.cx
            .runtime
            .spawn(async move { reply.send(ReplyPart::End).await });
    }

    pub(super) fn finish_recorded(&mut self, request: u64, outcome: Outcome) {
        let content_type = outcome
            .headers
            .into_iter()
            .find(|(name, _)| name == "content-type");
        let content_type = content_type.map_or(String::new(), |(_, value)| value);
        let body = match outcome.body {
            RecordedBody::Whole(body) => body,
            RecordedBody::Digest { digest, len } => {
                format!("{{\"recorded\":{{\"sha256\":\"{digest}\",\"bytes\":{len}}}}}").into_bytes()
            }
        };
        let answer = Collected {
            status: outcome.status,
            content_type,
            body,
        };
        self.finish_answered(request, &answer);
    }

    pub(super) fn finish_answered(&mut self, request: u64, answer: &Collected) {
        let Some(InProgress { arrival, .. }) = self.requests.remove(request) else {
            return;
        };
        let content_type = answer.content_type.clone();
        let head = ReplyPart::Head {
            status: answer.status,
            content_type,
        };
        let piece = ReplyPart::Piece(Bytes::copy_from_slice(&answer.body));
        for part in [head, piece, ReplyPart::End] {
            // The channel is empty: nothing was sent to this caller before.
            let _caller_may_have_gone = arrival.reply.try_send(part);
        }
    }
}
