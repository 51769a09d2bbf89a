//! On-disk types, separate from the in-memory types so that they can change independently.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    DiskId, Entry, HardState, LogIndex, MemberId, Membership, Payload, SnapshotMeta, Term,
};
use coltsfootnotch_types::HostName;

/// Version of the file format.
pub(super) const FORMAT: u32 = 1;
/// Version of the metadata of snapshots, which state the intended size of the group.
const SNAPSHOT_FORMAT: u32 = 2;

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

/// Content of an entry. Variants are only added at the end.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum DiskPayload {
    Noop,
    /// Written by earlier programs.
    Members(DiskMembersV1),
    Data(#[serde(with = "coltsfootnotch_types::bytes_format")] Arc<[u8]>),
    SizedMembers(DiskMembers),
}

/// The members of the group.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct DiskMembers {
    members: DiskMembersV1,
    size: usize,
}

/// The members of the group as earlier programs wrote them, without the intended size.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct DiskMembersV1 {
    voters: BTreeSet<MemberId>,
    learners: BTreeMap<MemberId, Option<MemberId>>,
    leaving: Option<MemberId>,
}

impl From<&Membership> for DiskMembers {
    fn from(members: &Membership) -> Self {
        Self {
            members: DiskMembersV1 {
                voters: members.voters.clone(),
                learners: members.learners.clone(),
                leaving: members.leaving.clone(),
            },
            size: members.size,
        }
    }
}

impl From<DiskMembers> for Membership {
    fn from(stored: DiskMembers) -> Self {
        Self {
            size: stored.size,
            ..stored.members.into()
        }
    }
}

impl From<DiskMembersV1> for Membership {
    fn from(stored: DiskMembersV1) -> Self {
        Self {
            size: stored.voters.len(),
            voters: stored.voters,
            learners: stored.learners,
            leaving: stored.leaving,
        }
    }
}

impl From<&Entry> for DiskEntry {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Noop => DiskPayload::Noop,
            Payload::Members(members) => DiskPayload::SizedMembers(members.into()),
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
            DiskPayload::Members(members) => Payload::Members(members.into()),
            DiskPayload::SizedMembers(members) => Payload::Members(members.into()),
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
    meta: DiskSnapshotMetaV1,
    size: usize,
}

/// Metadata of a snapshot as earlier programs wrote it, without the intended size of the group.
#[derive(Debug, Serialize, Deserialize)]
struct DiskSnapshotMetaV1 {
    format: u32,
    index: u64,
    term: u64,
    members: DiskMembersV1,
}

impl From<&SnapshotMeta> for DiskSnapshotMeta {
    fn from(meta: &SnapshotMeta) -> Self {
        let DiskMembers { members, size } = DiskMembers::from(&meta.members);
        Self {
            meta: DiskSnapshotMetaV1 {
                format: SNAPSHOT_FORMAT,
                index: meta.index.0,
                term: meta.term.0,
                members,
            },
            size,
        }
    }
}

impl From<DiskSnapshotMetaV1> for SnapshotMeta {
    fn from(stored: DiskSnapshotMetaV1) -> Self {
        Self {
            index: LogIndex(stored.index),
            term: Term(stored.term),
            members: stored.members.into(),
        }
    }
}

/// Decodes the metadata of a snapshot, of this format or an earlier one.
///
/// # Errors
/// Returns what is wrong with the bytes.
pub(super) fn decode_snapshot_meta(bytes: &[u8]) -> Result<SnapshotMeta, &'static str> {
    const MALFORMED: &str = "the metadata can't be decoded";
    let decoded = postcard::take_from_bytes::<DiskSnapshotMetaV1>(bytes);
    let (stored, rest) = decoded.map_err(|_| MALFORMED)?;
    let format = stored.format;
    let mut meta = SnapshotMeta::from(stored);
    match format {
        FORMAT => {}
        SNAPSHOT_FORMAT => {
            meta.members.size = postcard::from_bytes(rest).map_err(|_| MALFORMED)?;
        }
        _ => return Err("unsupported format version"),
    }
    Ok(meta)
}
