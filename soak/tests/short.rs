//! Short runs of the soak: seeds that failed once.

use std::path::PathBuf;
use std::time::Duration;

use coltsfootnotch_soak::prelude::*;
use googletest::prelude::*;

/// The platform's program, which the workspace's tests build beside their own.
fn binary() -> PathBuf {
    let own = std::env::current_exe().expect("a test has a path");
    let folder = own.parent().and_then(|deps| deps.parent());
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

/// Plays a seed. Few clients: what is checked is what happens to them, not how many there can be.
fn play(seed: u64) -> Vec<Finding> {
    play_with(seed, false)
}

fn play_with(seed: u64, replaces: bool) -> Vec<Finding> {
    let folder = tempfile::tempdir().unwrap();
    let soak = Soak {
        seed,
        length: Duration::from_secs(30),
        shape: Shape {
            controls: 3,
            routers: 3,
            upstreams: 6,
        },
        clients: 2,
        replaces,
        binary: binary(),
        block: 250 - (seed % 100) as u8,
        folder: folder.path().to_owned(),
        prints: false,
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(soak.run()).unwrap();
    expect_that!(outcome.counts.served, gt(100));
    expect_that!(outcome.counts.accepted, gt(5));
    if !outcome.findings.is_empty() {
        println!("seed {seed}: logs in {}", folder.keep().display());
    }
    outcome.findings
}

/// A caller was cut off. The router was told to stop a second time while it stopped, and ended at once.
#[googletest::test]
fn seed_2_a_second_signal_to_stop() {
    expect_that!(play(2), is_empty());
}

/// Callers were refused everywhere for a minute. An upstream crashed while it ran several requests that
/// asked the same, and each counted as a crash that the content had caused.
#[googletest::test]
fn seed_7_one_crash_counted_for_many() {
    expect_that!(play(7), is_empty());
}

/// Guards against a control group that ends with its second loss, or whose members don't find each other
/// any more: control hosts go for good and others come at new addresses, among all other trouble.
#[googletest::test]
fn seed_1001_control_hosts_are_replaced() {
    expect_that!(play_with(1001, true), is_empty());
}

/// The same: upstreams crashed three times within a minute, and what was asked for all the while was
/// taken for the cause.
#[googletest::test]
fn seed_111_a_popular_request_taken_for_the_cause() {
    expect_that!(play(111), is_empty());
}
