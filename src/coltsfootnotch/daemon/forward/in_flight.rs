//! An exchange in progress, as the actor has to hear of its end whatever happens to its task.

use stakker::sync::Channel;

use super::messages::{Ended, ForwardMsg, Ticket};

/// An exchange in progress. Dropped without a word (its caller has left, and the server dropped the
/// task), it counts as abandoned: without that the upstream would look busy for ever.
pub(super) struct InFlight {
    tx: Channel<ForwardMsg>,
    ticket: Option<Ticket>,
    begun: bool,
}

impl InFlight {
    pub(super) fn new(tx: Channel<ForwardMsg>, ticket: Ticket) -> Self {
        Self {
            tx,
            ticket: Some(ticket),
            begun: false,
        }
    }

    /// The first event of the answer has come.
    pub(super) fn begin(&mut self) {
        if let Some(ticket) = self.ticket.as_ref().filter(|_| !self.begun) {
            self.tx.send(ForwardMsg::Begun(ticket.clone()));
            self.begun = true;
        }
    }

    /// The exchange is over.
    pub(super) fn end(mut self, ended: Ended) {
        self.report(ended);
    }

    fn report(&mut self, ended: Ended) {
        if let Some(ticket) = self.ticket.take() {
            let begun = self.begun;
            self.tx.send(ForwardMsg::Over {
                ticket,
                begun,
                ended,
            });
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.report(Ended::Abandoned);
    }
}
