//! On-disk types, separate from the in-memory types so that they can change independently.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    DiskId, Entry, HardState, LogIndex, MemberId, Membership, Payload, SnapshotMeta, Term,
};
use coltsfootnotch_types::HostName;

/// Version of the file format.
pub(super) const FORMAT: u32 = 1;

/// The file has an unsupported format version.
#[derive(Debug, Display, Error)]
#[display("unsupported format version {found}")]
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

/// Content of the identity file.
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

/// Header of a segment, in its first batch. That batch repeats the hard state, so that older
/// segments can be deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskStart {
    pub(super) format: u32,
    /// Whether a snapshot has replaced the whole log before this segment.
    pub(super) reset: bool,
    /// The last entry before this segment, in the log or (with `reset`) in the snapshot.
    pub(super) log_end: u64,
}

impl DiskStart {
    /// A segment that continues the log after the entry at `log_end`.
    pub(super) fn after(log_end: LogIndex) -> Self {
        Self {
            format: FORMAT,
            reset: false,
            log_end: log_end.0,
        }
    }

    /// A segment that starts a new log after the snapshot whose last entry is `snapshot_end`.
    pub(super) fn after_snapshot(snapshot_end: LogIndex) -> Self {
        Self {
            reset: true,
            ..Self::after(snapshot_end)
        }
    }
}

/// Work that was synced together.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DiskBatch {
    /// Batch number, consecutive across segments.
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

/// Content of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum DiskPayload {
    Noop,
    Members(Membership),
    Data(#[serde(with = "coltsfootnotch_types::bytes_format")] Arc<[u8]>),
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

/// Metadata of a snapshot.
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
