//! The number of this start, kept in the data folder.
//!
//! Summaries of hosts and sums of service are merged by the higher run of a relay. A number drawn at
//! random could make the later run the lower one, and the other relays would keep the earlier run's
//! hosts for minutes.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use coltsfootnotch_membership::Epoch;

const NAME: &str = "relay-epoch";
const UNFINISHED: &str = "relay-epoch.new";

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
    let stored = match fs::read_to_string(dir.join(NAME)) {
        Ok(text) => text.trim().parse().map_err(io::Error::other)?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => calendar_seconds(),
        Err(e) => return Err(e),
    };
    let epoch: u64 = stored + 1;
    let unfinished = dir.join(UNFINISHED);
    let mut file = File::create(&unfinished)?;
    writeln!(file, "{epoch}")?;
    file.sync_all()?;
    fs::rename(&unfinished, dir.join(NAME))?;
    File::open(dir)?.sync_all()?;
    Ok(Epoch(epoch))
}

fn calendar_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
