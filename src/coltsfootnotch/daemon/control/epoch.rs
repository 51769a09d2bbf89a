//! The number of this start, kept in the data folder.
//!
//! Summaries of hosts and sums of service are merged by the higher run of a relay. A number drawn at
//! random could make the later run the lower one, and the other relays would keep the earlier run's
//! hosts for minutes.

use std::fs;
use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use coltsfootnotch_membership::Epoch;

use super::kept_file;

const NAME: &str = "relay-epoch";

/// Counts this start, and returns its number once it is synced.
///
/// The calendar clock only gives a first number to an empty folder, so that a member whose disk was
/// lost does not start below its earlier runs; later starts count up from what is stored.
///
/// # Errors
/// Returns an error when the number can't be read or written; starting without it could give two
/// runs one number.
pub(super) fn next(dir: &Path) -> io::Result<Epoch> {
    fs::create_dir_all(dir)?;
    let stored = match kept_file::read(dir, NAME)? {
        Some(text) => text.trim().parse().map_err(io::Error::other)?,
        None => calendar_seconds(),
    };
    let epoch: u64 = stored + 1;
    kept_file::replace(dir, NAME, &format!("{epoch}\n"))?;
    Ok(Epoch(epoch))
}

fn calendar_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
