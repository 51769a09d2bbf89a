//! Prints the tables of `docs/SETTINGS.md`, which are updated when a key changes.

use coltsfootnotch_manifest::{MANIFEST_KEYS, SETTINGS_KEYS, reference};

fn main() {
    println!("{}\n{}", reference(SETTINGS_KEYS), reference(MANIFEST_KEYS));
}
