//! State that a member recovers from its data folder.

use crate::{Entry, HardState, MemberId, PersistWork, Snapshot};

/// The durable state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// The member that the data folder belongs to.
    pub member: MemberId,
    /// Its term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// The state of a member with an empty data folder.
    #[must_use]
    pub fn empty(member: MemberId) -> Self {
        Self {
            member,
            hard: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Whether the member has never had an entry. Only such members may bootstrap a group.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Applies a piece of work, like an in-memory storage.
    ///
    /// ```
    /// use coltsfootnotch_consensus::{DiskId, HardState, MemberId, PersistWork, Recovered, Term};
    /// use coltsfootnotch_types::HostName;
    /// let member = MemberId { host: HostName::new("a")?, disk: DiskId(1) };
    /// let mut disk = Recovered::empty(member);
    /// let hard = HardState { term: Term(3), vote: None };
    /// disk.write(PersistWork::Log { hard: Some(hard), truncate_from: None, entries: Vec::new() });
    /// assert_eq!(disk.hard.term, Term(3));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn write(&mut self, work: PersistWork) {
        match work {
            PersistWork::Log {
                hard,
                truncate_from,
                entries,
            } => {
                if let Some(hard) = hard {
                    self.hard = hard;
                }
                if let Some(from) = truncate_from {
                    self.entries.retain(|e| e.index < from);
                }
                self.entries.extend(entries);
            }
            PersistWork::Snapshot {
                snapshot,
                reset_log,
            } => {
                let index = snapshot.meta.index;
                self.entries.retain(|e| !reset_log && e.index > index);
                self.snapshot = Some(snapshot);
            }
        }
    }
}
