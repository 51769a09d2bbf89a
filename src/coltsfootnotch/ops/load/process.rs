//! Memory and CPU time of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Bytes in a page of `statm`; assumes 4 KiB pages.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks per second in `stat` (`USER_HZ` on Linux).
const TICKS_PER_S: u64 = 100;
/// Index of the user time after the command's closing parenthesis in `stat`; system time follows.
const USER_TIME_INDEX: usize = 11;

/// Resident memory in bytes; `None` where `/proc` is not available.
pub(super) fn resident_bytes() -> Option<u64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// User and system time used so far; `None` where `/proc` is not available.
pub(super) fn cpu_time() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_INDEX);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1000 / TICKS_PER_S))
}
