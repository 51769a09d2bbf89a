//! Addresses of other control hosts in the data folder.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;

use googletest::prelude::*;

use super::{NAME, load, save};

fn addresses(last: &[u8]) -> BTreeSet<SocketAddr> {
    let address = |last: &u8| SocketAddr::from(([10, 0, 0, *last], 7400));
    last.iter().map(address).collect()
}

/// Guards against a host that restarts and has forgotten where the others are.
#[googletest::test]
fn what_was_saved_last_is_loaded() {
    let dir = tempfile::tempdir().unwrap();
    expect_that!(load(dir.path()).unwrap(), is_empty());
    save(dir.path(), &addresses(&[1, 2])).unwrap();
    save(dir.path(), &addresses(&[2, 3])).unwrap();
    expect_that!(load(dir.path()).unwrap(), eq(&addresses(&[2, 3])));
}

/// Guards against a control host that does not start for a line that nobody can read.
#[googletest::test]
fn a_line_that_is_no_address_is_left_out() {
    let dir = tempfile::tempdir().unwrap();
    save(dir.path(), &addresses(&[1])).unwrap();
    let text = fs::read_to_string(dir.path().join(NAME)).unwrap();
    fs::write(dir.path().join(NAME), format!("nowhere\n{text}")).unwrap();
    expect_that!(load(dir.path()).unwrap(), eq(&addresses(&[1])));
}
