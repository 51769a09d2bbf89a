//! Replies of the state machine to commands, identical on every member.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, BodyDigest, EvacuationReply, FencingNumber, LogTime, Outcome, ProcessId};

/// The reply to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To an `ApplyConfig`.
    Config(ConfigReply),
    /// To a ledger write.
    Ledger(LedgerReply),
    /// To a batch: one reply for each write, in order.
    Batch(Vec<LedgerReply>),
    /// To `Expire`.
    Expired {
        /// Number of records expired by this command.
        records: u32,
    },
    /// To `SetLimits`.
    LimitsSet,
    /// To `Grant`, `Renew` and `Release`.
    Lease(LeaseReply),
    /// To `OrderDone`.
    Order(OrderReply),
    /// To `SetEvacuation` and `Evacuate`.
    Evacuation(EvacuationReply),
}

/// The reply to an `ApplyConfig`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// Accepted by this command or an earlier one.
    Accepted {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: BodyDigest,
    },
    /// The number was accepted with other content.
    Conflict {
        /// The number.
        number: u64,
        /// Digest accepted under it.
        accepted: BodyDigest,
    },
    /// The number is lower than the one in force and is not in the history.
    Stale {
        /// The number in force.
        accepted: u64,
    },
    /// The digest does not match the body.
    DigestMismatch {
        /// Digest of the received body.
        found: BodyDigest,
    },
    /// The body is too large.
    TooLarge {
        /// Maximum size in bytes.
        max_bytes: u64,
    },
}

/// The reply to a ledger write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// To an intent: the attempt may be dispatched.
    Started,
    /// The call is done and this is its recorded answer.
    AlreadyDone(Outcome),
    /// To an intent: another attempt is open and may have run.
    InDoubt {
        /// The open attempt.
        attempt: AttemptId,
        /// The process that knows whether it was dispatched.
        sidecar: ProcessId,
        /// Log time of its intent.
        since: LogTime,
    },
    /// The key was used with another body.
    BodyMismatch,
    /// The key is older than the retention. The call does not run.
    TooOld,
    /// The write is refused without effect. The call of a refused intent does not run.
    Refused(LedgerRefusal),
    /// To an outcome: the answer is recorded.
    Recorded,
    /// To a close: the attempt is closed, and another may start.
    Closed,
    /// To a resolution: the answer is recorded.
    Resolved,
}

/// The reason why a ledger write is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRefusal {
    /// The account has reached its limit of records.
    AccountFull,
    /// The account has reached its limit of plain keys; dated keys are still accepted.
    PlainKeysExhausted,
    /// The issue time of a dated key is later than log time.
    NotYetIssued,
    /// The key has reached its limit of attempts, and all were closed.
    TooManyAttempts,
    /// The attempt was closed and can neither start nor end.
    AttemptClosed,
    /// The attempt is not open.
    NotOpen,
    /// The key has no record.
    NoRecord,
    /// The process that closes the attempt is neither its sidecar nor its entry.
    NotAuthorized,
}

/// The reply to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The requesting process holds the lease.
    Granted {
        /// Unique to this grant and higher than that of every earlier one.
        number: FencingNumber,
        /// Duration of the lease, counted from the sending of the request on the holder's clock and
        /// not yet shortened by the drift bound.
        ttl: Duration,
        /// The fencing number of the previous grant if it expired without a release: its last
        /// orders may still be in flight.
        expired_predecessor: Option<FencingNumber>,
    },
    /// Another process holds the lease.
    Held {
        /// The holder.
        holder: ProcessId,
        /// Log time at which it expires.
        expires_at: LogTime,
    },
    /// The lease is released.
    Released,
    /// The lease is not held under that number.
    Lost,
    /// The requested duration is out of range.
    BadTtl,
}

/// The reply to an `OrderDone`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order is recorded and is not sent again.
    Recorded,
    /// The order was sent under an old fencing number.
    StaleNumber,
}
