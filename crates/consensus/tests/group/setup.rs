//! Identities and settings of the fake group.

use coltsfootnotch_consensus::{CoreConfig, DiskId, MemberId};
use coltsfootnotch_types::HostName;

/// A member on the host with the given number.
pub(crate) fn member(host: usize, disk: u128) -> MemberId {
    MemberId {
        host: HostName::new(format!("control-{host}")).expect("a valid name"),
        disk: DiskId(disk),
    }
}

/// Small limits, so that short runs exercise snapshots, chunks and full windows.
pub(crate) fn small_limits() -> CoreConfig {
    CoreConfig {
        max_append_bytes: 120,
        max_inflight_entries: 16,
        snapshot_entries: 25,
        keep_entries: 6,
        chunk_bytes: 100,
        ..CoreConfig::default()
    }
}
