//! Member identity: a host and the data folder that holds its log.

use coltsfootnotch_types::HostName;
use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Identity of a data folder, chosen at random when the folder is first used.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct DiskId(pub u128);

impl DiskId {
    /// Generates the identity of a new data folder.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// One member of the group.
///
/// The disk is part of the identity: a host with an empty disk has lost its votes and acknowledged
/// entries. Treating it as a new member guards against voting twice in a term and against a
/// majority that lacks a committed entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}/{disk}")]
pub struct MemberId {
    /// The host that runs the member.
    pub host: HostName,
    /// The data folder that holds the member's log.
    pub disk: DiskId,
}
