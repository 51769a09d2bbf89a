//! Replacement, restart and data loss of members.

use std::fs;
use std::time::Duration;

use coltsfootnotch::daemon::control::{self, ControlError};
use coltsfootnotch_state::ConfigReply;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::MembersError;
use googletest::prelude::*;

use super::client::manifest;
use super::group::{Group, host, wait_until};

/// A host that lost its disk returns as a new member, which has no vote until an operator admits it. A
/// second host is lost right after that; nothing accepted is lost.
#[test]
fn a_member_whose_disk_was_lost_is_replaced_and_then_another_is_lost() {
    let mut group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    operator.accept(manifest(1, &["bistro"]));

    group.kill(2);
    fs::remove_dir_all(group.data(2)).expect("the folder is removed");
    group.start(2);
    let leader = group.wait_for_leader_except(2);
    let mut operator = group.client(leader, Role::Operator, "op");
    let c3 = host("c3");
    wait_until("the new member is connected", || {
        operator.admit(&c3, Some(&c3)) != Err(MembersError::NotConnected { host: c3.clone() })
    });
    wait_until("the old member is removed", || {
        let group = &operator.status()["group"];
        group["voters"].as_array().map(Vec::len) == Some(3)
            && group["learners"].as_array().map(Vec::len) == Some(0)
    });

    group.kill(leader);
    let next = group.wait_for_leader();
    let mut operator = group.client(next, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(1));
    let accepted = operator.apply(manifest(2, &["diner"]));
    assert_that!(accepted, matches_pattern!(ConfigReply::Accepted { .. }));
}

/// Two members lose their disks and return empty. The third can't form a majority with the new members.
/// No second group is bootstrapped, so configuration 1 is never replaced by an empty state, and changes
/// are refused.
#[test]
fn members_that_lost_their_disks_bootstrap_no_second_group() {
    let mut group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    operator.accept(manifest(1, &["bistro"]));
    for at in [0, 1] {
        group.kill(at);
        fs::remove_dir_all(group.data(at)).expect("the folder is removed");
    }
    group.start(0);
    group.start(1);
    let mut operator = group.client(0, Role::Operator, "op");
    for _ in 0..2 {
        assert_that!(operator.try_apply(manifest(2, &["diner"])), err(anything()));
    }
    let status = operator.status();
    assert_that!(status["group"]["last"].as_u64(), some(eq(0)));
}

/// All control hosts have lost their disks, but a running entry has configuration 5 in force, so a group
/// existed. No group is bootstrapped until the entry has disconnected, since its next configuration could
/// have a lower number.
#[test]
fn no_group_is_bootstrapped_while_a_host_has_a_configuration_in_force() {
    let mut group = Group::new(|_| {});
    group.start(0);
    let mut entry = group.client(0, Role::Entry, "e1");
    entry.beat(5);
    group.start(1);
    group.start(2);
    let mut operator = group.client(0, Role::Operator, "op");
    for _ in 0..20 {
        entry.beat(5);
        let status = operator.status();
        assert_that!(status["group"]["last"].as_u64(), some(eq(0)));
        std::thread::sleep(Duration::from_millis(100));
    }
    drop(entry);
    group.wait_for_leader();
}

/// A graceful stop of the leader transfers the leadership first, so a concurrent change at another member
/// is accepted.
#[test]
fn a_graceful_stop_of_the_leader_transfers_the_leadership() {
    let mut group = Group::started(|_| {});
    let leader = group.wait_for_leader();
    let other = (leader + 1) % 3;
    let mut operator = group.client(other, Role::Operator, "op");
    group.stop(leader);
    let accepted = operator.apply(manifest(1, &["bistro"]));
    assert_that!(accepted, matches_pattern!(ConfigReply::Accepted { .. }));
}

/// A member that restarts after 500 changes replays only the entries since its last snapshot, and its
/// folder contains only these and the snapshot.
#[test]
fn a_restart_after_500_changes_replays_only_entries_after_the_snapshot() {
    const SNAPSHOT_ENTRIES: u64 = 100;
    let mut group = Group::started(|cfg| cfg.core.snapshot_entries = SNAPSHOT_ENTRIES);
    let mut operator = group.client(0, Role::Operator, "op");
    for number in 1..=500 {
        let accepted = operator.apply(manifest(number, &["bistro"]));
        assert_that!(accepted, matches_pattern!(ConfigReply::Accepted { .. }));
    }
    group.stop(0);
    group.start(0);
    group.wait_for_leader();
    let mut operator = group.client(0, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(500));
    let status = operator.status();
    let replayed = status["group"]["commands_since_start"].as_u64();
    assert_that!(replayed, some(le(2 * SNAPSHOT_ENTRIES)));
    let held = status["group"]["last"].as_u64().expect("a number")
        - status["group"]["snapshot"].as_u64().expect("a number");
    assert_that!(held, le(2 * SNAPSHOT_ENTRIES));
}

/// A flipped bit in a synced log entry: the member must not start, since acknowledged entries could be
/// missing.
#[test]
fn a_member_with_a_corrupt_log_does_not_start() {
    let mut group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    for number in 1..=5 {
        operator.accept(manifest(number, &["bistro"]));
    }
    group.kill(0);
    let segments = fs::read_dir(group.data(0).join("log")).expect("a folder");
    let names = segments.map(|entry| entry.expect("an entry").path());
    let segment = names
        .filter(|path| path.extension().is_some_and(|ext| ext == "seg"))
        .max_by_key(|path| fs::metadata(path).map_or(0, |meta| meta.len()))
        .expect("a segment");
    let mut bytes = fs::read(&segment).expect("bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&segment, bytes).expect("written");

    let refused = control::start(group.cx(0), group.config(0)).map(|_| ());
    assert_that!(refused, err(predicate(ControlError::is_corrupt)));
}
