//! The search for an upstream that takes over a request, and the request to it.

use std::future::{Future, pending};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use coltsfootnotch_forward::place::RefusalReason;
use coltsfootnotch_forward::streams::{StreamOrigin, Takeover, TakeoverRefusal};
use hyper::StatusCode;
use tokio::time::sleep;

use super::exchange::{ExchangeResult, UpstreamResponse, attempt_deadline, exchange};
use super::exchange_guard::ExchangeGuard;
use super::matched_request::MatchedRequest;
use super::messages::{Outcome, PlacementError};
use super::replacement::Replacement;
use super::responses;
use super::server::Gateway;
use super::stream_source::StreamSource;
use crate::util::events::{self, Field};

/// Time for which only other upstreams are sought once a connection broke. By then an upstream that has crashed is known
/// to be unreachable: connecting to it takes 250 ms at most.
const RETURN_AFTER: Duration = Duration::from_millis(300);

/// What became of a search.
pub(super) enum Found {
    /// The request was placed, or not.
    Placed(Result<ExchangeGuard, PlacementError>),
    /// The request to the upstream ended, or to one that replaced it as it was late.
    Ended(ExchangeResult),
}

type Step = Pin<Box<dyn Future<Output = Found> + Send>>;

/// A search for an upstream that goes on with a request. Dropping it ends what is in progress.
pub(super) struct TakeoverSearch {
    gw: Arc<Gateway>,
    req: Arc<MatchedRequest>,
    /// Where its stream began, if it has.
    origin: Option<StreamOrigin>,
    /// The last event that was forwarded.
    last_event: Option<u64>,
    /// The upstreams that the request was sent to, but for the one that it may return to.
    avoid: Vec<Arc<str>>,
    /// The upstream whose connection broke, and from when on the request may return to it.
    return_to: Option<(Arc<str>, Instant)>,
    /// Number of upstreams that were sent the request and may have run it, shared with the searches that replace those
    /// upstreams: such a search may be dropped while its own upstream is asked.
    sent: Arc<AtomicU32>,
    /// How many of `sent` the decision counts.
    counted: u32,
    in_progress: Option<Step>,
}

impl TakeoverSearch {
    /// The search for an upstream that goes on with the stream of `source`.
    pub(super) fn new(gw: &Arc<Gateway>, req: &Arc<MatchedRequest>, source: &StreamSource) -> Self {
        let ticket = &source.received.ticket;
        let origin = Some(ticket.origin.clone());
        let avoid = vec![ticket.upstream.clone()];
        Self::from_parts(gw, req, origin, source.events.last_id(), avoid)
    }

    /// The search for an upstream that responds in place of the last of `avoid`.
    pub(super) fn of_request(
        gw: &Arc<Gateway>,
        req: &Arc<MatchedRequest>,
        avoid: &[Arc<str>],
    ) -> Self {
        let origin = req.origin.as_ref().map(|known| known.origin.clone());
        Self::from_parts(gw, req, origin, None, avoid.to_vec())
    }

    fn from_parts(
        gw: &Arc<Gateway>,
        req: &Arc<MatchedRequest>,
        origin: Option<StreamOrigin>,
        last_event: Option<u64>,
        avoid: Vec<Arc<str>>,
    ) -> Self {
        Self {
            gw: Arc::clone(gw),
            req: Arc::clone(req),
            origin,
            last_event,
            avoid,
            return_to: None,
            sent: Arc::default(),
            counted: 0,
            in_progress: None,
        }
    }

    /// Why no other upstream can go on with the stream of `source`, if none can.
    pub(super) fn obstacle(req: &MatchedRequest, source: &StreamSource) -> Option<&'static str> {
        if !req.kind().is_idempotent() {
            return Some("the route's streams can't be resumed");
        }
        if source.events.is_partly_returned() {
            return Some("a part of an event was forwarded");
        }
        let has_numbers = source.events.last_id().is_some();
        (!has_numbers).then_some("its events have no numbers")
    }

    /// A search for the upstream that replaces the last one which was asked.
    fn successor(&self) -> Self {
        let (origin, avoid) = (self.origin.clone(), self.avoid.clone());
        Self {
            sent: Arc::clone(&self.sent),
            ..Self::from_parts(&self.gw, &self.req, origin, self.last_event, avoid)
        }
    }

    /// Number of upstreams that were sent the request in place of those that this search has asked, may have run it, and
    /// aren't counted by the decision yet.
    pub(super) fn uncounted(&self) -> u32 {
        self.sent.load(Ordering::Relaxed) - self.counted
    }

    /// Most upstreams that the request may be sent to.
    pub(super) fn max_attempts(&self) -> u32 {
        self.req.route().max_attempts
    }

    /// The connection to this upstream, which may be there still, broke: it is asked again if no other one takes the
    /// request in [`RETURN_AFTER`].
    pub(super) fn on_connection_broken(&mut self, upstream: &Arc<str>) {
        self.return_to = Some((upstream.clone(), Instant::now() + RETURN_AFTER));
    }

    /// Searches for the upstream whose connection broke as well from now on; returns whether there is one.
    pub(super) fn return_to_broken(&mut self) -> bool {
        let Some((upstream, _)) = self.return_to.take() else {
            return false;
        };
        self.avoid.retain(|id| *id != upstream);
        true
    }

    /// The upstreams that the request was sent to.
    pub(super) fn into_avoided(self) -> Vec<Arc<str>> {
        self.avoid
    }

    /// Has the actor place the request at another upstream, of the origin of its stream if that has begun.
    pub(super) fn place(&mut self) {
        let is_due = |(_, at): &(Arc<str>, Instant)| Instant::now() >= *at;
        if self.return_to.as_ref().is_some_and(is_due) {
            self.return_to_broken();
        }
        let (gw, req) = (Arc::clone(&self.gw), Arc::clone(&self.req));
        let (avoid, origin) = (self.avoid.clone(), self.origin.clone());
        self.in_progress = Some(Box::pin(async move {
            Found::Placed(gw.place(&req, &avoid, true, origin.as_ref()).await)
        }));
    }

    /// Sends the request, from the last event that was forwarded on, as one of this number of `attempts`. If the upstream
    /// is late, it is replaced as well.
    fn ask(&mut self, place: ExchangeGuard, attempts: u32) {
        let (gw, req) = (Arc::clone(&self.gw), Arc::clone(&self.req));
        let last_event = self.last_event;
        let ticket = place.ticket();
        self.avoid.push(ticket.upstream.clone());
        let late_at = attempt_deadline(&req, ticket, 1.0);
        self.counted = self.sent.fetch_add(1, Ordering::Relaxed) + 1;
        let search = self.successor();
        self.in_progress = Some(Box::pin(async move {
            let ticket = place.ticket();
            let mut replacement = Replacement::new(&gw, search, ticket, attempts, late_at);
            let deadline = req.deadline;
            let sought = Some(&mut replacement);
            let result = exchange(&gw, &req, place, last_event, deadline, sought).await;
            if let ExchangeResult::Response(_) = result {
                return Found::Ended(result);
            }
            let found = replacement.finish().await.found;
            Found::Ended(found.map_or(result, ExchangeResult::Response))
        }));
    }

    /// Tells the decision what was found, and asks an upstream that was. Returns the response if one has begun that
    /// `is_response` holds for.
    pub(super) fn advance(
        &mut self,
        decision: &mut Takeover,
        now: Duration,
        found: Found,
        is_response: impl Fn(StatusCode) -> bool,
    ) -> Option<Box<UpstreamResponse>> {
        let result = match found {
            Found::Placed(Ok(place)) => {
                decision.on_found();
                self.ask(place, decision.attempts());
                return None;
            }
            Found::Placed(Err(e)) => {
                decision.on_refused(now, e.into());
                return None;
            }
            Found::Ended(result) => result,
        };
        decision.add_attempts(self.uncounted());
        self.count_ended(&result);
        if !matches!(result, ExchangeResult::Response(_)) {
            self.log_failed(&result);
        }
        match result {
            ExchangeResult::Response(received) if is_response(received.response.status()) => {
                decision.on_answered(now);
                return Some(received);
            }
            ExchangeResult::Response(received) => {
                received.guard.finish(Outcome::Failed);
                decision.on_failed(now, true);
            }
            ExchangeResult::Lost => decision.on_failed(now, true),
            ExchangeResult::Unreached | ExchangeResult::Withheld | ExchangeResult::Rejected => {
                decision.on_failed(now, false);
            }
        }
        None
    }

    /// Counts the upstream that was asked only if it may have run the request.
    fn count_ended(&mut self, result: &ExchangeResult) {
        let has_not_run = matches!(
            result,
            ExchangeResult::Unreached | ExchangeResult::Withheld | ExchangeResult::Rejected
        );
        self.sent
            .fetch_sub(u32::from(has_not_run), Ordering::Relaxed);
        self.counted = self.sent.load(Ordering::Relaxed);
    }

    fn log_failed(&self, result: &ExchangeResult) {
        let upstream = self.avoid.last().map_or("-", |id| id);
        let fields: [Field<'_>; 2] = [("upstream", &upstream), ("outcome", &result.name())];
        let event = &events::UPSTREAM_REQUEST_FAILED;
        self.gw.log(event, &self.req, &fields);
    }

    /// Ends what is in progress.
    pub(super) fn cancel(&mut self) {
        self.in_progress = None;
    }

    /// Whether a placement or a request is in progress.
    pub(super) fn is_in_progress(&self) -> bool {
        self.in_progress.is_some()
    }

    /// Waits for the end of what is in progress. May be dropped and called again.
    pub(super) async fn next(&mut self) -> Found {
        let found = match &mut self.in_progress {
            Some(step) => step.await,
            None => pending().await,
        };
        self.in_progress = None;
        found
    }
}

/// Completes after a time, if there is one.
pub(super) async fn sleep_for(time: Option<Duration>) {
    match time {
        Some(time) => sleep(time).await,
        None => pending().await,
    }
}

impl From<PlacementError> for TakeoverRefusal {
    fn from(error: PlacementError) -> Self {
        match error {
            PlacementError::Refused(refusal, _) => match refusal.reason {
                RefusalReason::VersionGone => {
                    Self::Unavailable("no other upstream has its version")
                }
                RefusalReason::TooLarge => Self::Never("larger than the memory of an upstream"),
                _ => Self::Full("no upstream can go on in time"),
            },
            // Passes as a configuration that is known comes in force.
            PlacementError::NoLease => Self::Full("the configuration is not confirmed"),
            PlacementError::NoRetryBudget => Self::Unavailable("too much is sent again"),
            PlacementError::UnknownOrigin => Self::Unavailable("no upstream can go on in time"),
            PlacementError::Stopping => Self::Never(responses::STOPPING),
            PlacementError::PoisonRequest | PlacementError::PoisonSegment => {
                Self::Never("it has crashed upstreams")
            }
        }
    }
}
