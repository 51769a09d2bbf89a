//! The one writer of a set of service tallies.

use coltsfootnotch_types::{HostName, Incarnation};
use derive_more::Display;

/// One run of one host, the only writer of its tallies.
///
/// A host that restarts with no state counts from zero under a new incarnation. Were the host alone
/// the key, its fresh zeros would erase the service it gave before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{host}/{incarnation}")]
pub struct Origin {
    /// The host that gave the service.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
}

impl Origin {
    /// Names one run of one host.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}
