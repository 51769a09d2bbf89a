//! What one origin has counted for one account.

use coltsfootnotch_types::ServiceUnits;

use super::VirtualService;

/// Service that one origin gave one account, as of a version of that origin.
///
/// The value may fall, when a run costs less than its estimate. The version, raised by the one
/// writer at each change, tells which of two copies is later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Counts the changes of the origin; higher is later.
    pub version: u64,
    /// Service in units.
    pub service: ServiceUnits,
    /// The same service, each run divided by the weight in force at its start.
    pub normalised: VirtualService,
}

impl Tally {
    /// Whether this copy is later than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.version > other.version
    }
}
