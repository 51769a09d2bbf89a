//! Memory and processor time of this process, from the system's own accounts.

use std::fs;
use std::time::Duration;

/// Size of a page in bytes, as `statm` counts; 4 KiB on the machines that this runs on.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks a second, as `stat` counts; fixed in the interface of Linux.
const TICKS_PER_S: u64 = 100;
/// Place of user time after the command's closing parenthesis in `stat`; system time follows.
const USER_FIELD: usize = 11;

/// Resident memory in bytes; zero where the system does not tell.
pub(crate) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

/// User and system time used so far; zero where the system does not tell.
pub(crate) fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(USER_FIELD).take(2);
    let ticks: u64 = ticks.filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_S)
}
