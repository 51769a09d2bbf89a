//! Messages to the actor and its replies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::Event;
use coltsfootnotch_forward::config::ServiceConfig;
use coltsfootnotch_forward::line::Priority;
use coltsfootnotch_forward::load::SentRequest;
use coltsfootnotch_forward::place::{Prompt, Refusal};
use coltsfootnotch_forward::registry::Announcement;
use coltsfootnotch_forward::streams::StreamOrigin;
use derive_more::Display;
use tokio::sync::oneshot;

/// Request to the actor for the placement of a caller's request.
#[derive(Debug)]
pub(super) struct PlaceRequest {
    /// The configuration that it was matched with.
    pub(super) config: Arc<ServiceConfig>,
    /// Index of its service in the configuration.
    pub(super) service: usize,
    /// Its client account; requests with one are refused without a valid lease.
    pub(super) account: Option<Arc<str>>,
    /// Priority of its account, if it has one.
    pub(super) account_priority: Option<u32>,
    /// Priority of its route.
    pub(super) route_priority: u32,
    /// Its prompt.
    pub(super) prompt: Arc<Prompt>,
    /// The origin of the stream that it resumes; only upstreams of the same may go on with it.
    pub(super) origin: Option<StreamOrigin>,
    /// Upstreams at which it has failed.
    pub(super) avoid: Vec<Arc<str>>,
    /// Whether its answer is a stream of events.
    pub(super) is_stream: bool,
    /// Whether it reached an upstream before, so that it needs a retry from the budget.
    pub(super) is_retry: bool,
    /// Digest of its content.
    pub(super) content: u64,
    /// Digest of the identity of its stream, if its caller may resume it.
    pub(super) stream: Option<u64>,
    /// Differs between requests; breaks ties.
    pub(super) tie_breaker: u64,
    /// Time left of its route's target when it was sent to the actor, if it has one.
    pub(super) target_left: Option<Duration>,
    /// Whether it has waited, so that its account's demand is counted already.
    pub(super) has_waited: bool,
}

impl PlaceRequest {
    /// Whether the upstream runs the version that began the stream to resume, if any.
    pub(super) fn may_go_to(&self, upstream: &Announcement) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| origin.matches(upstream))
    }

    /// Whether the request has not been placed before.
    pub(super) fn is_first(&self) -> bool {
        self.avoid.is_empty() && !self.is_retry
    }

    /// Whether the request is not counted in its account's demand yet.
    pub(super) fn is_new(&self) -> bool {
        self.is_first() && !self.has_waited
    }

    /// Its urgency.
    pub(super) fn priority(&self) -> Priority {
        Priority {
            account: self.account_priority.unwrap_or(self.route_priority),
            route: self.route_priority,
        }
    }
}

/// Request to the actor for the origin of a stream that its caller resumes.
#[derive(Debug, Clone)]
pub(super) struct FindOrigin {
    /// Digest of the stream's identity, if the caller names the request that began it.
    pub(super) stream: Option<u64>,
    /// The service that its route leads to, if that is but one.
    pub(super) sole_service: Option<Arc<str>>,
}

/// How the origin of a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum OriginSource {
    /// This entry placed the stream.
    #[display("entry")]
    Entry,
    /// A control host has it from the entry that placed the stream.
    #[display("control host")]
    ControlHost,
    /// Its service has one version.
    #[display("sole version")]
    SoleVersion,
}

/// The origin of a stream that its caller resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KnownOrigin {
    pub(super) origin: StreamOrigin,
    pub(super) source: OriginSource,
}

/// The placement of a request.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    /// The upstream.
    pub(super) upstream: Arc<str>,
    /// Start time of its process, in milliseconds by its own clock.
    pub(super) born_ms: u64,
    /// The service and version of the upstream.
    pub(super) origin: StreamOrigin,
    /// Its HTTP address.
    pub(super) address: SocketAddr,
    /// Address of the engine from which it copies cached segments of the prompt.
    pub(super) copy_from: Option<SocketAddr>,
    /// The request's part of its load.
    pub(super) sent: SentRequest,
    /// Digest of the request's content.
    pub(super) content: u64,
    /// The request's prompt.
    pub(super) prompt: Arc<Prompt>,
    /// Whether its answer is a stream of events.
    pub(super) is_stream: bool,
    /// Digest of the identity of its stream, if its caller may resume it.
    pub(super) stream: Option<u64>,
    /// Whether the request was placed before.
    pub(super) is_repeated: bool,
    /// Most idle connections that this entry keeps to it.
    pub(super) connections: usize,
}

/// What was known of an account's share when one of its requests was refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AccountShare {
    /// Usage relative to the fair share; above 1 it has more.
    pub(super) pressure: f64,
    /// Fraction of its demand within the fair share.
    pub(super) fraction: f64,
    /// Time since the usage at the other entries was received.
    pub(super) age: Duration,
}

/// Why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum PlacementError {
    /// No upstream can start it in time. Shows its account's share if that is limited.
    Refused(Refusal, Option<AccountShare>),
    /// The lease of the configuration has expired.
    NoLease,
    /// The retry budget is used up.
    NoRetryBudget,
    /// The version that began the stream to resume is not known, and there are several.
    UnknownOrigin,
    /// Requests with this content have crashed upstreams.
    PoisonRequest,
    /// Requests with these prompt segments have crashed upstreams.
    PoisonSegment,
    /// The process stops before the response could be complete.
    Stopping,
}

/// Outcome of an exchange with an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The complete response came.
    Completed,
    /// The upstream did not run the request.
    NotRun,
    /// The upstream responded with a failure.
    Failed,
    /// Connecting failed.
    Unreachable,
    /// Nothing came for long on an open connection, and the upstream was given up.
    Silent,
    /// The connection broke.
    Broken,
    /// The caller disconnected, or its deadline passed.
    Abandoned,
}

/// A stream's pause that comes near the target of its route.
#[derive(Debug, Clone)]
pub(super) struct StreamPause {
    /// The upstream.
    pub(super) upstream: Arc<str>,
    /// Start time of its process, in milliseconds by its own clock.
    pub(super) born_ms: u64,
    /// Time without an event.
    pub(super) time: Duration,
    /// The longest pause that the route tolerates.
    pub(super) tolerated: Duration,
}

/// A silence after which another upstream is sought for a request.
#[derive(Debug, Clone)]
pub(super) struct Silence {
    /// The upstream.
    pub(super) upstream: Arc<str>,
    /// Start time of its process, in milliseconds by its own clock.
    pub(super) born_ms: u64,
    /// Whether the upstream goes on.
    pub(super) is_over: bool,
}

impl Silence {
    /// The silence of the upstream of `ticket`, or its end.
    pub(super) fn of(ticket: &Ticket, is_over: bool) -> Self {
        Self {
            upstream: ticket.upstream.clone(),
            born_ms: ticket.born_ms,
            is_over,
        }
    }
}

/// A message to the actor.
pub(super) enum ForwardMsg {
    Fabric(Event),
    Place(
        Box<PlaceRequest>,
        oneshot::Sender<Result<Ticket, PlacementError>>,
    ),
    FindOrigin(FindOrigin, oneshot::Sender<Option<KnownOrigin>>),
    /// The first event of a stream that was placed more than once has come. It is delivered once control hosts have
    /// been told where it comes from.
    ConfirmOrigin(Ticket, oneshot::Sender<()>),
    /// The first event of a response has come.
    FirstEvent(Ticket),
    /// An exchange has ended.
    Finished {
        ticket: Ticket,
        has_started: bool,
        outcome: Outcome,
    },
    /// A stream continues after a pause.
    StreamPause(StreamPause),
    /// A request's upstream is silent, or no longer.
    Silence(Silence),
    /// The delay until the runtime scheduled a task.
    SchedulingDelay(Duration),
    /// The settings have changed to these seeds.
    Seeds(Vec<SocketAddr>),
    Stop,
}

/// The `Retry-After` of refusals for the state of the fleet, such as an expired lease.
pub(super) const RETRY_SOON: Duration = Duration::from_millis(300);
