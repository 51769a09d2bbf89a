//! Requests that crash whatever upstream runs them.
//!
//! **Pattern of load.** Now and then one request crashes its upstream, and its caller sends it again,
//! through any entry.
//!
//! **Without it** one caller with a retry loop takes the fleet down, upstream by upstream. A rule that
//! blames everything in flight at a crash does the same harm to callers: with thirty requests on an
//! engine, twenty-nine are innocent.
//!
//! **The rules.** A crash makes every request that was in flight a suspect, known by account and
//! digest of the content, whoever sends it again. Suspects are kept apart: an upstream runs one
//! suspect at a time ([`ApartSlot`]), beside requests that are not suspect. If it ends well, it is
//! cleared of the crashes that it was suspected of. If the upstream crashes again, the one request
//! common to both crashes is convicted, refused for a time, and all others of either crash are
//! cleared. Running suspects wholly alone would spare those beside them, but would cost an upstream's
//! whole capacity for every suspect, thirty times for one crash.
//!
//! **The bound.** Until word of the first crash has spread, each copy of the request that runs or is
//! started can take one upstream down; after that one suspect run can: see [`upstreams_lost_at_most`].
//!
//! Reports are kept by the number of the crash, clearances by request and crash. Both sets only grow
//! until they expire, so they merge in any order and every host reaches the same verdict.

mod apart;
mod delta;
mod key;
mod origin;
mod verdict;
mod watch;

pub use apart::ApartSlot;
pub use delta::{Clearance, CrashDelta, CrashReport};
pub use key::{ContentDigest, CrashId, Cursor, SuspectKey};
pub use origin::Origin;
pub use verdict::{Verdict, upstreams_lost_at_most};
pub use watch::CrashWatch;
