//! Tests of the address file.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;

use googletest::prelude::*;

use super::{NAME, load, save};

fn addresses(last: &[u8]) -> BTreeSet<SocketAddr> {
    let address = |last: &u8| SocketAddr::from(([10, 0, 0, *last], 7400));
    last.iter().map(address).collect()
}

/// Guards against a restarted host that no longer has the addresses of its peers.
#[googletest::test]
fn the_last_saved_addresses_are_loaded() {
    let dir = tempfile::tempdir().unwrap();
    expect_that!(load(dir.path()).unwrap(), is_empty());
    save(dir.path(), &addresses(&[1, 2])).unwrap();
    save(dir.path(), &addresses(&[2, 3])).unwrap();
    expect_that!(load(dir.path()).unwrap(), eq(&addresses(&[2, 3])));
}

/// Guards against a control host that fails to start because of an unreadable line.
#[googletest::test]
fn an_invalid_line_is_skipped() {
    let dir = tempfile::tempdir().unwrap();
    save(dir.path(), &addresses(&[1])).unwrap();
    let text = fs::read_to_string(dir.path().join(NAME)).unwrap();
    fs::write(dir.path().join(NAME), format!("nowhere\n{text}")).unwrap();
    expect_that!(load(dir.path()).unwrap(), eq(&addresses(&[1])));
}
