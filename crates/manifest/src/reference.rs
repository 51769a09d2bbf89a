//! The reference tables of `docs/SETTINGS.md`.

use std::fmt::Write;

use crate::Key;

/// Formats a Markdown table with a row for each key.
///
/// ```
/// use coltsfootnotch_manifest::{SETTINGS_KEYS, reference};
/// assert!(reference(SETTINGS_KEYS).contains("| `log.level` | one of error, warn"));
/// ```
#[must_use]
pub fn reference(keys: &[&[Key]]) -> String {
    let mut table = "| key | takes | default | meaning |\n|---|---|---|---|\n".to_owned();
    for key in keys.iter().copied().flatten() {
        let Key {
            path,
            kind,
            presence,
            doc,
        } = key;
        // Writing to a string cannot fail.
        let _ = writeln!(table, "| `{path}` | {kind} | {presence} | {doc} |");
    }
    table
}
