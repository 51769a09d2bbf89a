//! One run of one relay.

use coltsfootnotch_types::HostName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of the run of a relay, higher at each start.
///
/// Relays have a disk, so they count their starts there. The order is what lets summaries be merged
/// in any order: with random numbers, a late message of the earlier run would replace the later one.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Epoch(pub u64);

/// One run of one relay.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}/{epoch}")]
pub struct RelayId {
    /// Its host.
    pub host: HostName,
    /// Its run.
    pub epoch: Epoch,
}
