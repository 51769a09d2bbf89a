//! Addresses of other control hosts, stored in the data folder.
//!
//! A restarted host can connect to its group even if all seeds in its settings have been replaced.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use super::atomic_file;

const NAME: &str = "control-hosts";

/// Loads the stored addresses; none in a new folder. Lines that are not addresses are logged and skipped.
///
/// # Errors
/// Returns an error when the file exists and can't be read.
pub(super) fn load(dir: &Path) -> io::Result<BTreeSet<SocketAddr>> {
    let text = atomic_file::read(dir, NAME)?.unwrap_or_default();
    let address = |line: &str| match line.parse() {
        Ok(address) => Some(address),
        Err(e) => {
            log::warn!("{NAME}: skipping the invalid address {line:?}: {e}");
            None
        }
    };
    Ok(text.lines().filter_map(address).collect())
}

/// Replaces the stored addresses.
///
/// # Errors
/// Returns an error when they can't be written or synced; the file is then unchanged.
pub(super) fn save(dir: &Path, addresses: &BTreeSet<SocketAddr>) -> io::Result<()> {
    let lines: String = addresses.iter().map(|a| format!("{a}\n")).collect();
    atomic_file::replace(dir, NAME, &lines)
}

#[cfg(test)]
#[path = "address_file_tests.rs"]
mod tests;
