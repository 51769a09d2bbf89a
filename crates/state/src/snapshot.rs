//! Encoding of state snapshots, on disk and on the wire.
//!
//! A snapshot consists of a magic number, a version, the CRC-32 of the payload, and the payload.
//! The payload has its own types, so that a change of the in-memory types cannot change the format.

use coltsfootnotch_types::{AccountName, DomainName, Incarnation, LeaseName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{
    Action, BodyDigest, FencingNumber, KeyDigest, LedgerLimits, LogTime, ProcessId, SnapshotError,
    StateMachine,
};

mod convert;
mod record;

use record::RecordV1;

const MAGIC: [u8; 4] = *b"CFst";
const VERSION: u16 = 3;
/// The version without the last orders for evacuations, which earlier programs wrote.
const VERSION_2: u16 = 2;
/// The version without evacuations, which earlier programs wrote.
const VERSION_1: u16 = 1;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u16>() + size_of::<u32>();

#[derive(Serialize, Deserialize)]
struct StateV3 {
    state: StateV1,
    evacuations: EvacuationsV3,
}

#[derive(Serialize, Deserialize)]
struct EvacuationsV3 {
    evacuations: EvacuationsV2,
    last_orders: Vec<(DomainName, u64)>,
    forgotten_orders: u64,
}

#[derive(Serialize, Deserialize)]
struct StateV2 {
    state: StateV1,
    evacuations: EvacuationsV2,
}

#[derive(Default, Serialize, Deserialize)]
struct EvacuationsV2 {
    revision: u64,
    domains: Vec<DomainName>,
}

#[derive(Serialize, Deserialize)]
struct StateV1 {
    applied: u64,
    now: LogTime,
    config: Option<ConfigV1>,
    history: Vec<(u64, BodyDigest)>,
    limits: LedgerLimits,
    floor: Option<LogTime>,
    accounts: Vec<AccountV1>,
    leases: Vec<LeaseV1>,
    finished: Vec<FinishedV1>,
}

#[derive(Serialize, Deserialize)]
struct ConfigV1 {
    number: u64,
    digest: BodyDigest,
    #[serde(with = "coltsfootnotch_types::bytes_format")]
    body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct AccountV1 {
    account: AccountName,
    records: Vec<(KeyDigest, RecordV1)>,
    tombstones: Vec<u64>,
}

#[derive(Serialize, Deserialize)]
struct LeaseV1 {
    name: LeaseName,
    holder: ProcessId,
    number: FencingNumber,
    expires_at: LogTime,
    released: bool,
    expired_predecessor: Option<FencingNumber>,
}

#[derive(Serialize, Deserialize)]
struct FinishedV1 {
    upstream: UpstreamName,
    incarnation: Incarnation,
    orders: Vec<(LogTime, Action)>,
}

/// Encodes a snapshot of `machine`.
pub(crate) fn write(machine: &StateMachine) -> Vec<u8> {
    let state = StateV3::from(machine);
    let payload = postcard::to_stdvec(&state).expect("a state can be encoded");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend(MAGIC);
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Decodes the snapshot in `bytes`.
pub(crate) fn read(bytes: &[u8]) -> Result<StateMachine, SnapshotError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(SnapshotError::Header)?;
    let (version, rest) = rest.split_first_chunk().ok_or(SnapshotError::Header)?;
    let (crc, payload) = rest.split_first_chunk().ok_or(SnapshotError::Header)?;
    let version = u16::from_le_bytes(*version);
    if ![VERSION, VERSION_2, VERSION_1].contains(&version) {
        return Err(SnapshotError::Version { found: version });
    }
    let expected = u32::from_le_bytes(*crc);
    let found = crc32fast::hash(payload);
    if found != expected {
        return Err(SnapshotError::Checksum { found, expected });
    }
    let state = match version {
        VERSION_1 => StateV3::from(StateV2 {
            state: postcard::from_bytes(payload)?,
            evacuations: EvacuationsV2::default(),
        }),
        VERSION_2 => StateV3::from(postcard::from_bytes::<StateV2>(payload)?),
        _ => postcard::from_bytes(payload)?,
    };
    StateMachine::try_from(state)
}
