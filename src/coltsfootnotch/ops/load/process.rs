//! Memory and processor time of this process, from the system's own accounts.

use std::fs;
use std::time::Duration;

/// Size of a page in bytes, as `statm` counts; 4 KiB on the machines that this runs on.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks a second, as `stat` counts; fixed in the interface of Linux.
const TICKS_PER_S: u64 = 100;
/// Places of user and system time after the command's closing parenthesis in `stat`.
const USER_FIELD: usize = 11;

/// Resident memory in bytes, where the system tells.
pub(super) fn resident_bytes() -> Option<u64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Processor time used so far, where the system tells.
pub(super) fn cpu_time() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1000 / TICKS_PER_S))
}
