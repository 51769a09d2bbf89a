//! What follows when a slot is chosen, an attempt ends, or the ledger answers.

use bytes::Bytes;
use coltsfootnotch_state::{Disowned, LedgerReply, Outcome, ProcessId, RecordedBody};
use coltsfootnotch_wire::{
    AttemptId, Begin, BeginCause, FailReason, NotStartedReason, ProposeError, Run, ToSidecar, Usage,
};

use super::ReplyPart;
use super::actor::{EntryActor, EntryMsg, refuse};
use super::attempt::AttemptTask;
use super::attempt_end::{AttemptEnd, Collected};
use super::bookings::{self, Answered, Purpose};
use super::requests::{Chosen, InProgress, Stage};
use crate::core::{Refusal, RefusalKind};
use crate::util::events;

/// Most attempts of one request, whatever the budget: beyond them the fault is not the upstream's.
const MAX_ATTEMPTS: u32 = 4;
/// When a caller may ask again about a call whose outcome is not known yet.
const DOUBT_RETRY: std::time::Duration = std::time::Duration::from_secs(2);

impl EntryActor {
    /// A slot is chosen: what may be repeated starts, the rest has its intent committed first.
    pub(super) fn on_chosen(&mut self, chosen: Chosen) {
        let request = chosen.waiting.request;
        let Some(in_progress) = self.requests.get(request) else {
            return self.give_back(&chosen);
        };
        let Some(key) = &in_progress.arrival.booking else {
            return self.start_attempt(chosen);
        };
        let op = bookings::intent(&in_progress.arrival.account, key, &chosen);
        let now = self.cx.now();
        let sent = self
            .bookings
            .propose(&mut self.relay, now, request, Purpose::Intent, op);
        if sent.is_none() {
            self.give_back(&chosen);
            let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(DOUBT_RETRY);
            return self.finish_failed(request, refusal);
        }
        self.set_stage(request, Stage::Intent(Box::new(chosen)));
    }

    /// The slot that was chosen is not used after all.
    fn give_back(&mut self, chosen: &Chosen) {
        if let BeginCause::Pull { pull } = chosen.cause {
            self.sidecars
                .send(&chosen.host, ToSidecar::Nothing { pull });
        }
    }

    fn set_stage(&mut self, request: u64, stage: Stage) {
        if let Some(in_progress) = self.requests.get_mut(request) {
            in_progress.stage = stage;
        }
    }

    fn start_attempt(&mut self, chosen: Chosen) {
        let request = chosen.waiting.request;
        let Some(in_progress) = self.requests.get_mut(request) else {
            return;
        };
        let Some(link) = self.sidecars.watch(&chosen.host) else {
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
            suspected_of: vec![],
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
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotStarted(_) => self.after_not_started(chosen, &end),
            AttemptEnd::Done {
                usage,
                collected,
                first_piece,
            } => {
                self.after_done(&chosen, usage, collected, first_piece);
            }
            AttemptEnd::Failed { reason, delivered } => {
                self.cx.log(
                    &events::ATTEMPT_FAILED,
                    &[("attempt", &attempt), ("cause", &reason)],
                );
                let kind = match reason {
                    FailReason::UpstreamTimeout => RefusalKind::UpstreamTimeout,
                    FailReason::PiecesGone => RefusalKind::ConnectionLost,
                    _ => RefusalKind::UpstreamFailed,
                };
                self.after_failed(chosen, kind, delivered);
            }
            AttemptEnd::Lost { delivered } => {
                self.after_failed(chosen, RefusalKind::ConnectionLost, delivered);
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
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let Some(key) = in_progress.arrival.booking.clone() else {
            self.set_stage(request, Stage::Waiting);
            if *end == AttemptEnd::NotStarted(NotStartedReason::OtherSuspect) {
                return self.core.hold_back(self.cx.now(), chosen.waiting);
            }
            return self.core.requeue(chosen.waiting);
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
            .bookings
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
        let Some(answer) = collected else {
            return self.finish_streamed(request);
        };
        let Some(key) = arrival.booking.clone() else {
            return self.finish_answered(request, &answer);
        };
        let op = bookings::outcome(&account, &key, chosen.attempt, &answer);
        let now = self.cx.now();
        let sent = self
            .bookings
            .propose(&mut self.relay, now, request, Purpose::Outcome, op);
        if sent.is_none() {
            return self.finish_answered(request, &answer);
        }
        self.set_stage(request, Stage::Recording { answer });
    }

    /// It started and failed: tried elsewhere if it may be repeated and the caller has seen nothing.
    fn after_failed(&mut self, mut chosen: Chosen, kind: RefusalKind, delivered: bool) {
        let request = chosen.waiting.request;
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let repeatable = in_progress.arrival.booking.is_none();
        if !repeatable {
            self.cx
                .log(&events::BOOKING_IN_DOUBT, &[("attempt", &chosen.attempt)]);
        }
        if repeatable && !delivered && chosen.waiting.attempt + 1 < MAX_ATTEMPTS {
            chosen.waiting.avoid.push(chosen.host.clone());
            self.set_stage(request, Stage::Waiting);
            return self.core.requeue(chosen.waiting);
        }
        let run = if delivered { Run::Yes } else { Run::Unknown };
        self.finish_failed(
            request,
            Refusal {
                run,
                ..Refusal::unknown(kind)
            },
        );
    }

    /// The ledger answered a write.
    pub(super) fn on_ledger(&mut self, answered: Answered) {
        match answered.purpose {
            Purpose::Intent => self.after_intent(answered),
            Purpose::Close => self.after_close(&answered),
            Purpose::Outcome => self.after_outcome(answered.request),
        }
    }

    fn after_intent(&mut self, answered: Answered) {
        let request = answered.request;
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let Stage::Intent(chosen) = &in_progress.stage else {
            return;
        };
        let chosen = (**chosen).clone();
        let reply = match answered.reply {
            Ok(LedgerReply::Started) => return self.start_attempt(chosen),
            Ok(reply) => reply,
            Err(e) => return self.intent_unanswered(&chosen, &e),
        };
        self.give_back(&chosen);
        let refusal = match reply {
            LedgerReply::AlreadyDone(outcome) => return self.finish_recorded(request, outcome),
            LedgerReply::InDoubt {
                attempt, sidecar, ..
            } => {
                let attempt = bookings::wire_attempt(attempt);
                self.sidecars
                    .send(&sidecar.host, ToSidecar::Disown { attempt });
                Refusal::unknown(RefusalKind::InDoubt).retry_after(DOUBT_RETRY)
            }
            LedgerReply::BodyMismatch => Refusal::not_run(RefusalKind::IdempotencyKeyReused),
            LedgerReply::TooOld => Refusal::not_run(RefusalKind::IdempotencyKeyTooOld),
            _ => Refusal::not_run(RefusalKind::Overloaded).retry_after(DOUBT_RETRY),
        };
        self.finish_failed(request, refusal);
    }

    /// Whether the intent was written is not known. Nothing was sent and nothing will be, so the
    /// request did not run; the attempt is closed, lest it leave a later call in doubt.
    fn intent_unanswered(&mut self, chosen: &Chosen, error: &ProposeError) {
        let request = chosen.waiting.request;
        self.give_back(chosen);
        let Some(InProgress { arrival, .. }) = self.requests.remove(request) else {
            return;
        };
        let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(DOUBT_RETRY);
        refuse(&self.cx.runtime, &arrival, refusal);
        if *error == ProposeError::NoQuorum {
            return;
        }
        if let Some(key) = &arrival.booking {
            let by = Disowned::ByEntry(self.cx.identity.incarnation);
            let op = bookings::close(&arrival.account, key, chosen.attempt, by);
            let now = self.cx.now();
            self.bookings
                .propose(&mut self.relay, now, request, Purpose::Close, op);
        }
    }

    fn after_close(&mut self, answered: &Answered) {
        let request = answered.request;
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let Stage::Closing(chosen) = &in_progress.stage else {
            return;
        };
        let waiting = chosen.waiting.clone();
        if let Ok(LedgerReply::Closed) = answered.reply {
            self.set_stage(request, Stage::Waiting);
            return self.core.requeue(waiting);
        }
        let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(DOUBT_RETRY);
        self.finish_failed(request, refusal);
    }

    /// The answer is recorded, or could not be: the call ran and the caller is told so either way.
    /// Without the record a later call with the key is told that the outcome is not known.
    fn after_outcome(&mut self, request: u64) {
        let Some(in_progress) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Recording { answer } = &mut in_progress.stage else {
            return;
        };
        let answer = std::mem::take(answer);
        self.finish_answered(request, &answer);
    }

    fn finish_streamed(&mut self, request: u64) {
        let Some(InProgress { arrival, .. }) = self.requests.remove(request) else {
            return;
        };
        let reply = arrival.reply;
        self.cx
            .runtime
            .spawn(async move { reply.send(ReplyPart::End).await });
    }

    fn finish_recorded(&mut self, request: u64, outcome: Outcome) {
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

    fn finish_answered(&mut self, request: u64, answer: &Collected) {
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
