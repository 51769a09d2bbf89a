//! Disk failures of a running member.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coltsfootnotch::daemon::control::{ControlConfig, ControlError};
use coltsfootnotch_consensus::storage::{FileOp, FileOpOutcome, StorageError};
use coltsfootnotch_state::ConfigReply;
use coltsfootnotch_types::prelude::*;
use googletest::prelude::*;

use super::client::manifest;
use super::group::{Group, wait_until};

/// A group whose first member's disk fails with `outcome` once the switch is on.
fn group_with_failing_disk(
    outcome: FileOpOutcome,
    affects: fn(FileOp<'_>) -> bool,
) -> (Group, Arc<AtomicBool>) {
    let mut group = Group::new(|_: &mut ControlConfig| {});
    let fails = Arc::new(AtomicBool::new(false));
    let mut cfg = group.config(0);
    let switch = Arc::clone(&fails);
    cfg.fault_injector = Some(Box::new(move |op| {
        if switch.load(Ordering::Relaxed) && affects(op) {
            outcome
        } else {
            FileOpOutcome::Proceed
        }
    }));
    group.start_with(0, cfg);
    group.start(1);
    group.start(2);
    group.wait_for_leader();
    (group, fails)
}

/// Makes a change and returns the error that stops the first member; the others must accept the change.
fn stop_error_of_first_member(group: &mut Group, fails: &AtomicBool) -> ControlError {
    let mut operator = group.client(1, Role::Operator, "op");
    operator.accept(manifest(1, &["bistro"]));
    fails.store(true, Ordering::Relaxed);
    // If the first member leads, the outcome is unknown at first.
    let req = manifest(2, &["diner"]);
    wait_until("the others accept the change", || {
        matches!(
            operator.try_apply(req.clone()),
            Ok(ConfigReply::Accepted { .. })
        )
    });
    let handle = group.handles[0].take().expect("it was started");
    wait_until("the first member stops by itself", || handle.is_finished());
    handle.join().expect_err("it stops with an error")
}

/// A sync of one member fails, so writes since the previous sync may be lost and it must stop. The other
/// two accept the change, and the member restarts with all accepted configurations.
#[test]
fn a_failed_sync_stops_the_daemon_without_data_loss() {
    let is_sync = |op: FileOp<'_>| matches!(op, FileOp::Sync { .. });
    let (mut group, fails) =
        group_with_failing_disk(FileOpOutcome::Fail(ErrorKind::Other), is_sync);
    let error = stop_error_of_first_member(&mut group, &fails);
    let is_failed_sync =
        |e: &ControlError| matches!(e, ControlError::Write(StorageError::SyncFailed { .. }));
    assert_that!(error, predicate(is_failed_sync));

    group.start(0);
    group.wait_for_leader();
    let mut operator = group.client(0, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(2));
}

/// The disk of one member becomes full during a write. The member stops; the partial write was never
/// acknowledged and is truncated at the restart.
#[test]
fn a_full_disk_stops_the_daemon_without_data_loss() {
    let is_write = |op: FileOp<'_>| matches!(op, FileOp::Write { .. });
    let (mut group, fails) = group_with_failing_disk(FileOpOutcome::Short(5), is_write);
    let error = stop_error_of_first_member(&mut group, &fails);
    let is_full = |e: &ControlError| matches!(e, ControlError::Write(StorageError::Full { .. }));
    assert_that!(error, predicate(is_full));

    group.start(0);
    group.wait_for_leader();
    let mut operator = group.client(0, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(2));
}
