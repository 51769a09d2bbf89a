//! Identity of a relay.

use coltsfootnotch_types::HostName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of the run of a relay, stored on disk and incremented at each start.
///
/// Epochs are ordered so that a late delta of an earlier run cannot replace the summary of a later
/// one.
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
    /// The number of the run.
    pub epoch: Epoch,
}
