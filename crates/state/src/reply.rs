//! Replies: what the state machine says to each command, the same on every member.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, BodyDigest, FencingNumber, LogTime, Outcome, ProcessId};

/// The answer to one command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To an `ApplyConfig`.
    Config(ConfigReply),
    /// To a write of the ledger.
    Ledger(LedgerReply),
    /// To a batch: one answer for each write, in order.
    Batch(Vec<LedgerReply>),
    /// To `Expire`.
    Expired {
        /// Records that have expired with this command.
        records: u32,
    },
    /// To `SetLimits`.
    LimitsSet,
    /// To `Grant`, `Renew` and `Release`.
    Lease(LeaseReply),
    /// To `OrderDone`.
    Order(OrderReply),
}

/// The answer to an operator who applies a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// Accepted, now or when it was first sent.
    Accepted {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: BodyDigest,
    },
    /// The number was accepted before with other content.
    Conflict {
        /// The number.
        number: u64,
        /// Digest of what was accepted under it.
        accepted: BodyDigest,
    },
    /// The number is lower than the one in force and was not accepted before.
    Stale {
        /// The number in force.
        accepted: u64,
    },
    /// The digest is not that of the body.
    DigestMismatch {
        /// Digest of the body that came.
        found: BodyDigest,
    },
    /// The body is too large.
    TooLarge {
        /// The largest accepted, in bytes.
        max_bytes: u64,
    },
}

/// The answer to one write of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// To an intent: the attempt may be dispatched.
    Started,
    /// The call has ended; this is its recorded answer.
    AlreadyDone(Outcome),
    /// To an intent: another attempt is open and may have run.
    InDoubt {
        /// The open attempt.
        attempt: AttemptId,
        /// The process that can say whether it dispatched it.
        sidecar: ProcessId,
        /// When its intent was written.
        since: LogTime,
    },
    /// The key was used with another body.
    BodyMismatch,
    /// The key is older than the retention. It is not run.
    TooOld,
    /// The write is refused and nothing has changed. An intent so answered is not run.
    Refused(LedgerRefusal),
    /// To an outcome: it is recorded.
    Recorded,
    /// To a close: the attempt is closed, and another may start.
    Closed,
    /// To a settlement: the answer is recorded.
    Settled,
}

/// Why a write of the ledger is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRefusal {
    /// The account has as many records as it may.
    AccountFull,
    /// The account has used plain keys up; dated ones are still accepted.
    PlainKeysUsedUp,
    /// A dated key bears a time that the log has not reached.
    NotYetIssued,
    /// Every permitted attempt of the key was closed.
    TooManyAttempts,
    /// The attempt was closed before and can't be started or ended.
    AttemptClosed,
    /// The attempt is not the open one.
    NotOpen,
    /// There is no record of the key.
    NoRecord,
    /// The process that disowns the attempt is not one whose word is enough.
    NotItsProcess,
}

/// The answer about a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The lease is held by whoever asked.
    Granted {
        /// Unique to this holder and higher than that of every earlier one.
        number: FencingNumber,
        /// For how long from the sending of the request, by the holder's clock and before drift.
        ttl: Duration,
        /// The lease of the holder before, when that one expired without having been released:
        /// its last orders may still be under way.
        after_expired: Option<FencingNumber>,
    },
    /// Another process holds the lease.
    Held {
        /// The holder.
        holder: ProcessId,
        /// When it expires, in log time.
        until: LogTime,
    },
    /// The lease was released, or had been.
    Released,
    /// The lease is no longer held under that number: stop at once.
    Lost,
    /// The time asked for is out of bounds.
    BadTtl,
}

/// The answer to a finished order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// Recorded; it will not be given again.
    Recorded,
    /// The order was given under an old fencing number.
    OldNumber,
}
