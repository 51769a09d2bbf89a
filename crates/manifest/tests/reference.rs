//! The reference page, the tables of keys and the types have the same keys.

use std::collections::BTreeSet;

use coltsfootnotch_manifest::{
    Key, Kind, MANIFEST_KEYS, Manifest, Presence, SETTINGS_KEYS, Settings, reference,
};
use googletest::prelude::*;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const SETTINGS: &str = include_str!("../../../examples/kelani/hosts/control-colombo.jsonc");
const MANIFEST: &str = include_str!("../../../examples/kelani/manifest.jsonc");

/// Collects the paths of all keys in `value`, written as in the table.
fn collect_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                let inner_path = format!("{path}.{name}").trim_start_matches('.').to_owned();
                found.insert(inner_path.clone());
                collect_paths(inner, &inner_path, found);
            }
        }
        Value::Array(list) => {
            let inner_path = format!("{path}[]");
            for inner in list {
                found.insert(inner_path.clone());
                collect_paths(inner, &inner_path, found);
            }
        }
        _ => {}
    }
}

fn key_paths(keys: &[&[Key]]) -> BTreeSet<String> {
    keys.iter()
        .copied()
        .flatten()
        .map(|key| key.path.to_owned())
        .collect()
}

// Guards against a key that passes `check` and has no effect, because it is missing in the type.
// Every list of the two examples has an element, so that each key appears.
#[gtest]
fn the_tables_have_the_keys_of_the_types() {
    let settings = Settings::parse("s", SETTINGS).unwrap_or_else(|findings| panic!("{findings}"));
    let manifest = Manifest::parse("m", MANIFEST).unwrap_or_else(|findings| panic!("{findings}"));
    for (value, keys) in [
        (serde_json::to_value(settings), key_paths(SETTINGS_KEYS)),
        (serde_json::to_value(manifest), key_paths(MANIFEST_KEYS)),
    ] {
        let mut type_paths = BTreeSet::new();
        collect_paths(
            &value.expect("settings and manifests can be encoded"),
            "",
            &mut type_paths,
        );
        expect_that!(type_paths, eq(&keys));
    }
}

// The page is printed by `cargo run -p coltsfootnotch-manifest --example reference`.
#[gtest]
fn the_page_has_every_key() {
    for keys in [SETTINGS_KEYS, MANIFEST_KEYS] {
        expect_that!(PAGE, contains_substring(reference(keys)));
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| `")).count();
    expect_that!(
        rows,
        eq(key_paths(SETTINGS_KEYS).len() + key_paths(MANIFEST_KEYS).len())
    );
}

// Guards against a default that is rejected when it is written out in a file.
#[gtest]
fn defaults_are_within_the_range_of_their_key() {
    for key in SETTINGS_KEYS.iter().chain(MANIFEST_KEYS).copied().flatten() {
        let Presence::Default(json) = key.presence else {
            continue;
        };
        let default: Value = serde_json::from_str(json).expect("a default is JSON");
        let accepted = match key.kind {
            Kind::Number { min, max, .. } => default
                .as_u64()
                .is_some_and(|number| (min..=max).contains(&number)),
            Kind::Choice(words) => default.as_str().is_some_and(|word| words.contains(&word)),
            Kind::Bool => default.is_boolean(),
            Kind::List { .. } => default.is_array(),
            Kind::Object => default.is_object(),
            _ => default.is_string(),
        };
        expect_that!(accepted, eq(true), "{}", key.path);
    }
}
