//! Decisions of a forwarding entry, without I/O.
//!
//! A forwarding entry accepts requests of any HTTP service, finds their route, and sends them
//! directly to an upstream. Upstreams have no sidecar, so the entries share their observations of
//! them: each reports what it sent to the control hosts and receives the totals of the others.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | which route and client account a request belongs to, and whether a configuration is valid |
//! | [`registry`] | which upstreams exist, from their announcements |
//! | [`control_host`] | which control host is used |
//! | [`held`] | how much memory and how many sockets may be held for callers, and for each account |
//! | [`lease`] | whether the configuration may still be served |
//! | [`upstream_notices`] | which upstreams asked for no requests for a time, or leave |
//! | [`line`] | which requests wait for an engine with room, how long, and in which order |
//! | [`load`] | what all entries together have sent to each upstream, and how fast it is |
//! | [`streams`] | which upstreams may go on with a stream that another one began, and when |
//! | [`share`] | which client accounts use more than their fair share |
//! | [`place`] | which upstream a request goes to, or that it is refused |
//! | [`pause_detector`] | whether requests have waited through a pause of the process |
//! | [`overload`] | whether callers are sent to another host |
//! | [`retry`] | whether a request is retried at another upstream |
//!
//! Time is passed in as [`std::time::Duration`] since the start of the process.

pub mod config;
pub mod control_host;
pub mod held;
pub mod lease;
pub mod line;
pub mod load;
pub mod overload;
pub mod pause_detector;
pub mod place;
pub mod registry;
pub mod retry;
pub mod share;
pub mod streams;
pub mod upstream_notices;

/// The most commonly used types.
pub mod prelude {
    pub use crate::config::{Account, ConfigDraft, ForwardConfig, Route, RouteKind, Service};
    pub use crate::lease::ConfigLease;
    pub use crate::load::{FleetLoad, UpstreamLoads};
    pub use crate::place::{Placement, Refusal, place_engine, place_plain};
    pub use crate::registry::{Announcement, Stage, Upstream, UpstreamRegistry};
    pub use crate::retry::{PoisonRequests, RetryBudget};
    pub use crate::share::FairShares;
    pub use crate::streams::StreamOrigin;
}
