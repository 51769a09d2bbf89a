//! One attempt to run a request on an upstream, and the pieces of its answer.

use coltsfootnotch_types::prelude::*;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::CrashRef;

/// Names one attempt for ever: answers are matched by it, so a late or crossed one reaches nobody.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{entry}-{request}-{attempt}")]
pub struct AttemptId {
    /// The run of the entry process that took the request.
    pub entry: Incarnation,
    /// Number of the request within that run.
    pub request: u64,
    /// Number of the attempt within the request, from zero.
    pub attempt: u32,
}

/// Whether a request was run, as told to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// It can't have reached an upstream.
    #[display("no")]
    No,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// An upstream answered it.
    #[display("yes")]
    Yes,
}

/// What the caller asked, as the upstream will see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query at the upstream.
    pub path: String,
    /// Content type of the body, if there is a body.
    pub content_type: Option<String>,
    /// Idempotency key of a call that may not be repeated.
    pub idempotency_key: Option<String>,
    /// Body as received.
    pub body: Vec<u8>,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
}

/// Why an attempt is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginCause {
    /// The entry believes that the sidecar has a free slot.
    Offer,
    /// Answers a pull; the slot is reserved for it.
    Pull {
        /// Number of the pull.
        pull: u64,
    },
    /// Goes on after a broken connection, from the given piece.
    Resume {
        /// The first piece that was not delivered.
        from: u64,
    },
}

/// The first frame of an attempt's stream, from entry to sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why it is opened.
    pub cause: BeginCause,
    /// Whose request it is.
    pub account: AccountName,
    /// Which pool it is for.
    pub pool: PoolName,
    /// The sidecar run that may dispatch it; any other answers that it was not started.
    pub sidecar: Incarnation,
    /// SHA-256 of method, path and body, by which crashing requests are recognised.
    pub content: [u8; 32],
    /// Whether it may be run again elsewhere.
    pub repeatable: bool,
    /// Crashes that the content is suspected of. A suspect runs beside no other suspect, so that a
    /// second crash shows which it was.
    pub suspected_of: Vec<CrashRef>,
    /// Estimated service, charged at the start and settled at the end.
    pub estimate: ServiceUnits,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The call itself.
    pub call: Call,
}

/// Why a sidecar did not start an attempt; the request has not reached an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// No free slot.
    #[display("no free slot")]
    Busy,
    /// The upstream or the sidecar is leaving.
    #[display("leaving")]
    Leaving,
    /// The pull it answers is no longer reserved.
    #[display("pull expired")]
    PullExpired,
    /// The attempt names another run of the sidecar.
    #[display("another incarnation")]
    OtherIncarnation,
    /// The upstream could not be connected to: nothing was sent.
    #[display("upstream not reached")]
    NotReached,
    /// Another suspect of crashing upstreams runs there.
    #[display("another suspect runs there")]
    OtherSuspect,
    /// The attempt was already seen: a replayed or duplicated opening.
    #[display("already seen")]
    Duplicate,
}

/// How an attempt that started failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum FailReason {
    /// The upstream closed the connection before the end of the answer.
    #[display("upstream broke off")]
    UpstreamBroke,
    /// The upstream gave no answer in time.
    #[display("upstream timed out")]
    UpstreamTimeout,
    /// The entry cancelled it.
    #[display("cancelled")]
    Cancelled,
    /// The sidecar no longer holds the pieces asked for.
    #[display("pieces no longer held")]
    PiecesGone,
}

/// Tokens that an attempt used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens read.
    pub tokens_in: u64,
    /// Tokens generated.
    pub tokens_out: u64,
    /// Service charged in all.
    pub service: ServiceUnits,
}

/// Frames from sidecar to entry on an attempt's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptReply {
    /// The attempt was not started, and this sidecar run will never start it.
    NotStarted {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotStartedReason,
    },
    /// The attempt has a slot; from here on the upstream may see it.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream that runs it.
        upstream: UpstreamName,
    },
    /// The upstream's status line and content type.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// One piece of the answer.
    Piece {
        /// The attempt.
        attempt: AttemptId,
        /// Number of the piece, from zero, without gaps.
        seq: u64,
        /// The bytes.
        data: Vec<u8>,
    },
    /// The answer is whole.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// How many pieces there were.
        pieces: u64,
        /// What it used.
        usage: Usage,
    },
    /// The attempt started and won't be completed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: FailReason,
        /// What it used until then.
        usage: Usage,
    },
}

impl AttemptReply {
    /// The attempt that the frame belongs to.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::NotStarted { attempt, .. }
            | Self::Started { attempt, .. }
            | Self::Head { attempt, .. }
            | Self::Piece { attempt, .. }
            | Self::Done { attempt, .. }
            | Self::Failed { attempt, .. } => *attempt,
        }
    }
}
