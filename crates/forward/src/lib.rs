//! Decisions of a forwarding entry, without I/O.
//!
//! A forwarding entry takes requests of any HTTP service, finds their route, and sends them straight
//! to an upstream. No sidecar stands beside the upstreams, so the entries share what they know of
//! them: each tells the control hosts what it has sent where, and learns what the others have.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | which route and client account a request belongs to, and whether a configuration is valid |
//! | [`book`] | which upstreams there are, by what they announce |
//! | [`follow`] | which control host is followed |
//! | [`load`] | what all entries together have sent to each upstream, and how fast it works |
//! | [`share`] | which client accounts use more than their fair share |
//! | [`place`] | which upstream a request goes to, or that it is refused at once |
//! | [`awake`] | whether requests have waited through a stand-still of the host |
//! | [`overload`] | whether callers are better off at another host |
//! | [`retry`] | whether a request is sent to a second upstream |
//!
//! Time is passed in as [`std::time::Duration`] since the start of the process.

pub mod awake;
pub mod book;
pub mod config;
pub mod follow;
pub mod lease;
pub mod load;
pub mod overload;
pub mod place;
pub mod retry;
pub mod share;

/// The types that users of this package nearly always need.
pub mod prelude {
    pub use crate::book::{Announcement, Stage, Upstream, UpstreamBook};
    pub use crate::config::{Account, ConfigDraft, ForwardConfig, Kind, Route, Service};
    pub use crate::lease::ConfigLease;
    pub use crate::load::{FleetLoad, UpstreamLoads};
    pub use crate::place::{Placement, Refusal, place_engine, place_plain};
    pub use crate::retry::{BrokenRequests, SecondSends};
    pub use crate::share::FairShares;
}
