//! What follows when the ledger answers, or does not.

use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_state::{ClosedBy, LedgerReply};
use coltsfootnotch_wire::ProposeError;

use super::actor::EntryActor;
use super::arrivals::refuse;
use super::bookings;
use super::doubts::DOUBT_RETRY;
use super::proposals::{Answered, Purpose};
use super::requests::{Chosen, InProgress, Stage};
use crate::core::{Refusal, RefusalKind};

impl EntryActor {
    /// The ledger answered a write.
    pub(super) fn on_ledger(&mut self, answered: Answered) {
        let request = answered.request;
        match answered.purpose {
            Purpose::Intent => self.after_intent(answered),
            Purpose::Close => self.after_close(&answered),
            Purpose::CloseEarlier => {
                let closed = matches!(answered.reply, Ok(LedgerReply::Closed));
                self.after_earlier_closed(request, closed);
            }
            Purpose::Outcome => {
                let recorded = matches!(answered.reply, Ok(LedgerReply::Recorded));
                self.after_outcome(request, recorded);
            }
            Purpose::Settle => {
                let settled = matches!(answered.reply, Ok(LedgerReply::Resolved));
                self.after_outcome(request, settled);
            }
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
            Ok(LedgerReply::Started) => {
                self.requests.fire(request, RequestEvent::IntentCommitted);
                return self.start_attempt(chosen);
            }
            Ok(reply) => reply,
            Err(e) => return self.intent_unanswered(&chosen, &e),
        };
        self.give_back(&chosen);
        let refusal = match reply {
            LedgerReply::AlreadyDone(outcome) => {
                self.requests.fire(request, RequestEvent::Replayed);
                return self.finish_recorded(request, outcome);
            }
            LedgerReply::InDoubt {
                attempt, sidecar, ..
            } => {
                return self.settle(chosen, attempt, &sidecar);
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
            let by = ClosedBy::Entry(self.cx.identity.incarnation);
            let op = bookings::close(&arrival.account, key, chosen.attempt, by);
            let now = self.cx.now();
            self.proposals
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
            return self.wait_again(request, waiting);
        }
        let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(DOUBT_RETRY);
        self.finish_failed(request, refusal);
    }

    /// The answer is recorded, or could not be: the call ran and the caller is told so either way.
    /// Without the record a later call with the key is told that the outcome is not known.
    pub(super) fn after_outcome(&mut self, request: u64, recorded: bool) {
        let Some(in_progress) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Recording { answer } = &mut in_progress.stage else {
            return;
        };
        let answer = std::mem::take(answer);
        let event = if recorded {
            RequestEvent::OutcomeCommitted
        } else {
            RequestEvent::OutcomeUnknown
        };
        in_progress.fire(event);
        self.finish_answered(request, &answer);
    }
}
