//! What a daemon does on its host.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The role of a daemon, from its settings and its certificate.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests from callers, queues them and delivers answers.
    #[display("entry")]
    Entry,
    /// Runs beside upstreams, pulls waiting work and dispatches it.
    #[display("sidecar")]
    Sidecar,
    /// Keeps the replicated log and relays membership and service counters.
    #[display("control")]
    Control,
    /// The operators' command line: it applies manifests and reads the state, and runs no daemon.
    #[display("operator")]
    Operator,
}
