//! Requests that wait for an engine with room.

use std::time::Duration;

use coltsfootnotch_forward::line::Waiting;
use tokio::sync::oneshot;

use super::ForwardActor;
use crate::daemon::forward::messages::{Outcome, PlaceRequest, PlacementError, Ticket};

/// Least time between two rounds of placements of the requests that wait.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Most requests placed again in a round, besides those whose time is over. A placement takes some tens of
/// microseconds of a core, a millisecond on the weakest hosts.
const MAX_PLACED: usize = 8;

/// A request that waits, and where its placement is sent.
pub(super) struct WaitingRequest {
    req: Box<PlaceRequest>,
    tx: PlacementSender,
}

pub(super) type PlacementSender = oneshot::Sender<Result<Ticket, PlacementError>>;

impl ForwardActor {
    /// Places a request, or has it wait if an engine may have room in time.
    pub(super) fn place_or_wait(
        &mut self,
        now: Duration,
        mut req: Box<PlaceRequest>,
        tx: PlacementSender,
    ) {
        // The caller has left; a placement would take a retry from the budget.
        if tx.is_closed() {
            return;
        }
        let placed = self.place(now, &req);
        let wait = match &placed {
            Err(PlacementError::Refused(refusal, share)) => {
                self.state.wait(now, &req, refusal, share.as_ref())
            }
            _ => None,
        };
        let Some(wait) = wait else {
            self.send_placement(now, placed, tx);
            return;
        };
        req.has_waited = true;
        let waiting = Waiting {
            account: req.account.clone(),
            priority: req.priority(),
            since: now,
            until: now + wait,
            item: WaitingRequest { req, tx },
        };
        if let Err(refused) = self.line.add(waiting) {
            self.send_placement(now, placed, refused.item.tx);
        }
    }

    /// Places the requests that wait, and refuses those whose time is over.
    pub(super) fn place_waiting(&mut self, now: Duration) {
        if self.line.is_empty() || now < self.line_due {
            return;
        }
        self.line_due = now + ROUND_INTERVAL;
        let shares = &mut self.state.shares;
        let turns = self.line.take_turns(|account| {
            let pressure = account.and_then(|account| shares.pressure(now, account));
            pressure.unwrap_or(0.0)
        });
        let mut placed_again = 0;
        for waiting in turns {
            // The caller has left.
            if waiting.item.tx.is_closed() {
                continue;
            }
            if placed_again >= MAX_PLACED && now < waiting.until {
                self.line.put_back(waiting);
                continue;
            }
            placed_again += 1;
            let placed = self.place(now, &waiting.item.req);
            let is_refused = matches!(placed, Err(PlacementError::Refused(..)));
            if is_refused && now < waiting.until {
                self.line.put_back(waiting);
                continue;
            }
            self.record_wait(now, &waiting, placed.is_ok());
            self.send_placement(now, placed, waiting.item.tx);
        }
        let waiting = self.line.len() as f64;
        self.cx.metrics.gauge("waiting_requests", &[]).set(waiting);
    }

    fn record_wait(&self, now: Duration, waiting: &Waiting<WaitingRequest>, is_placed: bool) {
        let req = &waiting.item.req;
        let service = &req.config.services()[req.service].name;
        let outcome = if is_placed { "placed" } else { "refused" };
        let labels = [("service", &**service), ("outcome", outcome)];
        let waited = now.saturating_sub(waiting.since).as_secs_f64();
        self.cx
            .metrics
            .histogram("line_wait_seconds", &labels)
            .record(waited);
    }

    fn send_placement(
        &mut self,
        now: Duration,
        placed: Result<Ticket, PlacementError>,
        tx: PlacementSender,
    ) {
        // The caller may have disconnected meanwhile: release the placement.
        if let Err(Ok(ticket)) = tx.send(placed) {
            self.state
                .on_finished(now, &ticket, false, Outcome::Abandoned);
        }
    }
}
