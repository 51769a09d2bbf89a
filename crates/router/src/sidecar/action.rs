//! Actions that the sidecar core requests from its daemon, and the outcomes of runs.

use std::time::Duration;

use coltsfootnotch_decide::window::RunEnd;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, FailReason, FromSidecar};

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SidecarAction {
    /// Send a control message to an entry.
    Send {
        /// The entry.
        to: HostName,
        /// The message.
        message: FromSidecar,
    },
    /// Cancel a running attempt whose caller has disconnected.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// How an attempt ended at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The answer is complete.
    Finished,
    /// The connection to the upstream failed; nothing was sent.
    NotReached,
    /// The attempt failed after it was sent.
    Failed(FailReason),
}

impl RunOutcome {
    /// The outcome as the concurrency window of the upstream counts it.
    #[must_use]
    pub fn run_end(self) -> RunEnd {
        match self {
            Self::Finished => RunEnd::Finished,
            Self::Failed(FailReason::Cancelled | FailReason::ChunksDiscarded) => RunEnd::Cancelled,
            Self::NotReached | Self::Failed(_) => RunEnd::Failed,
        }
    }
}

/// Time since `then`, in milliseconds.
pub(super) fn millis_since(then: Duration, now: Duration) -> u64 {
    u64::try_from(now.saturating_sub(then).as_millis()).unwrap_or(u64::MAX)
}
