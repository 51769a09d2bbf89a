//! Recovery after crashes, and detection of disk faults and damage.

mod folder;

use std::collections::BTreeMap;
use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::{Arc, Mutex};

use coltsfootnotch_consensus::storage::{
    FaultInjector, FileOp, FileOpOutcome, Storage, StorageConfig,
};
use coltsfootnotch_consensus::{Payload, Term};
use coltsfootnotch_types::HostName;
use folder::{
    append, edit_file, failing, files_containing, folder_with_five_entries, last_index, log_file,
};
use folder::{open, open_with, snapshot};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tempfile::TempDir;

/// Files of an earlier program: a snapshot with three voters and a learner, and an entry in which the learner
/// is a voter and replaces another.
const FOLDER_V1: [(&str, &str); 4] = [
    (
        "identity",
        "63666e311e000000e326a0260109636f6e74726f6c2d30e1b0c099cdcc86b4f995a5ebc0b9c9e8f4e102",
    ),
    (
        "log-00000000000000000003.seg",
        "63666e310b000000735c0263030101010301010000000063666e311d00000076\
         26bbd70400010101000001040101040161010162020163030164040001016303",
    ),
    (
        "snap-00000000000000000003.snap",
        "63666e31160000002aac77f30103010301610101620201630301016404010163030063666e3102000000c5501f0b0102",
    ),
    ("synced", "040000000000000093d168e1"),
];

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2);
    pairs
        .map(|pair| {
            let digits = std::str::from_utf8(pair).expect("hex digits");
            u8::from_str_radix(digits, 16).expect("hex digits")
        })
        .collect()
}

// Guards against a refused start after a crash in the middle of a write: the torn frame was never
// acknowledged and is truncated.
#[gtest]
fn a_torn_frame_at_the_end_is_truncated() {
    let dir = folder_with_five_entries();
    edit_file(&log_file(dir.path()), |bytes| {
        bytes.extend(*b"cfn1\x40\0\0\0 torn");
    });
    let (mut storage, recovered) = open(dir.path()).expect("the folder opens");
    expect_that!(last_index(&recovered), eq(5));
    storage.run(&[append(6, [6])]).expect("the entry is synced");
    drop(storage);
    expect_that!(
        last_index(&open(dir.path()).expect("the folder opens again").1),
        eq(6)
    );
}

// Guards against starting without acknowledged entries or votes: the error states where and how the
// synced data is damaged.
#[gtest]
fn opening_a_folder_with_damaged_synced_data_fails() {
    type Damage = fn(&Path);
    let damages: [(&str, Damage); 11] = [
        ("middle", |dir| edit_file(&log_file(dir), |b| b[120] ^= 1)),
        ("end", |dir| {
            edit_file(&log_file(dir), |b| *b.last_mut().expect("not empty") ^= 1);
        }),
        ("cut short", |dir| {
            edit_file(&log_file(dir), |b| b.truncate(b.len() - 30));
        }),
        ("log file gone", |dir| {
            fs::remove_file(log_file(dir)).expect("the file is removed");
        }),
        ("older log files gone", |dir| {
            drop(open(dir).expect("the folder opens"));
            let mut older = files_containing(dir, "log-");
            older.pop();
            older
                .iter()
                .for_each(|p| fs::remove_file(p).expect("the file is removed"));
        }),
        ("middle log file gone", |dir| {
            drop(open(dir).expect("the folder opens"));
            fs::remove_file(log_file(dir)).expect("the file is removed");
        }),
        ("all log files gone", |dir| {
            files_containing(dir, "log-")
                .iter()
                .for_each(|p| fs::remove_file(p).expect("the file is removed"));
        }),
        ("identity gone", |dir| {
            fs::remove_file(dir.join("identity")).expect("the file is removed");
        }),
        ("identity damaged", |dir| {
            edit_file(&dir.join("identity"), |b| b[15] ^= 1);
        }),
        ("snapshot gone", |dir| {
            let (mut storage, _) = open(dir).expect("the folder opens");
            storage
                .run(&[snapshot(6, 9, true)])
                .expect("the snapshot is saved");
            drop(storage);
            fs::remove_file(&files_containing(dir, "snap-")[0]).expect("the file is removed");
        }),
        ("snapshot damaged", |dir| {
            let (mut storage, _) = open(dir).expect("the folder opens");
            storage
                .run(&[snapshot(6, 5, false)])
                .expect("the snapshot is saved");
            drop(storage);
            edit_file(&files_containing(dir, "snap-")[0], |b| b[500] ^= 1);
        }),
    ];
    let mut results = BTreeMap::new();
    for (name, damage) in damages {
        let dir = folder_with_five_entries();
        damage(dir.path());
        let recovered = open(dir.path()).map(|(_, recovered)| last_index(&recovered));
        results.insert(name, recovered);
    }
    insta::assert_debug_snapshot!(results);
}

// Guards against retrying a failed sync, which can succeed without the lost pages. After a restart,
// everything acknowledged is recovered.
#[gtest]
fn a_disk_error_makes_the_storage_unusable() {
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
    let mut results = BTreeMap::new();
    for (name, fault) in faults {
        let dir = folder_with_five_entries();
        let is_failing = Arc::new(Mutex::new(false));
        let switch = is_failing.clone();
        let injector = failing(move |op| {
            switch
                .lock()
                .expect("no panic")
                .then(|| fault(op))
                .flatten()
        });
        let (mut storage, _) = open_with(dir.path(), injector).expect("the disk works at first");
        *is_failing.lock().expect("no panic") = true;
        let first = storage
            .run(&[append(6, [6])])
            .expect_err("the operation fails")
            .to_string();
        *is_failing.lock().expect("no panic") = false;
        let second = storage
            .sync()
            .expect_err("the sync is not retried")
            .to_string();
        drop(storage);
        let (_, recovered) = open(dir.path()).expect("the disk works again");
        expect_that!(last_index(&recovered), ge(5));
        results.insert(name, [first, second]);
    }
    insta::assert_debug_snapshot!(results);
}

// Guards against acknowledging writes to a removed data folder, since syncing a removed file
// succeeds.
#[gtest]
fn removal_of_the_data_folder_is_detected() {
    let dir = folder_with_five_entries();
    let (mut storage, before) = open(dir.path()).expect("the folder opens");
    fs::remove_dir_all(dir.path()).expect("the folder is removed");
    let error = storage
        .run(&[append(6, [6])])
        .expect_err("the removal is detected");
    expect_that!(
        error.to_string(),
        starts_with("the data folder no longer contains log-")
    );
    drop(storage);
    let mut cfg = StorageConfig::new(dir.path(), before.member.host.clone());
    cfg.segment_bytes = 400;
    let (_, after) =
        Storage::open(&cfg, &mut StdRng::seed_from_u64(2)).expect("an empty folder opens");
    expect_that!(after.member, not(eq(&before.member)));
    expect_that!(after.is_empty(), eq(true));
}

// Guards against two processes or two hosts that write to the same folder.
#[gtest]
fn a_folder_is_used_by_one_process_of_one_host() {
    let dir = folder_with_five_entries();
    let held = open(dir.path()).expect("the folder opens");
    expect_that!(
        open(dir.path()).err(),
        some(eq("another process uses the data folder"))
    );
    drop(held);
    let cfg = StorageConfig::new(dir.path(), HostName::new("other").expect("a valid name"));
    let refused = Storage::open(&cfg, &mut StdRng::seed_from_u64(2)).err();
    let refused = refused.expect("the other host is refused").to_string();
    expect_that!(
        refused,
        eq("the data folder belongs to control-0, not to other")
    );
}

// Guards against a mixture of the old log and the leader's snapshot after a power failure between
// any two file operations.
#[gtest]
fn a_crash_during_a_log_reset_leaves_the_old_log_or_the_snapshot() {
    for operations in 0..20 {
        let dir = folder_with_five_entries();
        let remaining = Arc::new(Mutex::new(u32::MAX));
        let count = remaining.clone();
        let injector = failing(move |_| {
            let mut remaining = count.lock().expect("no panic");
            *remaining = remaining.saturating_sub(1);
            (*remaining == 0).then_some(FileOpOutcome::Fail(ErrorKind::Other))
        });
        let (mut storage, _) = open_with(dir.path(), injector).expect("the folder opens");
        *remaining.lock().expect("no panic") = operations + 1;
        let saved = storage.run(&[snapshot(6, 9, true)]).is_ok();
        drop(storage);
        let (mut storage, recovered) = open(dir.path()).expect("the folder opens");
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |s| s.meta.index.0);
        expect_that!(
            (snapshot_index, last_index(&recovered)),
            any![eq((0, 5)), eq((9, 0))]
        );
        expect_that!(!saved || snapshot_index == 9, eq(true));
        let next = snapshot_index.max(last_index(&recovered)) + 1;
        storage
            .run(&[append(7, [next])])
            .expect("the entry is synced");
        drop(storage);
        expect_that!(
            last_index(&open(dir.path()).expect("the folder opens again").1),
            eq(next)
        );
    }
}

/// Names of the files that were removed since the folder was last synced.
type Removed = Arc<Mutex<Vec<String>>>;

/// Fails from operation `fails_at` on, and records in `removed` what was removed without a sync.
fn failing_at(fails_at: usize, removed: &Removed) -> FaultInjector {
    let (removed, count) = (Arc::clone(removed), Mutex::new(0));
    failing(move |op| {
        let mut count = count.lock().expect("no panic");
        *count += 1;
        if *count > fails_at {
            return Some(FileOpOutcome::Fail(ErrorKind::Other));
        }
        let mut removed = removed.lock().expect("no panic");
        match op {
            FileOp::Remove { name } => removed.push(name.to_owned()),
            FileOp::SyncFolder => removed.clear(),
            _ => {}
        }
        None
    })
}

fn copy_folder(from: &Path) -> TempDir {
    let to = tempfile::tempdir().expect("a temporary folder can be created");
    for path in files_containing(from, "") {
        let name = path.file_name().expect("the path has a name");
        fs::copy(&path, to.path().join(name)).expect("the file can be copied");
    }
    to
}

// Guards against a folder that is refused after a power failure while a snapshot replaces several segments: each
// removal that was not synced may be kept or lost on its own.
#[gtest]
fn any_removal_may_be_lost_while_a_snapshot_replaces_segments() {
    let dir = tempfile::tempdir().expect("a temporary folder can be created");
    let (mut storage, _) = open(dir.path()).expect("an empty folder opens");
    for index in 1..=40 {
        storage
            .run(&[append(index, [index])])
            .expect("the entry is synced");
    }
    drop(storage);
    expect_that!(files_containing(dir.path(), "log-").len(), ge(4));
    let mut saved = false;
    for fails_at in 0.. {
        let played = copy_folder(dir.path());
        let removed = Removed::default();
        let injector = failing_at(fails_at, &removed);
        if let Ok((mut storage, _)) = open_with(played.path(), injector) {
            saved = storage.run(&[snapshot(41, 39, false)]).is_ok();
        }
        let removed = removed.lock().expect("no panic");
        for kept in 0..1 << removed.len() {
            let after = copy_folder(played.path());
            for (_, name) in removed
                .iter()
                .enumerate()
                .filter(|(i, _)| kept >> i & 1 == 1)
            {
                let before = dir.path().join(name);
                fs::copy(before, after.path().join(name)).expect("the file can be copied");
            }
            let opened = open(after.path()).map(|(_, recovered)| last_index(&recovered));
            expect_that!(
                opened,
                ok(eq(&40)),
                "operation {fails_at}, kept {kept:b} of {removed:?}"
            );
        }
        if saved {
            break;
        }
    }
    expect_that!(saved, eq(true));
}

// Guards against a member that can't start on the folder of an earlier program, whose records of members
// state no size of the group.
#[gtest]
fn a_folder_without_the_size_of_the_group_is_recovered() {
    let dir = tempfile::tempdir().expect("a temporary folder can be created");
    for (name, hex) in FOLDER_V1 {
        fs::write(dir.path().join(name), bytes(hex)).expect("the file is written");
    }
    let (_, recovered) = open(dir.path()).expect("the folder opens");
    let snapshot = recovered.snapshot.expect("it has a snapshot").meta.members;
    expect_that!((snapshot.voters.len(), snapshot.size), eq((3, 3)));
    expect_that!(snapshot.learners.len(), eq(1));
    let payload = recovered.entries.into_iter().map(|entry| entry.payload);
    let Some(Payload::Members(members)) = payload.last() else {
        panic!("the last entry has the members");
    };
    expect_that!((members.voters.len(), members.size), eq((4, 4)));
    expect_that!(members.leaving, some(anything()));
}

proptest! {
    #![proptest_config(Config {
        cases: 60, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default()
    })]

    // Guards against losing synced data when a power failure tears the last write at any byte. The
    // test truncates the file itself, so real syncs are skipped.
    #[test]
    fn a_crash_keeps_everything_synced(
        batches in prop::collection::vec((1..4u64, any::<bool>()), 1..30),
        kept in 0.0..1.0f64,
    ) {
        let dir = tempfile::tempdir().expect("a temporary folder can be created");
        let skips_syncs =
            failing(|op| matches!(op, FileOp::Sync { .. }).then_some(FileOpOutcome::Skip));
        let (mut storage, _) = open_with(dir.path(), skips_syncs).expect("an empty folder opens");
        let (mut last, mut seq, mut voted) = (0, 0, 0);
        for (count, snap) in batches {
            seq += 1;
            storage.run(&[append(seq, last + 1..=last + count)]).expect("the entries are synced");
            last += count;
            voted = seq;
            if snap {
                seq += 1;
                storage.run(&[snapshot(seq, last - 1, false)]).expect("the snapshot is saved");
            }
        }
        let newest = files_containing(dir.path(), "log-").pop().expect("the folder has a segment");
        let synced = fs::metadata(&newest).expect("the file exists").len() as usize;
        storage.run(&[append(seq + 1, [last + 1])]).expect("the entry is written");
        drop(storage);
        let watermark = dir.path().join("synced");
        fs::remove_file(watermark).expect("the file is removed");
        edit_file(&newest, |bytes| {
            let torn = synced + ((bytes.len() - synced) as f64 * kept) as usize;
            bytes.truncate(torn);
        });
        for rotated in files_containing(dir.path(), "log-").iter().filter(|p| **p > newest) {
            fs::remove_file(rotated).expect("the file is removed");
        }
        let (_, recovered) = open(dir.path()).expect("the folder opens");
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |s| s.meta.index.0);
        prop_assert_eq!(last_index(&recovered), last);
        prop_assert_eq!(recovered.entries.len() as u64, last - snapshot_index);
        prop_assert_eq!(recovered.hard.term, Term(voted));
    }
}
