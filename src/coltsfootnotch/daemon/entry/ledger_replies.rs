//! Handles the replies of the ledger, and proposals that got none.

use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_state::{ClosedBy, LedgerReply};
use coltsfootnotch_wire::ProposeError;

use super::ClientRequest;
use super::actor::EntryActor;
use super::ledger_ops;
use super::proposals::{ProposalResult, Purpose};
use super::queueing::send_refusal;
use super::requests::{ActiveRequest, ChosenSlot, Stage};
use super::unresolved::LEDGER_RETRY_AFTER;
use crate::core::{Refusal, RefusalKind};

impl EntryActor {
    /// Handles the result of a proposed write.
    pub(super) fn on_ledger_reply(&mut self, result: ProposalResult) {
        let request = result.request;
        match result.purpose {
            Purpose::Intent => self.on_intent_reply(result),
            Purpose::Close => self.on_close_reply(&result),
            Purpose::CloseEarlier => {
                let closed = matches!(result.reply, Ok(LedgerReply::Closed));
                self.on_earlier_closed(request, closed);
            }
            Purpose::Outcome => {
                let recorded = matches!(result.reply, Ok(LedgerReply::Recorded));
                self.on_outcome_reply(request, recorded);
            }
            Purpose::Resolve => {
                let resolved = matches!(result.reply, Ok(LedgerReply::Resolved));
                self.on_outcome_reply(request, resolved);
            }
        }
    }

    fn on_intent_reply(&mut self, result: ProposalResult) {
        let request = result.request;
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Stage::CommittingIntent(chosen) = &active.stage else {
            return;
        };
        let chosen = (**chosen).clone();
        let caller_left = active.caller_left;
        let reply = match result.reply {
            Ok(LedgerReply::Started) if caller_left => return self.cancel_intent(&chosen),
            Ok(LedgerReply::Started) => {
                self.requests.fire(request, RequestEvent::IntentCommitted);
                return self.start_attempt(chosen);
            }
            Ok(reply) => reply,
            Err(e) => return self.on_intent_unconfirmed(&chosen, &e),
        };
        self.release_slot(&chosen);
        if caller_left {
            return self.finish_cancelled(request);
        }
        let refusal = match reply {
            LedgerReply::AlreadyDone(outcome) => {
                self.requests.fire(request, RequestEvent::Replayed);
                return self.finish_replayed(request, outcome);
            }
            LedgerReply::InDoubt {
                attempt, sidecar, ..
            } => {
                return self.resolve_earlier(chosen, attempt, &sidecar);
            }
            LedgerReply::BodyMismatch => Refusal::not_run(RefusalKind::IdempotencyKeyReused),
            LedgerReply::TooOld => Refusal::not_run(RefusalKind::IdempotencyKeyTooOld),
            _ => Refusal::not_run(RefusalKind::Overloaded).retry_after(LEDGER_RETRY_AFTER),
        };
        self.finish_failed(request, refusal);
    }

    /// Handles an intent that may or may not be committed. Nothing was sent, so the request did not
    /// run; the attempt is closed so that a later call with the key does not find it open.
    fn on_intent_unconfirmed(&mut self, chosen: &ChosenSlot, error: &ProposeError) {
        let request = chosen.queued.request;
        self.release_slot(chosen);
        let Some(ActiveRequest { req, .. }) = self.requests.remove(request) else {
            return;
        };
        let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(LEDGER_RETRY_AFTER);
        send_refusal(&self.cx.runtime, &req, refusal);
        if *error != ProposeError::NoQuorum {
            self.close_unsent(&req, chosen);
        }
    }

    /// Closes the attempt of a committed intent, since its caller has left and nothing was sent.
    fn cancel_intent(&mut self, chosen: &ChosenSlot) {
        let request = chosen.queued.request;
        self.release_slot(chosen);
        self.requests
            .fire(request, RequestEvent::CallerDisconnected);
        if let Some(ActiveRequest { req, .. }) = self.requests.remove(request) {
            self.close_unsent(&req, chosen);
        }
    }

    /// Has the ledger close an attempt that was not sent.
    fn close_unsent(&mut self, req: &ClientRequest, chosen: &ChosenSlot) {
        let Some(key) = &req.ledger_key else {
            return;
        };
        let by = ClosedBy::Entry(self.cx.identity.incarnation);
        let op = ledger_ops::close(&req.account, key, chosen.attempt, by);
        let (now, purpose) = (self.cx.now(), Purpose::Close);
        self.proposals
            .propose(&mut self.relay, now, req.request, purpose, op);
    }

    fn on_close_reply(&mut self, result: &ProposalResult) {
        let request = result.request;
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Stage::Closing(chosen) = &active.stage else {
            return;
        };
        let queued = chosen.queued.clone();
        if let Ok(LedgerReply::Closed) = result.reply {
            return self.requeue(request, queued);
        }
        let refusal = Refusal::not_run(RefusalKind::NoQuorum).retry_after(LEDGER_RETRY_AFTER);
        self.finish_failed(request, refusal);
    }

    /// Responds to the caller, whether or not the outcome was recorded, since the call has run.
    /// If it was not, a later call with the key finds the outcome unresolved.
    pub(super) fn on_outcome_reply(&mut self, request: u64, recorded: bool) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Recording { response } = &mut active.stage else {
            return;
        };
        let response = std::mem::take(response);
        let event = if recorded {
            RequestEvent::OutcomeCommitted
        } else {
            RequestEvent::OutcomeUnknown
        };
        active.fire(event);
        self.finish_with_response(request, &response);
    }
}
