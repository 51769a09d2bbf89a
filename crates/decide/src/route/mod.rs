//! Which upstream gets a request, and which request an upstream gets.
//!
//! **Pattern of load.** A few prefixes with most of the load; upstreams that are slow, suspect or
//! flapping; a new version that takes over from an old one.
//!
//! **Without it** prefix caches are used by chance only, or, with affinity alone, everybody waits for
//! the one upstream that has the popular prefix while others stand free. An upstream that is taken
//! out and put back at once on every sign swings between idle and overloaded.
//!
//! **The rules.** Only upstreams with a free slot are candidates, so affinity never makes work wait.
//! Among them one that holds the prefix is taken while its load is within a bound of the mean
//! ([`place`]); then those within the bound, the nearest failure domain first; then the one that
//! rendezvous hashing of the prefix prefers, which builds affinity without any cache event. Health ([`UpstreamHealth`]) and the weight
//! of a version ([`VersionShift`]) scale how many slots of an upstream are used, so work moves by
//! degrees. An upstream that pulls gets the chosen account's request whose prefix it holds, within
//! the oldest few ([`pick_request`]).

mod candidate;
mod health;
mod pick;
mod place;
mod prefix;
mod shift;

pub use candidate::{Candidate, Nearness};
pub use health::{HealthEvent, UpstreamHealth};
pub use pick::{WaitingRequest, pick_request};
pub use place::place;
pub use prefix::{PrefixKey, PrefixMap};
pub use shift::{VersionShift, usable_slots};
