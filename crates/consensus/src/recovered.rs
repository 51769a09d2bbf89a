//! What a member finds in its data folder when it starts.

use crate::{Entry, HardState, MemberId, Snapshot};

/// The synced state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// The member that the data folder belongs to.
    pub member: MemberId,
    /// Its term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// The state of a member whose data folder was empty.
    #[must_use]
    pub fn empty(member: MemberId) -> Self {
        Self {
            member,
            hard: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Whether the member has never held an entry; only such members may found a group.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty()
    }
}
