//! `coltsfootnotch explain`: describes a log event.

use std::io::Write;

use super::error::OpsError;
use crate::util::events::find;

/// Prints the catalogue's entry of an event.
///
/// # Errors
/// Returns [`OpsError::NoEvent`] for a code that is not in the catalogue.
///
/// ```
/// use coltsfootnotch::ops::explain::explain;
/// let mut out = Vec::new();
/// explain("CFN-0001", &mut out)?;
/// assert!(String::from_utf8(out).unwrap().starts_with("CFN-0001 (info): daemon started"));
/// # Ok::<(), coltsfootnotch::ops::error::OpsError>(())
/// ```
pub fn explain(code: &str, out: &mut impl Write) -> Result<(), OpsError> {
    let event = find(code).ok_or_else(|| OpsError::NoEvent {
        code: code.to_owned(),
    })?;
    let level = event.level.as_str().to_ascii_lowercase();
    writeln!(out, "{} ({level}): {}", event.code(), event.text)?;
    writeln!(out, "  what to do: {}", event.action)?;
    Ok(())
}
