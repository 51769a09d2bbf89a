//! Restart time and size of the data directory after many changes.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use coltsfootnotch_types::prelude::*;

use crate::client::manifest;
use crate::group::Group;

/// Numbers of changes before the restart.
const CHANGES: [u64; 2] = [500, 5_000];
/// Accounts in each manifest.
const ACCOUNTS: usize = 16;

/// Measures each number of changes and prints a table row for it.
pub(crate) fn run() {
    println!("| changes | bytes of a body | folder bytes | entries replayed | ready again ms |");
    println!("|---|---|---|---|---|");
    for changes in CHANGES {
        measure(changes);
    }
}

fn measure(changes: u64) {
    let mut group = Group::started(|_| {});
    let mut operator = group.client(group.wait_for_leader(), Role::Operator, "op");
    let names: Vec<_> = (0..ACCOUNTS).map(|n| format!("account-{n}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    for number in 1..=changes {
        operator.accept(manifest(number, &names));
    }
    group.stop(0);
    let bytes = directory_bytes(&group.data(0));
    let started = Instant::now();
    group.start(0);
    let ready = group.handles[0].as_ref().expect("it runs").readiness();
    while !ready() {
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut operator = group.client(0, Role::Operator, "op");
    assert_eq!(operator.confirmed_number(), changes);
    let restart_ms = started.elapsed().as_millis();
    let replayed = &operator.status()["group"]["commands_since_start"];
    let body = manifest(changes, &names).body.len();
    println!("| {changes} | {body} | {bytes} | {replayed} | {restart_ms} |");
}

fn directory_bytes(directory: &Path) -> u64 {
    let entries = fs::read_dir(directory).expect("a directory");
    let sizes = entries.map(|entry| {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            directory_bytes(&path)
        } else {
            fs::metadata(&path).expect("a file").len()
        }
    });
    sizes.sum()
}
