//! Bounds on the memory of a member with large commands.

use std::time::Duration;

use coltsfootnotch_consensus::{
    Action, Core, CoreConfig, DiskId, LogIndex, MemberId, Membership, Recovered, Snapshot,
    SnapshotMeta, Term,
};
use coltsfootnotch_types::HostName;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const COMMAND_BYTES: usize = 100_000;
const KEEP_BYTES: usize = 300_000;
const SNAPSHOT_BYTES: usize = 1_000_000;

/// The only voter of a group, which elects itself and commits alone.
fn single_voter() -> Recovered {
    let host = HostName::new("control-1").expect("a valid name");
    let member = MemberId {
        host,
        disk: DiskId(1),
    };
    let members = Membership::of([member.clone()]);
    let meta = SnapshotMeta {
        index: LogIndex(1),
        term: Term(0),
        members,
    };
    let snapshot = Some(Snapshot {
        meta,
        data: [].into(),
    });
    Recovered {
        snapshot,
        ..Recovered::empty(member)
    }
}

/// Executes the requested actions, with a disk that never fails.
fn execute_actions(core: &mut Core, now: Duration) {
    loop {
        let actions = core.take_actions();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            match action {
                Action::Persist(persist) => core.synced(now, persist.seq),
                Action::TakeSnapshot { index } => core.snapshot_taken(now, index, vec![0]),
                _ => {}
            }
        }
    }
}

// Guards against unbounded memory with large commands: snapshots are due by bytes, and the entries
// kept after a snapshot are limited by bytes, not only by number.
#[gtest]
fn large_commands_do_not_pile_up_in_memory() {
    let cfg = CoreConfig {
        snapshot_bytes: SNAPSHOT_BYTES,
        keep_bytes: KEEP_BYTES,
        ..CoreConfig::default()
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut core = Core::new(cfg, single_voter(), Duration::ZERO, &mut rng);
    let mut now = Duration::ZERO;
    while !core.is_leader() {
        now += Duration::from_millis(50);
        core.tick(now);
        execute_actions(&mut core, now);
    }
    let mut peak = 0;
    for _ in 0..100 {
        now += Duration::from_millis(1);
        core.propose(now, vec![0; COMMAND_BYTES])
            .expect("the member leads");
        execute_actions(&mut core, now);
        peak = peak.max(core.status().log_bytes);
    }
    expect_that!(core.status().applied, gt(LogIndex(100)));
    expect_that!(peak, le(KEEP_BYTES + SNAPSHOT_BYTES));
    expect_that!(core.status().log_bytes, gt(0));
}
