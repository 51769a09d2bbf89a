//! Who a member of the group is: a host together with the disk that holds its log.

use coltsfootnotch_types::HostName;
use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// The identity of one data folder, drawn at random when the folder is first used.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct DiskId(pub u128);

impl DiskId {
    /// Draws the identity of a new data folder.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// One member of the group.
///
/// The disk is part of the identity. A host that comes back with an empty disk has forgotten its
/// votes and the entries it acknowledged; under its old identity it could vote twice in a term, or
/// make a majority that lacks a committed entry. As another member it counts for nothing until the
/// group has admitted it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}/{disk}")]
pub struct MemberId {
    /// The host that runs the member.
    pub host: HostName,
    /// The data folder that the member's log lives in.
    pub disk: DiskId,
}
