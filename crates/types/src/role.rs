//! Roles of the fleet's processes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Role of a process, stated in its settings and its certificate.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Receives requests from callers, queues them and returns the responses.
    #[display("entry")]
    Entry,
    /// Runs on the host of upstreams, pulls waiting requests and dispatches them.
    #[display("sidecar")]
    Sidecar,
    /// Stores the replicated log and relays membership and service counters.
    #[display("control")]
    Control,
    /// The operators' command line: applies manifests and reads the status; not a daemon.
    #[display("operator")]
    Operator,
}
