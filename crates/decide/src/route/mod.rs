//! Routing of requests to upstreams, with prefix affinity, health and gradual version shifts.
//!
//! [`choose_upstream()`] considers only upstreams with a free slot, so affinity never delays a
//! request. It prefers an upstream that has the prefix cached while its load is within a bound of
//! the mean, which keeps a popular prefix from overloading one upstream; then upstreams within the
//! bound, nearest failure domain first; then the first by rendezvous hashing of the prefix, which
//! gives affinity without cache events.
//!
//! Health ([`UpstreamHealth`]) and version weight ([`VersionShift`]) scale the usable slots of an
//! upstream, so load moves gradually and a flapping upstream does not alternate between idle and
//! overloaded. For a pull, [`choose_request()`] prefers a request whose prefix the upstream has
//! cached, among the oldest few of the account.

mod candidate;
mod choose_request;
mod choose_upstream;
mod health;
mod prefix;
mod shift;

pub use candidate::{Candidate, Proximity};
pub use choose_request::{WaitingRequest, choose_request};
pub use choose_upstream::choose_upstream;
pub use health::{HealthEvent, UpstreamHealth};
pub use prefix::{PrefixKey, PrefixMap};
pub use shift::{VersionShift, usable_slots};
