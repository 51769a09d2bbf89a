//! Requests that resume a stream: at the version that began it, and not refused while there may be room.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch_forward::place::{Refusal, RefusalReason};
use coltsfootnotch_forward::streams::{StreamOrigin, TakeoverRefusal};
use tokio::sync::oneshot;

use super::exchange_guard::ExchangeGuard;
use super::matched_request::MatchedRequest;
use super::messages::{FindOrigin, ForwardMsg, PlacementError, RETRY_SOON, Ticket};
use super::server::Gateway;

/// Time for finding an upstream that resumes a stream; callers give up after two seconds without an
/// event.
pub(super) const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two placements of a stream to resume; an engine prefills about three queued prompts
/// in it.
const RESUME_INTERVAL: Duration = Duration::from_millis(60);

/// Error for a stream whose route doesn't lead to its service any more.
const VERSION_GONE: PlacementError = PlacementError::Refused(
    Refusal {
        reason: RefusalReason::VersionGone,
        retry_after: RETRY_SOON,
        is_saturated: false,
        wait: None,
    },
    None,
);

impl Gateway {
    /// Limits a request that resumes a stream to the version that began it, and to its service.
    ///
    /// # Errors
    /// Returns an error if the version is not known or the route doesn't lead to its service any more.
    pub(super) async fn pin_to_origin(
        &self,
        req: &mut MatchedRequest,
    ) -> Result<(), PlacementError> {
        let services = req.config.services();
        let mut allowed = req.route().services.iter().filter(|s| s.weight > 0);
        let sole = allowed.next().filter(|_| allowed.next().is_none());
        let find = FindOrigin {
            stream: req.stream.filter(|_| req.head.resumes.is_some()),
            sole_service: sole.map(|s| services[s.service].name.clone()),
        };
        let (tx, rx) = oneshot::channel();
        self.tx.send(ForwardMsg::FindOrigin(find, tx));
        // The actor stops only with the process.
        let known = rx.await.unwrap_or(None);
        self.count_origin(req, known.as_ref().map(|known| known.source));
        let known = known.ok_or(PlacementError::UnknownOrigin)?;
        let services = req.config.services();
        let mut allowed = req.route().services.iter().filter(|s| s.weight > 0);
        let began_at = allowed.find(|s| services[s.service].name == known.origin.service);
        req.service = began_at.ok_or(VERSION_GONE)?.service;
        req.origin = Some(known);
        Ok(())
    }

    /// Waits until control hosts know that a stream which was placed more than once goes on at the upstream of `ticket`:
    /// its caller may resume it at another entry as soon as it has the first event.
    pub(super) async fn confirm_origin(&self, ticket: &Ticket) {
        if ticket.stream.is_none() {
            return;
        }
        let (tx, rx) = oneshot::channel();
        self.tx.send(ForwardMsg::ConfirmOrigin(ticket.clone(), tx));
        // The sender is dropped once they know.
        let _dropped = rx.await;
    }

    /// Has the actor place a request. One that resumes a stream is placed again for some time if it is refused for
    /// what may pass: what was delivered of the stream is lost with a refusal.
    pub(super) async fn place_or_wait(
        &self,
        req: &MatchedRequest,
        avoid: &[Arc<str>],
        is_retry: bool,
        wait_until: Instant,
    ) -> Result<ExchangeGuard, PlacementError> {
        match &req.origin {
            None => self.place(req, avoid, is_retry, None).await,
            // Boxed, as each open connection holds the space of a request's future.
            Some(known) => {
                let origin = &known.origin;
                Box::pin(self.place_resumed(req, avoid, is_retry, origin, wait_until)).await
            }
        }
    }

    /// Has the actor place a request that resumes a stream, again and again until `wait_until` while all
    /// upstreams of its origin are full, or the configuration is not confirmed.
    pub(super) async fn place_resumed(
        &self,
        req: &MatchedRequest,
        avoid: &[Arc<str>],
        is_retry: bool,
        origin: &StreamOrigin,
        wait_until: Instant,
    ) -> Result<ExchangeGuard, PlacementError> {
        loop {
            let placed = self.place(req, avoid, is_retry, Some(origin)).await;
            let may_pass = placed.as_ref().is_err_and(PlacementError::may_pass);
            if !may_pass || Instant::now() >= wait_until.min(req.deadline) {
                return placed;
            }
            tokio::time::sleep(RESUME_INTERVAL).await;
        }
    }
}

impl PlacementError {
    /// Whether a stream that is refused for this may be placed a moment later. A lease is invalid from the time at
    /// which a newer configuration is known until it is in force, which is most of what ends one.
    fn may_pass(&self) -> bool {
        matches!(TakeoverRefusal::from(*self), TakeoverRefusal::Full(_))
    }
}

#[cfg(test)]
#[path = "resumption_tests.rs"]
mod tests;
