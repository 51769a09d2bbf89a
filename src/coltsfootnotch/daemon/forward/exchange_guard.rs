//! Guard that reports the end of an exchange to the actor, however its task ends.

use stakker::sync::Channel;

use super::messages::{ForwardMsg, Outcome, Ticket};

/// An exchange in progress. If dropped without an outcome, as when the caller disconnects and the
/// server drops the task, it is reported as abandoned, so that the upstream's load doesn't leak.
pub(super) struct ExchangeGuard {
    tx: Channel<ForwardMsg>,
    ticket: Option<Ticket>,
    has_started: bool,
}

impl ExchangeGuard {
    pub(super) fn new(tx: Channel<ForwardMsg>, ticket: Ticket) -> Self {
        Self {
            tx,
            ticket: Some(ticket),
            has_started: false,
        }
    }

    /// Reports the first event of the response, once.
    pub(super) fn on_first_event(&mut self) {
        if let Some(ticket) = self.ticket.as_ref().filter(|_| !self.has_started) {
            self.tx.send(ForwardMsg::FirstEvent(ticket.clone()));
            self.has_started = true;
        }
    }

    /// Reports the outcome of the exchange.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            let has_started = self.has_started;
            self.tx.send(ForwardMsg::Finished {
                ticket,
                has_started,
                outcome,
            });
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.report(Outcome::Abandoned);
    }
}
