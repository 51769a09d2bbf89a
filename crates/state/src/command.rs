//! Commands: what hosts propose to the replicated log.
//!
//! A command is a wire and disk type: it is written to the log as it is and must stay readable.
//! Variants are only ever added at the end.

use std::time::Duration;

use coltsfootnotch_types::{AccountName, Incarnation, LeaseName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{
    Action, AttemptId, BodyDigest, CodecError, FencingNumber, IdempotencyKey, KeyDigest,
    LedgerLimits, LogTime, Outcome, ProcessId,
};

/// The version that [`Command::encode`] writes.
const COMMAND_VERSION: u8 = 1;

/// One entry of the log, with the log time at which the leader took it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Stamp of the leader that proposed it.
    pub at: LogTime,
    /// What to do.
    pub op: Op,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Puts a configuration in force.
    ApplyConfig(ApplyConfig),
    /// Writes of the ledger, applied in order.
    Ledger(LedgerOp),
    /// Many writes of the ledger in one entry of the log: one checksum, one sync and one round for
    /// all that came to the leader meanwhile.
    Batch(Vec<LedgerOp>),
    /// Moves log time on and lets records expire; proposed by the leader at least once a minute.
    Expire,
    /// Changes the limits of the ledger.
    SetLimits(LedgerLimits),
    /// Asks for a lease.
    Grant(Grant),
    /// Extends a lease.
    Renew(Renew),
    /// Gives a lease back, once no order of its holder is in flight.
    Release(Release),
    /// Records that an engine has carried out an order.
    OrderDone(OrderDone),
}

/// Puts the configuration `number` in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConfig {
    /// Number chosen by the operator; the highest accepted is in force.
    pub number: u64,
    /// SHA-256 of `body`.
    pub digest: BodyDigest,
    /// The manifest; opaque here.
    pub body: Vec<u8>,
}

/// One write of the ledger, about one key of one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerOp {
    /// The client account that the key belongs to.
    pub account: AccountName,
    /// Digest of the key.
    pub key: KeyDigest,
    /// What to write.
    pub write: Record,
}

/// What a write of the ledger does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An attempt is about to be dispatched.
    Intent(Intent),
    /// The attempt `0` has ended with an answer.
    Outcome(AttemptId, Outcome),
    /// The attempt will never be dispatched.
    Close(Close),
    /// The rereading call has found the booking.
    Settle(Settle),
}

/// An attempt is about to be dispatched by `sidecar`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// When a dated key was made.
    pub issued: Option<LogTime>,
    /// Digest of the request's method, path and body.
    pub body: BodyDigest,
    /// The attempt.
    pub attempt: AttemptId,
    /// The one process that may dispatch it.
    pub sidecar: ProcessId,
}

/// The attempt was not dispatched and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The attempt.
    pub attempt: AttemptId,
    /// Who can say so.
    pub by: Disowned,
}

/// The process whose word is enough that an attempt is never dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Disowned {
    /// The sidecar run that the intent names: it alone could dispatch the attempt.
    BySidecar(ProcessId),
    /// The entry run that made the attempt and has not sent its `Start`, without which no sidecar
    /// dispatches.
    ByEntry(Incarnation),
}

/// The answer found by the manifest's rereading call settles an open attempt.
///
/// There is no counterpart for a booking that was not found: the upstream may still be at work on
/// it, so not finding it proves nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The attempt in doubt.
    pub attempt: AttemptId,
    /// The answer to record.
    pub outcome: Outcome,
}

/// Asks for a lease for `ttl` from the stamp of this command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub lease: LeaseName,
    /// Who asks.
    pub holder: ProcessId,
    /// For how long.
    pub ttl: Duration,
}

/// Extends the lease that was granted under `number`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The lease.
    pub lease: LeaseName,
    /// Its fencing number.
    pub number: FencingNumber,
    /// For how long from the stamp of this command.
    pub ttl: Duration,
}

/// Gives back the lease that was granted under `number`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The lease.
    pub lease: LeaseName,
    /// Its fencing number.
    pub number: FencingNumber,
}

/// The engine of `upstream` has carried out `action`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDone {
    /// The lease under which the order was given.
    pub lease: LeaseName,
    /// Its fencing number.
    pub number: FencingNumber,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The run of its engine; a restarted engine has lost what it was ordered to load.
    pub incarnation: Incarnation,
    /// What was done.
    pub action: Action,
}

impl LedgerOp {
    /// An intent for `key`.
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
            write: Record::Intent(intent),
        }
    }
}

impl Command {
    /// The bytes to write to the log: a version and the command.
    ///
    /// # Panics
    /// Never: every field of a command can be encoded, and a vector takes any length.
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

    /// Reads what [`Command::encode`] wrote.
    ///
    /// # Errors
    /// Returns a [`CodecError`] for bytes of another version, cut off, damaged or too long.
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
