//! The reference page, the table of keys and the types hold the same keys.

use std::collections::BTreeSet;

use coltsfootnotch_manifest::{
    Key, Kind, MANIFEST_KEYS, Manifest, Need, SETTINGS_KEYS, Settings, reference,
};
use googletest::prelude::*;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const SETTINGS: &str = include_str!("../../../examples/kelani/hosts/control-colombo.jsonc");
const MANIFEST: &str = include_str!("../../../examples/kelani/manifest.jsonc");

/// The paths of all keys in `value`, written as in the table.
fn paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                let inner_path = format!("{path}.{name}").trim_start_matches('.').to_owned();
                found.insert(inner_path.clone());
                paths(inner, &inner_path, found);
            }
        }
        Value::Array(list) => {
            let inner_path = format!("{path}[]");
            for inner in list {
                found.insert(inner_path.clone());
                paths(inner, &inner_path, found);
            }
        }
        _ => {}
    }
}

fn known(keys: &[&[Key]]) -> BTreeSet<String> {
    keys.iter()
        .copied()
        .flatten()
        .map(|key| key.path.to_owned())
        .collect()
}

// An operator sets a key, `check` accepts it, and nothing changes: the table knows the key and the
// type does not. Both examples give every list an element, so that each key shows up.
#[gtest]
fn every_key_is_read() {
    let settings = Settings::parse("s", SETTINGS).unwrap_or_else(|found| panic!("{found}"));
    let manifest = Manifest::parse("m", MANIFEST).unwrap_or_else(|found| panic!("{found}"));
    for (value, keys) in [
        (serde_json::to_value(settings), known(SETTINGS_KEYS)),
        (serde_json::to_value(manifest), known(MANIFEST_KEYS)),
    ] {
        let mut read = BTreeSet::new();
        paths(&value.expect("it can be written"), "", &mut read);
        expect_that!(read, eq(&keys));
    }
}

// The page is printed by `cargo run -p coltsfootnotch-manifest --example reference`.
#[gtest]
fn the_page_holds_every_key() {
    for keys in [SETTINGS_KEYS, MANIFEST_KEYS] {
        expect_that!(PAGE, contains_substring(reference(keys)));
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| `")).count();
    expect_that!(
        rows,
        eq(known(SETTINGS_KEYS).len() + known(MANIFEST_KEYS).len())
    );
}

// A default outside of its own range would be in force and yet be refused when it is written out.
#[gtest]
fn every_default_is_accepted_by_its_own_key() {
    for key in SETTINGS_KEYS.iter().chain(MANIFEST_KEYS).copied().flatten() {
        let Need::Default(json) = key.need else {
            continue;
        };
        let default: Value = serde_json::from_str(json).expect("a default is JSON");
        let accepted = match key.kind {
            Kind::Number { min, max, .. } => default
                .as_u64()
                .is_some_and(|number| (min..=max).contains(&number)),
            Kind::Choice(words) => default.as_str().is_some_and(|word| words.contains(&word)),
            Kind::Flag => default.is_boolean(),
            Kind::List { .. } => default.is_array(),
            Kind::Object => default.is_object(),
            _ => default.is_string(),
        };
        expect_that!(accepted, eq(true), "{}", key.path);
    }
}
