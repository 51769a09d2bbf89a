//! Addresses of other control hosts, kept in the data folder.
//!
//! The seeds of the settings may all be gone when a host restarts. Without the addresses that it knew
//! before, it finds nobody, and a group whose members don't find each other has no leader.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use super::kept_file;

const NAME: &str = "control-hosts";

/// The addresses that were kept; none in a new folder. A line that is no address is left out and logged,
/// since the seeds are still there.
///
/// # Errors
/// Returns an error when the file is there and can't be read.
pub(super) fn load(dir: &Path) -> io::Result<BTreeSet<SocketAddr>> {
    let text = kept_file::read(dir, NAME)?.unwrap_or_default();
    let address = |line: &str| match line.parse() {
        Ok(address) => Some(address),
        Err(e) => {
            log::warn!("{NAME}: {line:?} is left out: {e}");
            None
        }
    };
    Ok(text.lines().filter_map(address).collect())
}

/// Keeps `addresses` instead of those of before.
///
/// # Errors
/// Returns an error when they can't be written or synced; those of before stay.
pub(super) fn save(dir: &Path, addresses: &BTreeSet<SocketAddr>) -> io::Result<()> {
    let lines: String = addresses.iter().map(|a| format!("{a}\n")).collect();
    kept_file::replace(dir, NAME, &lines)
}

#[cfg(test)]
#[path = "address_file_tests.rs"]
mod tests;
