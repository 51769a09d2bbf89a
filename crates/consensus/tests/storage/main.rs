//! Faults of the disk: what the member finds when it comes back, and when it must not.

mod folder;

use std::collections::BTreeMap;
use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::{Arc, Mutex};

use coltsfootnotch_consensus::Term;
use coltsfootnotch_consensus::storage::{FileOp, FileOpOutcome, Storage, StorageConfig};
use coltsfootnotch_types::HostName;
use folder::{append, change, failing, files_like, five_synced, last_index, log_file};
use folder::{open, open_with, snapshot};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::StdRng;

// The process is killed in the middle of a write. The frame was never synced, so nobody was told
// that it counts: it is cut off, and the member goes on with everything acknowledged.
#[gtest]
fn a_torn_tail_is_cut_back_to_what_was_synced() {
    let dir = five_synced();
    change(&log_file(dir.path()), |bytes| {
        bytes.extend(*b"cfn1\x40\0\0\0 torn");
    });
    let (mut storage, found) = open(dir.path()).expect("it recovers");
    expect_that!(last_index(&found), eq(5));
    storage.run(&[append(6, [6])]).expect("it goes on");
    drop(storage);
    expect_that!(last_index(&open(dir.path()).expect("again").1), eq(6));
}

// Bytes that were synced are damaged or gone later. Coming back without them would make the group
// lose what it acknowledged, or vote twice; so the member does not start, and says where and why.
#[gtest]
fn what_was_synced_and_is_damaged_stops_the_member() {
    type Damage = fn(&Path);
    let damages: [(&str, Damage); 11] = [
        ("middle", |dir| change(&log_file(dir), |b| b[120] ^= 1)),
        ("end", |dir| {
            change(&log_file(dir), |b| *b.last_mut().expect("bytes") ^= 1);
        }),
        ("cut short", |dir| {
            change(&log_file(dir), |b| b.truncate(b.len() - 30));
        }),
        ("log file gone", |dir| {
            fs::remove_file(log_file(dir)).expect("removed");
        }),
        ("older log files gone", |dir| {
            drop(open(dir).expect("it recovers"));
            let mut older = files_like(dir, "log-");
            older.pop();
            older
                .iter()
                .for_each(|p| fs::remove_file(p).expect("removed"));
        }),
        ("middle log file gone", |dir| {
            drop(open(dir).expect("it recovers"));
            fs::remove_file(log_file(dir)).expect("removed");
        }),
        ("all log files gone", |dir| {
            files_like(dir, "log-")
                .iter()
                .for_each(|p| fs::remove_file(p).expect("removed"));
        }),
        ("identity gone", |dir| {
            fs::remove_file(dir.join("identity")).expect("removed");
        }),
        ("identity damaged", |dir| {
            change(&dir.join("identity"), |b| b[15] ^= 1);
        }),
        ("snapshot gone", |dir| {
            let (mut storage, _) = open(dir).expect("it recovers");
            storage.run(&[snapshot(6, 9, true)]).expect("it is saved");
            drop(storage);
            fs::remove_file(&files_like(dir, "snap-")[0]).expect("removed");
        }),
        ("snapshot damaged", |dir| {
            let (mut storage, _) = open(dir).expect("it recovers");
            storage.run(&[snapshot(6, 5, false)]).expect("it is saved");
            drop(storage);
            change(&files_like(dir, "snap-")[0], |b| b[500] ^= 1);
        }),
    ];
    let mut answers = BTreeMap::new();
    for (name, damage) in damages {
        let dir = five_synced();
        damage(dir.path());
        let found = open(dir.path()).map(|(_, found)| last_index(&found));
        answers.insert(name, found);
    }
    insta::assert_debug_snapshot!(answers);
}

// The disk fails while the member runs. The write that met it is not acknowledged, nothing is
// tried again (the second sync would succeed without the lost pages), and after a restart on a
// sound disk everything acknowledged is there.
#[gtest]
fn a_failing_disk_stops_the_storage_for_good() {
    type Fault = fn(FileOp<'_>) -> Option<FileOpOutcome>;
    let faults: [(&str, Fault); 4] = [
        ("failed sync", |op| {
            matches!(op, FileOp::Sync { .. }).then_some(FileOpOutcome::Fail(ErrorKind::Other))
        }),
        ("full disk", |op| {
            matches!(op, FileOp::Write { .. })
                .then_some(FileOpOutcome::Fail(ErrorKind::StorageFull))
        }),
        ("short write", |op| {
            matches!(op, FileOp::Write { .. }).then_some(FileOpOutcome::Short(30))
        }),
        ("write error", |op| {
            matches!(op, FileOp::Write { .. }).then_some(FileOpOutcome::Fail(ErrorKind::Other))
        }),
    ];
    let mut answers = BTreeMap::new();
    for (name, fault) in faults {
        let dir = five_synced();
        let broken = Arc::new(Mutex::new(false));
        let switch = broken.clone();
        let injector = failing(move |op| {
            switch
                .lock()
                .expect("no panic")
                .then(|| fault(op))
                .flatten()
        });
        let (mut storage, _) = open_with(dir.path(), injector).expect("the disk is sound at first");
        *broken.lock().expect("no panic") = true;
        let first = storage
            .run(&[append(6, [6])])
            .expect_err("the fault is met")
            .to_string();
        *broken.lock().expect("no panic") = false;
        let second = storage
            .sync()
            .expect_err("nothing is tried again")
            .to_string();
        drop(storage);
        let (_, found) = open(dir.path()).expect("a sound disk");
        expect_that!(last_index(&found), ge(5));
        answers.insert(name, [first, second]);
    }
    insta::assert_debug_snapshot!(answers);
}

// The data folder is removed under the running member. A sync of the removed file succeeds, and
// nothing of it would be there after a restart; so the name is looked up after each sync.
#[gtest]
fn a_lost_data_folder_is_noticed() {
    let dir = five_synced();
    let (mut storage, before) = open(dir.path()).expect("it recovers");
    fs::remove_dir_all(dir.path()).expect("it is removed");
    let lost = storage.run(&[append(6, [6])]).expect_err("it is noticed");
    expect_that!(lost.to_string(), starts_with("the data folder lost log-"));
    drop(storage);
    let mut cfg = StorageConfig::new(dir.path(), before.member.host.clone());
    cfg.segment_bytes = 400;
    let (_, after) = Storage::open(&cfg, &mut StdRng::seed_from_u64(2)).expect("an empty folder");
    expect_that!(after.member, not(eq(&before.member)));
    expect_that!(after.is_empty(), eq(true));
}

// A second process on the same folder would write over the first one's promises.
#[gtest]
fn a_folder_is_used_by_one_process_of_its_own_host() {
    let dir = five_synced();
    let held = open(dir.path()).expect("it recovers");
    expect_that!(
        open(dir.path()).err(),
        some(eq("another process uses the data folder"))
    );
    drop(held);
    let cfg = StorageConfig::new(dir.path(), HostName::new("other").expect("a valid name"));
    let refused = Storage::open(&cfg, &mut StdRng::seed_from_u64(2)).err();
    let refused = refused.expect("it is refused").to_string();
    expect_that!(
        refused,
        eq("the data folder belongs to control-0, not to other")
    );
}

// The leader's snapshot replaces a log that contradicts it, and the power fails in between: after
// any number of file operations the member comes back with the old log or with the snapshot,
// never with a mixture, and it goes on from there.
#[gtest]
fn a_crash_while_a_snapshot_replaces_the_log_leaves_one_of_them() {
    for operations in 0..20 {
        let dir = five_synced();
        let left = Arc::new(Mutex::new(u32::MAX));
        let count = left.clone();
        let injector = failing(move |_| {
            let mut left = count.lock().expect("no panic");
            *left = left.saturating_sub(1);
            (*left == 0).then_some(FileOpOutcome::Fail(ErrorKind::Other))
        });
        let (mut storage, _) = open_with(dir.path(), injector).expect("it recovers");
        *left.lock().expect("no panic") = operations + 1;
        let saved = storage.run(&[snapshot(6, 9, true)]).is_ok();
        drop(storage);
        let (mut storage, found) = open(dir.path()).expect("it recovers");
        let at = found.snapshot.as_ref().map_or(0, |s| s.meta.index.0);
        expect_that!((at, last_index(&found)), any![eq((0, 5)), eq((9, 0))]);
        expect_that!(!saved || at == 9, eq(true));
        let next = at.max(last_index(&found)) + 1;
        storage.run(&[append(7, [next])]).expect("it goes on");
        drop(storage);
        expect_that!(last_index(&open(dir.path()).expect("again").1), eq(next));
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 60, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default()
    })]

    // Power fails at a random moment: a part of the bytes after the last sync is on the disk, and
    // the rest is not; the test does the tearing, so real syncs would add nothing. Everything synced comes back, and nothing that was never written.
    #[test]
    fn a_crash_keeps_everything_synced(
        batches in prop::collection::vec((1..4u64, any::<bool>()), 1..30),
        kept in 0.0..1.0f64,
    ) {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let unsynced = failing(|op| matches!(op, FileOp::Sync { .. }).then_some(FileOpOutcome::Skip));
        let (mut storage, _) = open_with(dir.path(), unsynced).expect("an empty folder opens");
        let (mut last, mut seq, mut voted) = (0, 0, 0);
        for (count, snap) in batches {
            seq += 1;
            storage.run(&[append(seq, last + 1..=last + count)]).expect("it is synced");
            last += count;
            voted = seq;
            if snap {
                seq += 1;
                storage.run(&[snapshot(seq, last - 1, false)]).expect("it is saved");
            }
        }
        let newest = files_like(dir.path(), "log-").pop().expect("a segment");
        let synced = fs::metadata(&newest).expect("it is there").len() as usize;
        storage.run(&[append(seq + 1, [last + 1])]).expect("it is written");
        drop(storage);
        let watermark = dir.path().join("synced");
        fs::remove_file(watermark).expect("it was not synced yet");
        change(&newest, |bytes| {
            let torn = synced + ((bytes.len() - synced) as f64 * kept) as usize;
            bytes.truncate(torn);
        });
        for rotated in files_like(dir.path(), "log-").iter().filter(|p| **p > newest) {
            fs::remove_file(rotated).expect("it was not synced yet");
        }
        let (_, found) = open(dir.path()).expect("it recovers");
        let at = found.snapshot.as_ref().map_or(0, |s| s.meta.index.0);
        prop_assert_eq!(last_index(&found), last);
        prop_assert_eq!(found.entries.len() as u64, last - at);
        prop_assert_eq!(found.hard.term, Term(voted));
    }
}
