//! Who notices crashes.

use coltsfootnotch_types::{HostName, Incarnation};
use derive_more::Display;

/// One run of one host, which numbers the crashes that it notices.
///
/// A host that restarts with no state counts from zero under a new incarnation. Were the host alone
/// the key, its next crash would be taken for one that is already known.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{host}/{incarnation}")]
pub struct Origin {
    /// The host.
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
