//! Detection and refusal of requests that crash their upstream.
//!
//! Keeps a request that its caller resends after a crash from crashing one upstream after another,
//! without refusing the other requests that were in flight.
//!
//! Every request in flight at a crash becomes a suspect, identified by its account and the digest
//! of its content. An upstream runs at most one suspect at a time ([`IsolationSlot`]), beside
//! requests that are not suspect. A suspect that ends without a crash is cleared. If the upstream
//! crashes, the one request common to both crashes is identified as the cause and refused for a
//! time, and the other suspects of both crashes are cleared.
//!
//! Until all hosts have the report of the first crash, each running copy of a request can crash one
//! upstream; after that, one isolated run can: see [`max_upstreams_lost`].
//!
//! Reports are keyed by crash, clearances by request and crash. Both sets only grow until they
//! expire, so they merge in any order and all hosts reach the same result.

mod delta;
mod isolation;
mod key;
mod origin;
mod run_policy;
mod tracker;

pub use delta::{Clearance, CrashDelta, CrashReport};
pub use isolation::IsolationSlot;
pub use key::{ContentDigest, CrashId, Cursor, SuspectKey};
pub use origin::Origin;
pub use run_policy::{RunPolicy, max_upstreams_lost};
pub use tracker::CrashTracker;
