//! Short runs of the soak with seeds that found faults before.

use std::path::PathBuf;
use std::time::Duration;

use coltsfootnotch_soak::prelude::*;
use googletest::prelude::*;

/// Path of the platform's program, which the workspace's tests build into the target folder.
fn binary() -> PathBuf {
    let test_binary = std::env::current_exe().expect("a test has a path");
    let folder = test_binary.parent().and_then(|deps| deps.parent());
    let binary = folder
        .expect("a target folder")
        .join("coltsfootnotch-platform");
    assert!(
        binary.exists(),
        "{} is missing: run the tests of the whole workspace, or build it first",
        binary.display()
    );
    binary
}

/// Runs a seed with few clients and returns the findings.
fn run_seed(seed: u64) -> Vec<Finding> {
    run_with(seed, |_| ())
}

/// Runs a seed with options that `set` changes.
fn run_with(seed: u64, set: impl FnOnce(&mut Soak)) -> Vec<Finding> {
    let folder = tempfile::tempdir().unwrap();
    let mut soak = Soak {
        seed,
        length: Duration::from_secs(30),
        size: FleetSize {
            controls: 3,
            routers: 3,
            upstreams: 6,
        },
        clients: 2,
        replaces_hosts: false,
        has_refusals: false,
        omits_framing: false,
        has_slow_clients: false,
        has_kept_callers: false,
        has_releases: false,
        binary: binary(),
        block: 250 - (seed % 100) as u8,
        folder: folder.path().to_owned(),
        prints_steps: false,
    };
    set(&mut soak);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(soak.run()).unwrap();
    expect_that!(outcome.counts.served, gt(100));
    expect_that!(outcome.counts.accepted, gt(5));
    if !outcome.findings.is_empty() {
        println!("seed {seed}: logs in {}", folder.keep().display());
    }
    outcome.findings
}

/// Guards against requests cut by a second stop signal: the router exited at once instead of draining.
#[googletest::test]
fn seed_2_a_second_stop_signal_cuts_no_request() {
    expect_that!(run_seed(2), is_empty());
}

/// Guards against one crash counted several times: an upstream crashed while it ran several requests with the
/// same content, which was then refused everywhere for a minute.
#[googletest::test]
fn seed_7_one_crash_is_counted_once() {
    expect_that!(run_seed(7), is_empty());
}

/// Guards against a control group that loses its quorum at the second loss, or whose members no longer
/// discover each other, when control hosts are replaced at new addresses under other faults.
#[googletest::test]
fn seed_1001_control_hosts_are_replaced() {
    expect_that!(
        run_with(1001, |soak| soak.replaces_hosts = true),
        is_empty()
    );
}

/// Guards against blaming a popular request for crashes: upstreams crashed three times within a minute, and
/// content requested all along was identified as the cause.
#[googletest::test]
fn seed_111_a_popular_request_is_not_identified_as_the_cause() {
    expect_that!(run_seed(111), is_empty());
}

/// Guards against requests to upstreams that refuse them and ask for pauses, or state in their responses that they
/// leave, under other faults.
#[googletest::test]
fn seed_39_upstreams_refuse_requests_and_ask_for_pauses() {
    expect_that!(run_with(39, |soak| soak.has_refusals = true), is_empty());
}

/// Guards against responses without a length or chunks that are framed as complete, of upstreams that cut some of
/// them short, under other faults.
#[googletest::test]
fn seed_45_upstreams_state_no_end_of_their_responses() {
    expect_that!(run_with(45, |soak| soak.omits_framing = true), is_empty());
}

/// Guards against routers that go over their memory, or refuse sound clients, for what they hold for slow ones, under
/// other faults.
#[googletest::test]
fn seed_51_slow_clients_leave_room_for_others() {
    expect_that!(
        run_with(51, |soak| soak.has_slow_clients = true),
        is_empty()
    );
}

/// Guards against routers that leave requests on kept connections unread when they stop, three times in this seed,
/// under other faults.
#[googletest::test]
fn seed_9004_kept_connections_are_served_until_they_close() {
    expect_that!(
        run_with(9004, |soak| soak.has_kept_callers = true),
        is_empty()
    );
}
