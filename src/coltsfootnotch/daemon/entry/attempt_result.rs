//! The result of an attempt, which its task reports to the actor.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FailReason, NotStartedReason, Usage};

/// A response that is collected in full before it is sent to the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct CollectedResponse {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Vec<u8>,
}

/// The result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The stream could not be opened, so nothing was sent.
    NotSent,
    /// The sidecar did not start the attempt and never will.
    NotStarted(NotStartedReason),
    /// The response is complete; `collected` is none when it was streamed to the caller.
    Done {
        usage: Usage,
        collected: Option<CollectedResponse>,
        first_chunk_at: Option<Duration>,
    },
    /// The attempt started and failed.
    Failed {
        reason: FailReason,
        delivered: bool,
        upstream: Option<UpstreamName>,
    },
    /// The connection broke and was not resumed; the attempt may have started.
    ConnectionLost {
        delivered: bool,
        upstream: Option<UpstreamName>,
    },
    /// The caller does not read its response.
    CallerStalled,
}
