//! Actions that the entry core requests from its daemon.

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, OpenCause, ToSidecar};

use super::QueuedRequest;

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a control message to a sidecar.
    Send {
        /// The sidecar.
        to: HostName,
        /// The message.
        message: ToSidecar,
    },
    /// Open an attempt at a sidecar. From then on the request may run; only a `NotStarted` reply
    /// rules that out.
    OpenAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The sidecar.
        to: HostName,
        /// The incarnation of the sidecar that may dispatch it.
        sidecar: Incarnation,
        /// Whether the attempt is an offer or answers a pull.
        cause: OpenCause,
        /// The request; pass it to [`EntryCore::requeue`](super::EntryCore::requeue) if the attempt
        /// is not started.
        waiting: QueuedRequest,
    },
    /// The request's deadline passed while it waited; it did not run.
    Expired {
        /// The request.
        waiting: QueuedRequest,
    },
}
