//! Attempts to run a request on an upstream, and the frames of an attempt's stream.

use coltsfootnotch_types::prelude::*;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::CrashRef;

/// Globally unique identifier of an attempt.
///
/// Replies are matched by it, so a late reply is never taken for that of another attempt.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{entry}-{request}-{attempt}")]
pub struct AttemptId {
    /// Incarnation of the entry that received the request.
    pub entry: Incarnation,
    /// Number of the request within that incarnation.
    pub request: u64,
    /// Number of the attempt within the request, from zero.
    pub attempt: u32,
}

/// Whether a request was executed, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// No upstream received it.
    #[display("no")]
    No,
    /// An upstream may have executed it.
    #[display("unknown")]
    Unknown,
    /// An upstream responded to it.
    #[display("yes")]
    Yes,
}

/// The caller's HTTP request, as it is sent to the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body, if there is a body.
    pub content_type: Option<String>,
    /// Idempotency key of a call that must not be repeated.
    pub idempotency_key: Option<String>,
    /// Body as received.
    #[serde(with = "coltsfootnotch_types::bytes_format")]
    pub body: Vec<u8>,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
}

/// Why an attempt is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpenCause {
    /// The entry believes that the sidecar has a free slot.
    Offer,
    /// The sidecar has pulled a request and reserved a slot for it.
    Pull {
        /// Number of the pull.
        pull: u64,
    },
    /// Resumes the response stream after the connection was lost.
    Resume {
        /// Sequence number of the first chunk that was not delivered.
        from: u64,
    },
}

/// The first frame of an attempt's stream, from entry to sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why it is opened.
    pub cause: OpenCause,
    /// The account that sent the request.
    pub account: AccountName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The sidecar incarnation that may dispatch it; any other replies that it was not started.
    pub sidecar: Incarnation,
    /// SHA-256 of method, path and body; identifies requests that crash upstreams.
    pub content: [u8; 32],
    /// Digest of the prompt's prefix, which may crash upstreams in any request; zero without a prompt.
    pub prefix: u64,
    /// Whether it may be retried on another upstream.
    pub repeatable: bool,
    /// Crashes that the content is suspected of. Suspects never run together on an upstream, so
    /// that a second crash identifies the cause.
    pub suspected_of: Vec<CrashRef>,
    /// Estimated service, charged when the attempt starts and settled when it finishes.
    pub estimate: ServiceUnits,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The call.
    pub call: Call,
}

/// Reason why a sidecar did not start an attempt; no upstream received the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The sidecar has no free slot.
    #[display("no free slot")]
    Busy,
    /// The upstream or the sidecar is draining.
    #[display("leaving")]
    Leaving,
    /// The slot is no longer reserved for the pull.
    #[display("pull expired")]
    PullExpired,
    /// The attempt is addressed to another incarnation of the sidecar.
    #[display("another incarnation")]
    OtherIncarnation,
    /// The connection to the upstream failed before anything was sent.
    #[display("upstream not reached")]
    NotReached,
    /// Another request that is suspected of a crash is running on the upstream.
    #[display("another suspect runs there")]
    OtherSuspect,
    /// The attempt was opened before: the frame is a replay or a duplicate.
    #[display("already seen")]
    Duplicate,
}

/// Reason why an attempt failed after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum FailReason {
    /// The upstream closed the connection before the end of the response.
    #[display("upstream broke off")]
    UpstreamAborted,
    /// The upstream did not respond in time.
    #[display("upstream timed out")]
    UpstreamTimeout,
    /// The entry cancelled it.
    #[display("cancelled")]
    Cancelled,
    /// The sidecar no longer buffers the chunks from which to resume.
    #[display("pieces no longer held")]
    ChunksDiscarded,
}

/// Tokens and service that an attempt used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
    /// Total service charged.
    pub service: ServiceUnits,
}

/// Frames from sidecar to entry on an attempt's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptReply {
    /// The attempt was not started, and this sidecar incarnation never starts it.
    NotStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        reason: NotStartedReason,
    },
    /// The attempt has a slot; the upstream may receive it from now on.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream that runs it.
        upstream: UpstreamName,
    },
    /// The head of the upstream's response.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status code.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Whether the end of the body is that of the upstream's connection, so that it is unknown
        /// whether the body is complete.
        ends_with_connection: bool,
    },
    /// A chunk of the response body.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Sequence number, from zero, without gaps.
        seq: u64,
        /// The bytes of the chunk.
        #[serde(with = "coltsfootnotch_types::bytes_format")]
        data: Vec<u8>,
    },
    /// The response is complete.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// Total number of chunks.
        chunks: u64,
        /// Tokens and service that it used.
        usage: Usage,
    },
    /// The attempt was started and failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
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
            | Self::Chunk { attempt, .. }
            | Self::Done { attempt, .. }
            | Self::Failed { attempt, .. } => *attempt,
        }
    }
}
