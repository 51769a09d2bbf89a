//! What waits at an entry, and which sidecar has room: the control messages of late binding.

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{AttemptId, ContentKey, CrashNews, CrashRef};

/// How much one client account has waiting in one pool at one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountWait {
    /// The account.
    pub account: AccountName,
    /// Requests waiting; zero when the account no longer waits.
    pub count: u32,
    /// Age of the oldest one in milliseconds when the message was sent.
    pub oldest_ms: u64,
}

/// From an entry to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToSidecar {
    /// What waits in a pool that the sidecar serves.
    Waits {
        /// The pool.
        pool: PoolName,
        /// Whether this replaces all that was said of the pool before: the first message after the
        /// sidecar has said that it serves the pool.
        full: bool,
        /// The accounts whose waiting has changed.
        changes: Vec<AccountWait>,
    },
    /// The entry had nothing to start for a pull; the reserved slot is free again.
    Nothing {
        /// Number of the pull.
        pull: u64,
    },
    /// Ends an attempt whose caller has gone.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Asks whether an attempt was dispatched, to settle a doubt.
    Disown {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// From a sidecar to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSidecar {
    /// Free slots of a pool at this sidecar; zero while it is full.
    Free {
        /// The pool.
        pool: PoolName,
        /// Free slots, reserved ones taken off.
        slots: u32,
        /// Slots that its live upstreams of the pool have in all, free or not.
        usable: u32,
        /// Prefix digests held in the upstreams' caches that are new since the last message.
        cached: Vec<u64>,
    },
    /// Asks for work for one reserved slot.
    Pull {
        /// Number of the pull.
        pull: u64,
        /// The pool.
        pool: PoolName,
        /// Accounts in the order in which they are behind.
        accounts: Vec<AccountName>,
    },
    /// An upstream has crashed.
    Crashed(CrashNews),
    /// A suspect has ended well, so it did not cause these crashes.
    Cleared {
        /// The suspect.
        key: ContentKey,
        /// The crashes.
        crashes: Vec<CrashRef>,
    },
    /// Answers [`ToSidecar::Disown`].
    Disowned {
        /// The attempt.
        attempt: AttemptId,
        /// Whether this run never dispatched it and never will.
        never: bool,
    },
    /// The sidecar serves a pool no longer: its upstreams of it are gone, or it is leaving itself.
    NotServed {
        /// The pool.
        pool: PoolName,
    },
}
