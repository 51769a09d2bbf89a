//! What a member holds in memory stays bounded, however large its commands are.

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

/// The only voter of its group, so that it elects itself and commits alone.
fn alone() -> Recovered {
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

/// Does what the core asks for, as a daemon whose disk never fails.
fn serve(core: &mut Core, now: Duration) {
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

// A control host that takes sixty configurations of a megabyte each used to hold them all, 153 MB,
// since entries behind a snapshot were counted and not weighed. With large commands the snapshot is
// due by bytes, and only the last few commands are kept for members that lag a little.
#[gtest]
fn large_commands_do_not_pile_up_in_memory() {
    let cfg = CoreConfig {
        snapshot_bytes: SNAPSHOT_BYTES,
        keep_bytes: KEEP_BYTES,
        ..CoreConfig::default()
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut core = Core::new(cfg, alone(), Duration::ZERO, &mut rng);
    let mut now = Duration::ZERO;
    while !core.is_leader() {
        now += Duration::from_millis(50);
        core.tick(now);
        serve(&mut core, now);
    }
    let mut most = 0;
    for _ in 0..100 {
        now += Duration::from_millis(1);
        core.propose(now, vec![0; COMMAND_BYTES]).expect("it leads");
        serve(&mut core, now);
        most = most.max(core.status().held_bytes);
    }
    expect_that!(core.status().applied, gt(LogIndex(100)));
    expect_that!(most, le(KEEP_BYTES + SNAPSHOT_BYTES));
    expect_that!(core.status().held_bytes, gt(0));
}
