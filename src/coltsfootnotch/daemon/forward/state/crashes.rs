//! Evidence on prompt segments that crash upstreams.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use coltsfootnotch_wire::CrashSuspects;

use super::{State, run_digest};
use crate::daemon::forward::messages::Ticket;

impl State {
    /// Handles the begin of an answer, or its end.
    pub(super) fn on_answer(&mut self, now: Duration, ticket: &Ticket) {
        let service = &ticket.origin.service;
        self.segments.on_answer(now, service, &ticket.prompt.shared);
    }
}

impl From<&Ticket> for CrashSuspects {
    /// The shared segments of a request during which its upstream ended.
    fn from(ticket: &Ticket) -> Self {
        let mut hasher = DefaultHasher::new();
        ticket.address.hash(&mut hasher);
        CrashSuspects {
            run: run_digest(ticket),
            upstream: hasher.finish(),
            service: ticket.origin.service.to_string(),
            segments: ticket.prompt.shared.iter().map(|s| s.id).collect(),
        }
    }
}
