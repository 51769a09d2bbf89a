//! What the entry core wants done.

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, BeginCause, ToSidecar};

use super::Waiting;

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a control message to a sidecar.
    Send {
        /// The sidecar.
        to: HostName,
        /// The message.
        message: ToSidecar,
    },
    /// Open an attempt at a sidecar. From here on only its `NotStarted` means not run.
    Begin {
        /// The attempt.
        attempt: AttemptId,
        /// The sidecar.
        to: HostName,
        /// The run of the sidecar that may dispatch it.
        sidecar: Incarnation,
        /// Offered, or pulled.
        cause: BeginCause,
        /// The request; handed back by [`EntryCore::requeue`](super::EntryCore::requeue) when it was
        /// not started.
        waiting: Waiting,
    },
    /// The deadline passed while the request waited: it did not run.
    Expired {
        /// The request.
        waiting: Waiting,
    },
}
