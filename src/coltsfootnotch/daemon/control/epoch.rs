//! The start counter of this host, stored in the data folder.
//!
//! Other relays merge host summaries and service sums by the highest epoch of a relay. The counter
//! ensures that a later run has a higher epoch; with a lower one, peers keep the earlier run's hosts
//! for minutes.

use std::fs;
use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use coltsfootnotch_membership::Epoch;

use super::atomic_file;

const NAME: &str = "relay-epoch";

/// Increments the stored counter and returns it after it is synced.
///
/// In an empty folder the counter starts at the wall-clock time in seconds, so that a member that lost
/// its disk doesn't start below its earlier runs.
///
/// # Errors
/// Returns an error when the number can't be read or written, since two runs could then share an
/// epoch.
pub(super) fn next(dir: &Path) -> io::Result<Epoch> {
    fs::create_dir_all(dir)?;
    let stored = match atomic_file::read(dir, NAME)? {
        Some(text) => text.trim().parse().map_err(io::Error::other)?,
        None => calendar_seconds(),
    };
    let epoch: u64 = stored + 1;
    atomic_file::replace(dir, NAME, &format!("{epoch}\n"))?;
    Ok(Epoch(epoch))
}

fn calendar_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
