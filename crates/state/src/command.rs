//! Commands that hosts propose to the replicated log.
//!
//! Commands are stored in the log and sent between hosts, so their encoding must stay readable:
//! variants are only added at the end.

use std::time::Duration;

use coltsfootnotch_types::{AccountName, Incarnation, LeaseName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{
    Action, AttemptId, BodyDigest, CodecError, EvacuationOrder, FencingNumber, IdempotencyKey,
    KeyDigest, LedgerLimits, LogTime, Outcome, ProcessId, SetEvacuation,
};

/// The version that [`Command::encode`] writes.
const COMMAND_VERSION: u8 = 1;

/// One log entry with its time stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Log time at which the leader proposed it.
    pub at: LogTime,
    /// The operation.
    pub op: Op,
}

/// The operation of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Puts a configuration in force.
    ApplyConfig(ApplyConfig),
    /// Writes to the ledger.
    Ledger(LedgerOp),
    /// Several ledger writes, applied in order. One log entry needs one checksum, one disk sync and
    /// one round of replication for all of them.
    Batch(Vec<LedgerOp>),
    /// Advances log time and expires records; proposed by the leader at least once a minute.
    Expire,
    /// Changes the limits of the ledger.
    SetLimits(LedgerLimits),
    /// Requests a lease.
    Grant(Grant),
    /// Extends a lease.
    Renew(Renew),
    /// Releases a lease, once no order of its holder is in flight.
    Release(Release),
    /// Records that an engine has executed an order.
    OrderDone(OrderDone),
    /// Starts or ends the evacuation of a failure domain. Operators propose it, and control hosts pass it on
    /// as `Evacuate`; logs of earlier programs hold it.
    SetEvacuation(SetEvacuation),
    /// Starts or ends the evacuation of a failure domain, unless the order is late.
    Evacuate(EvacuationOrder),
}

/// Puts the configuration `number` in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConfig {
    /// Number chosen by the operator; the highest accepted is in force.
    pub number: u64,
    /// SHA-256 of `body`.
    pub digest: BodyDigest,
    /// The manifest; opaque to this crate.
    #[serde(with = "coltsfootnotch_types::bytes_format")]
    pub body: Vec<u8>,
}

/// A write to the ledger for one key of one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerOp {
    /// The client account that the key belongs to.
    pub account: AccountName,
    /// Digest of the key.
    pub key: KeyDigest,
    /// The write.
    pub write: LedgerWrite,
}

/// A write to the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerWrite {
    /// An attempt is about to be dispatched.
    Intent(Intent),
    /// The attempt ended with this outcome.
    Outcome(AttemptId, Outcome),
    /// The attempt is never dispatched.
    Close(Close),
    /// The reread call found the booking.
    Resolve(Resolve),
}

/// An attempt is about to be dispatched by `sidecar`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Issue time of a dated key; `None` for a plain key.
    pub issued: Option<LogTime>,
    /// Digest of the request's method, path and body.
    pub body: BodyDigest,
    /// The attempt.
    pub attempt: AttemptId,
    /// The one process that may dispatch it.
    pub sidecar: ProcessId,
}

/// Closes an attempt that was not dispatched and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The attempt.
    pub attempt: AttemptId,
    /// The process that closes it.
    pub by: ClosedBy,
}

/// A process that can guarantee that an attempt is never dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClosedBy {
    /// The run of the sidecar named in the intent, which alone can dispatch the attempt.
    Sidecar(ProcessId),
    /// The run of the entry that created the attempt and has not sent its `Start`, without which no
    /// sidecar dispatches.
    Entry(Incarnation),
}

/// Resolves an open attempt with the answer found by the reread call of the manifest.
///
/// A reread call that finds no booking resolves nothing: the upstream may still be processing it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolve {
    /// The attempt whose outcome is unknown.
    pub attempt: AttemptId,
    /// The answer to record.
    pub outcome: Outcome,
}

/// Requests a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub lease: LeaseName,
    /// The requesting process.
    pub holder: ProcessId,
    /// Duration of the lease, counted from the stamp of the command.
    pub ttl: Duration,
}

/// Extends a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The lease.
    pub lease: LeaseName,
    /// Its fencing number.
    pub number: FencingNumber,
    /// New duration of the lease, counted from the stamp of the command.
    pub ttl: Duration,
}

/// Releases a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The lease.
    pub lease: LeaseName,
    /// Its fencing number.
    pub number: FencingNumber,
}

/// Records that the engine of an upstream has executed an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDone {
    /// The lease under which the order was given.
    pub lease: LeaseName,
    /// Its fencing number.
    pub number: FencingNumber,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The run of its engine; a restarted engine has lost what it loaded.
    pub incarnation: Incarnation,
    /// The executed action.
    pub action: Action,
}

impl LedgerOp {
    /// Creates the intent to run `attempt` of the call with `key`.
    #[must_use]
    pub fn intent(
        account: &AccountName,
        key: &IdempotencyKey,
        body: BodyDigest,
        attempt: AttemptId,
        sidecar: &ProcessId,
    ) -> Self {
        let intent = Intent {
            issued: key.issued,
            body,
            attempt,
            sidecar: sidecar.clone(),
        };
        Self {
            account: account.clone(),
            key: key.digest,
            write: LedgerWrite::Intent(intent),
        }
    }
}

impl Command {
    /// Encodes the command for the log, preceded by a version byte.
    ///
    /// # Panics
    /// Never: every field of a command can be encoded, and the buffer grows as needed.
    ///
    /// ```
    /// use coltsfootnotch_state::{Command, LogTime, Op};
    /// let command = Command { at: LogTime(7), op: Op::Expire };
    /// assert_eq!(Command::decode(&command.encode())?, command);
    /// # Ok::<(), coltsfootnotch_state::CodecError>(())
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![COMMAND_VERSION]).expect("a command can be encoded")
    }

    /// Decodes the bytes written by [`Command::encode`].
    ///
    /// # Errors
    /// Returns a [`CodecError`] if the bytes are empty, malformed, of another version, or longer
    /// than the command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let (&version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
        if version != COMMAND_VERSION {
            return Err(CodecError::Version { found: version });
        }
        match postcard::take_from_bytes(body)? {
            (command, []) => Ok(command),
            (_, rest) => Err(CodecError::Trailing { len: rest.len() }),
        }
    }
}
