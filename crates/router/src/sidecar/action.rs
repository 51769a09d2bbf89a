//! What the sidecar core wants done, and what it is told of runs.

use std::time::Duration;

use coltsfootnotch_decide::window::RunEnd;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, FailReason, FromSidecar};

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SidecarAction {
    /// Send a control message to an entry.
    Send {
        /// The entry.
        to: HostName,
        /// The message.
        message: FromSidecar,
    },
    /// End an attempt that runs: its caller has gone.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// How an attempt ended at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The answer is whole.
    Finished,
    /// The upstream can't be connected to; nothing was sent.
    NotReached,
    /// It failed.
    Failed(FailReason),
}

impl RunOutcome {
    /// What the end says of the upstream.
    #[must_use]
    pub fn end(self) -> RunEnd {
        match self {
            Self::Finished => RunEnd::Finished,
            Self::Failed(FailReason::Cancelled | FailReason::PiecesGone) => RunEnd::Cancelled,
            Self::NotReached | Self::Failed(_) => RunEnd::Failed,
        }
    }
}

/// Time since `then`, in milliseconds.
pub(super) fn millis_since(then: Duration, now: Duration) -> u64 {
    u64::try_from(now.saturating_sub(then).as_millis()).unwrap_or(u64::MAX)
}
