//! The search for an upstream that takes over a stream, and the request to it.

use std::future::{Future, pending};
use std::pin::Pin;
use std::sync::Arc;

use coltsfootnotch_forward::place::RefusalReason;
use coltsfootnotch_forward::streams::{StreamOrigin, TakeoverRefusal};

use super::exchange::{ExchangeResult, attempt_deadline, exchange};
use super::matched_request::MatchedRequest;
use super::messages::{PlacementError, Ticket};
use super::server::Gateway;
use super::stream_source::StreamSource;

/// What became of a search.
pub(super) enum Found {
    /// The stream was placed, or not.
    Placed(Result<Ticket, PlacementError>),
    /// The request to the upstream ended.
    Ended(ExchangeResult),
}

type Step = Pin<Box<dyn Future<Output = Found> + Send>>;

/// A search for an upstream that goes on with a stream. Dropping it ends what is in progress.
pub(super) struct TakeoverSearch {
    gw: Arc<Gateway>,
    req: Arc<MatchedRequest>,
    origin: StreamOrigin,
    /// The last event that was forwarded.
    last_event: Option<u64>,
    /// The upstreams that the stream was sent to, the one before the takeover first.
    avoid: Vec<Arc<str>>,
    in_progress: Option<Step>,
}

impl TakeoverSearch {
    /// The search for an upstream that goes on with the stream of `source`.
    pub(super) fn new(gw: &Arc<Gateway>, req: &Arc<MatchedRequest>, source: &StreamSource) -> Self {
        let ticket = &source.received.ticket;
        Self {
            gw: Arc::clone(gw),
            req: Arc::clone(req),
            origin: ticket.origin.clone(),
            last_event: source.events.last_id(),
            avoid: vec![ticket.upstream.clone()],
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

    /// The upstream before the takeover, for log lines.
    pub(super) fn before(&self) -> &[Arc<str>] {
        &self.avoid[..1]
    }

    /// Has the actor place the stream at another upstream of its origin.
    pub(super) fn place(&mut self) {
        let (gw, req) = (Arc::clone(&self.gw), Arc::clone(&self.req));
        let (avoid, origin) = (self.avoid.clone(), self.origin.clone());
        self.in_progress = Some(Box::pin(async move {
            Found::Placed(gw.place(&req, &avoid, true, Some(&origin)).await)
        }));
    }

    /// Sends the request from the last event that was forwarded on.
    pub(super) fn ask(&mut self, ticket: Ticket) {
        let (gw, req) = (Arc::clone(&self.gw), Arc::clone(&self.req));
        let last_event = self.last_event;
        let deadline = attempt_deadline(&req, &ticket, 1.0);
        self.avoid.push(ticket.upstream.clone());
        self.in_progress = Some(Box::pin(async move {
            Found::Ended(exchange(&gw, &req, ticket, last_event, deadline, None).await)
        }));
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
            PlacementError::Stopping => Self::Never("this host is stopping"),
            PlacementError::PoisonRequest | PlacementError::PoisonSegment => {
                Self::Never("it has crashed upstreams")
            }
        }
    }
}
