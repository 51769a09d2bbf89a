//! The types as they are on disk, apart from those in memory so that both can change freely.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    DiskId, Entry, HardState, LogIndex, MemberId, Membership, Payload, SnapshotMeta, Term,
};
use coltsfootnotch_types::HostName;

/// Version of the files' format.
pub(super) const FORMAT: u32 = 1;

/// A file of a format that this program doesn't know.
#[derive(Debug, Display, Error)]
#[display("format {found} is not known")]
pub(super) struct UnknownFormat {
    #[error(not(source))]
    found: u32,
}

fn check_format(found: u32) -> Result<(), UnknownFormat> {
    match found {
        FORMAT => Ok(()),
        _ => Err(UnknownFormat { found }),
    }
}

/// Whose folder it is.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DiskIdentity {
    format: u32,
    host: HostName,
    disk: u128,
}

impl From<&MemberId> for DiskIdentity {
    fn from(member: &MemberId) -> Self {
        Self {
            format: FORMAT,
            host: member.host.clone(),
            disk: member.disk.0,
        }
    }
}

impl TryFrom<DiskIdentity> for MemberId {
    type Error = UnknownFormat;

    fn try_from(stored: DiskIdentity) -> Result<Self, UnknownFormat> {
        check_format(stored.format)?;
        Ok(Self {
            host: stored.host,
            disk: DiskId(stored.disk),
        })
    }
}

/// The start of a segment. It repeats the vote, so that older segments can be deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskStart {
    pub(super) format: u32,
    /// The log before this segment is void: a snapshot has replaced all of it.
    pub(super) reset: bool,
    /// The last entry before this segment, in the log or, where that is void, in the snapshot.
    pub(super) log_end: u64,
}

impl DiskStart {
    /// The segment goes on after the entry at `log_end`.
    pub(super) fn after(log_end: LogIndex) -> Self {
        Self {
            format: FORMAT,
            reset: false,
            log_end: log_end.0,
        }
    }

    /// The segment goes on after the snapshot that ends with `snapshot_end`.
    pub(super) fn after_snapshot(snapshot_end: LogIndex) -> Self {
        Self {
            reset: true,
            ..Self::after(snapshot_end)
        }
    }
}

/// What one sync made durable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskBatch {
    /// Numbers run on without a gap, from segment to segment.
    pub(super) number: u64,
    /// Present in the first batch of a segment.
    pub(super) start: Option<DiskStart>,
    pub(super) works: Vec<DiskWork>,
}

/// One piece of log work.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskWork {
    pub(super) hard: Option<DiskHard>,
    pub(super) truncate_from: Option<u64>,
    pub(super) entries: Vec<DiskEntry>,
}

/// Term and vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskHard {
    term: u64,
    vote: Option<MemberId>,
}

impl From<&HardState> for DiskHard {
    fn from(hard: &HardState) -> Self {
        Self {
            term: hard.term.0,
            vote: hard.vote.clone(),
        }
    }
}

impl From<DiskHard> for HardState {
    fn from(stored: DiskHard) -> Self {
        Self {
            term: Term(stored.term),
            vote: stored.vote,
        }
    }
}

/// One entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskEntry {
    pub(super) index: u64,
    term: u64,
    payload: DiskPayload,
}

/// What an entry holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum DiskPayload {
    Noop,
    Members(Membership),
    Data(Arc<[u8]>),
}

impl From<&Entry> for DiskEntry {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Noop => DiskPayload::Noop,
            Payload::Members(members) => DiskPayload::Members(members.clone()),
            Payload::Data(data) => DiskPayload::Data(data.clone()),
        };
        Self {
            index: entry.index.0,
            term: entry.term.0,
            payload,
        }
    }
}

impl From<DiskEntry> for Entry {
    fn from(stored: DiskEntry) -> Self {
        let payload = match stored.payload {
            DiskPayload::Noop => Payload::Noop,
            DiskPayload::Members(members) => Payload::Members(members),
            DiskPayload::Data(data) => Payload::Data(data),
        };
        Self {
            index: LogIndex(stored.index),
            term: Term(stored.term),
            payload,
        }
    }
}

/// What a snapshot stands for.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DiskSnapshotMeta {
    format: u32,
    index: u64,
    term: u64,
    members: Membership,
}

impl From<&SnapshotMeta> for DiskSnapshotMeta {
    fn from(meta: &SnapshotMeta) -> Self {
        Self {
            format: FORMAT,
            index: meta.index.0,
            term: meta.term.0,
            members: meta.members.clone(),
        }
    }
}

impl TryFrom<DiskSnapshotMeta> for SnapshotMeta {
    type Error = UnknownFormat;

    fn try_from(stored: DiskSnapshotMeta) -> Result<Self, UnknownFormat> {
        check_format(stored.format)?;
        Ok(Self {
            index: LogIndex(stored.index),
            term: Term(stored.term),
            members: stored.members,
        })
    }
}
