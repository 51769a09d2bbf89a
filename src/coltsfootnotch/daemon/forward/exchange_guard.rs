//! Guard that reports the end of an exchange to the actor, however its task ends.

use stakker::sync::Channel;

use super::messages::{ForwardMsg, Outcome, Ticket};

/// A place at an upstream, and the exchange that takes it. If dropped without an outcome, as when the caller disconnects
/// and the server drops the task, it is reported as abandoned, so that the upstream's load doesn't leak.
pub(super) struct ExchangeGuard {
    tx: Channel<ForwardMsg>,
    ticket: Option<Box<Ticket>>,
    has_started: bool,
}

impl ExchangeGuard {
    pub(super) fn new(tx: Channel<ForwardMsg>, ticket: Ticket) -> Self {
        Self {
            tx,
            ticket: Some(Box::new(ticket)),
            has_started: false,
        }
    }

    /// The placement.
    pub(super) fn ticket(&self) -> &Ticket {
        self.ticket.as_deref().expect("the exchange has not ended")
    }

    /// Reports the first event of the response, once.
    pub(super) fn on_first_event(&mut self) {
        if let Some(ticket) = self.ticket.as_ref().filter(|_| !self.has_started) {
            self.tx.send(ForwardMsg::FirstEvent(Ticket::clone(ticket)));
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
                ticket: *ticket,
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
