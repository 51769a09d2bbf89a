//! Host processes that detect crashes.

use coltsfootnotch_types::{HostName, Incarnation};
use derive_more::Display;

/// One process of a host, which numbers the crashes that it detects.
///
/// A host that restarts without state numbers from the start again. The incarnation keeps these
/// crashes from being mistaken for earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{host}/{incarnation}")]
pub struct Origin {
    /// The host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

impl Origin {
    /// The process of `host` with this incarnation.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}
