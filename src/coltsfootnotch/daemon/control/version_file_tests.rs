//! Tests of the file of versions.

use std::fs;

use coltsfootnotch_forward::registry::StoredVersions;
use googletest::prelude::*;

use super::{NAME, load, save};

fn stored(of_spec: &[&str]) -> StoredVersions {
    let version = |version: &&str| ("spec".into(), (*version).into());
    StoredVersions {
        is_complete: true,
        versions: of_spec.iter().map(version).collect(),
        hosts: ["control-1/5".to_owned()].into(),
    }
}

/// Guards against a restarted host that knows other versions than those it had saved last, whatever their names are.
#[googletest::test]
fn the_last_saved_versions_are_loaded() {
    let dir = tempfile::tempdir().unwrap();
    expect_that!(load(dir.path()), eq(&StoredVersions::default()));
    save(dir.path(), &stored(&["v1"])).unwrap();
    let last = stored(&["v2", "", "a\n\"b\"\t"]);
    save(dir.path(), &last).unwrap();
    expect_that!(load(dir.path()), eq(&last));
}

/// Guards against a part of the versions that is taken for all of them.
#[googletest::test]
fn a_damaged_file_counts_as_none() {
    let dir = tempfile::tempdir().unwrap();
    save(dir.path(), &stored(&["v1", "v2"])).unwrap();
    let text = fs::read_to_string(dir.path().join(NAME)).unwrap();
    for len in 0..text.len() {
        fs::write(dir.path().join(NAME), &text[..len]).unwrap();
        let is_complete = load(dir.path()).is_complete;
        expect_that!(is_complete, eq(false), "{len} bytes");
    }
}
