//! Control messages of late binding between entries and sidecars: waiting requests, free slots and
//! pulls.

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{AttemptId, ContentKey, CrashRef, UpstreamCrash};

/// Waiting requests of a client account in one pool at one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountWait {
    /// The account.
    pub account: AccountName,
    /// Number of waiting requests; zero when none is left.
    pub count: u32,
    /// Age of the oldest one when the message was sent, in milliseconds.
    pub oldest_ms: u64,
}

/// From an entry to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToSidecar {
    /// Waiting requests in a pool that the sidecar serves.
    Waits {
        /// The pool.
        pool: PoolName,
        /// Whether this replaces all earlier updates of the pool; set in the first update after the
        /// sidecar has reported that it serves the pool.
        full: bool,
        /// The accounts whose waiting requests have changed.
        changes: Vec<AccountWait>,
    },
    /// The entry has no request for a pull; the reserved slot is free again.
    NoWork {
        /// Number of the pull.
        pull: u64,
    },
    /// Cancels an attempt whose caller has disconnected.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Prevents the dispatch of an attempt, and asks whether it was dispatched before. Resolves an
    /// attempt whose outcome is unknown.
    CloseAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// From a sidecar to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSidecar {
    /// Free slots of a pool at this sidecar.
    FreeSlots {
        /// The pool.
        pool: PoolName,
        /// Number of free slots, without reserved ones; zero if the sidecar is saturated.
        slots: u32,
        /// Total slots of its live upstreams of the pool, free or not.
        usable: u32,
        /// Digests of prefixes that the upstreams have cached since the last message.
        cached: Vec<u64>,
    },
    /// Requests work for a reserved slot.
    Pull {
        /// Number of the pull.
        pull: u64,
        /// The pool.
        pool: PoolName,
        /// Accounts in order of priority, the one furthest below its fair share first.
        accounts: Vec<AccountName>,
    },
    /// An upstream has crashed.
    Crashed(UpstreamCrash),
    /// A suspect has finished normally, so it did not cause these crashes.
    Cleared {
        /// The suspect.
        key: ContentKey,
        /// The crashes.
        crashes: Vec<CrashRef>,
    },
    /// Response to [`ToSidecar::CloseAttempt`].
    AttemptClosed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether this incarnation has not dispatched it and never does.
        never_dispatched: bool,
    },
    /// The sidecar no longer serves a pool: it has no upstream of it left, or is draining.
    NotServed {
        /// The pool.
        pool: PoolName,
    },
}
