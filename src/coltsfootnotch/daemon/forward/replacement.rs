//! Search for an upstream that replaces one which is late with its response.

use std::future::pending;
use std::sync::Arc;
use std::time::Instant;

use coltsfootnotch_forward::streams::{SearchInterval, TakeoverRefusal};
use tokio::time::sleep_until;

use super::matched_request::MatchedRequest;
use super::messages::{ForwardMsg, Silence, Ticket};
use super::server::Gateway;

/// Where a request goes on if its upstream stays late. The upstream is given up only once another one is found: it may
/// be silent for a moment and still respond in time.
pub(super) struct Replacement<'a> {
    gw: &'a Gateway,
    req: &'a MatchedRequest,
    /// The upstreams that it was sent to, the last one being late.
    avoid: &'a [Arc<str>],
    /// The silence of that one, until it is reported.
    unreported: Option<Silence>,
    late_at: Instant,
    /// When another upstream is sought next.
    due: Instant,
    interval: SearchInterval,
    found: Option<Ticket>,
}

impl<'a> Replacement<'a> {
    /// A search that begins at `from` if the upstream of `ticket` has not responded.
    pub(super) fn new(
        gw: &'a Gateway,
        req: &'a MatchedRequest,
        avoid: &'a [Arc<str>],
        ticket: &Ticket,
        from: Instant,
    ) -> Self {
        Self {
            gw,
            req,
            avoid,
            unreported: Some(Silence::of(ticket, false)),
            late_at: from,
            due: from,
            interval: SearchInterval::default(),
            found: None,
        }
    }

    /// When the upstream is late.
    pub(super) fn late_at(&self) -> Instant {
        self.late_at
    }

    /// The upstream that was found.
    pub(super) fn take(&mut self) -> Option<Ticket> {
        self.found.take()
    }

    /// Completes when another upstream is found. May be dropped and called again.
    pub(super) async fn found(&mut self) {
        sleep_until(self.due.into()).await;
        // Boxed, as each open connection holds the space of a request's future.
        Box::pin(self.search()).await;
    }

    async fn search(&mut self) {
        loop {
            sleep_until(self.due.into()).await;
            self.due = Instant::now() + self.interval.next_interval();
            let origin = self.req.origin.as_ref();
            match self.gw.place(self.req, self.avoid, true, origin).await {
                Ok(ticket) => {
                    self.found = Some(ticket);
                    return;
                }
                Err(e) if matches!(e.into(), TakeoverRefusal::Never(_)) => return pending().await,
                Err(_) => self.report(),
            }
        }
    }

    /// Reports once that the upstream is late and still listened to. If it is given up, its exchange tells so.
    fn report(&mut self) {
        if let Some(silence) = self.unreported.take() {
            self.gw.tx.send(ForwardMsg::Silence(silence));
        }
    }
}

/// Completes when an upstream is late, if that is at any time.
pub(super) async fn late(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => pending().await,
    }
}

/// Completes when a replacement is found, if one is sought.
pub(super) async fn found(replacement: &mut Option<&mut Replacement<'_>>) {
    match replacement {
        Some(replacement) => replacement.found().await,
        None => pending().await,
    }
}
