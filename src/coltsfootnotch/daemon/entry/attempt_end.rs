//! How an attempt ended, as its task tells the actor.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FailReason, NotStartedReason, Usage};

/// An answer that was collected whole before any of it goes to the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Collected {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Vec<u8>,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The stream was never opened: nothing was sent.
    NotSent,
    /// The sidecar did not start it and never will.
    NotStarted(NotStartedReason),
    /// The answer is whole; none is collected when it was streamed to the caller.
    Done {
        usage: Usage,
        collected: Option<Collected>,
        first_piece: Option<Duration>,
    },
    /// It started and won't be completed.
    Failed {
        reason: FailReason,
        delivered: bool,
        upstream: Option<UpstreamName>,
    },
    /// The connection broke and did not come back; whether it started is not known.
    Lost {
        delivered: bool,
        upstream: Option<UpstreamName>,
    },
    /// The caller does not take its answer.
    CallerStalled,
}
