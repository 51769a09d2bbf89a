//! Prints the tables of `docs/SETTINGS.md`, to be put there when a key changes.

use coltsfootnotch_manifest::{MANIFEST_KEYS, SETTINGS_KEYS, reference};

fn main() {
    println!("{}\n{}", reference(SETTINGS_KEYS), reference(MANIFEST_KEYS));
}
