//! Memory, CPU time and network counters, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Bytes in a page of `statm`; assumes 4 KiB pages.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks per second in `stat` (`USER_HZ` on Linux).
const TICKS_PER_S: u64 = 100;
/// Index of the user time after the command's closing parenthesis in `stat`; system time follows.
const USER_TIME_INDEX: usize = 11;

/// Resident memory of this process in bytes; zero where `/proc` is not available.
pub(crate) fn resident_bytes() -> u64 {
    resident_bytes_of("self")
}

/// User and system time of this process so far; zero where `/proc` is not available.
pub(crate) fn cpu_time() -> Duration {
    cpu_time_of("self")
}

/// Resident memory of a process in bytes.
pub(crate) fn resident_bytes_of(pid: &str) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

/// User and system time of a process so far.
pub(crate) fn cpu_time_of(pid: &str) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(USER_TIME_INDEX).take(2);
    let ticks: u64 = ticks.filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_S)
}

/// IP bytes, UDP datagrams and TCP segments sent in this network namespace.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Network {
    pub(crate) bytes: u64,
    pub(crate) datagrams: u64,
    pub(crate) segments: u64,
}

/// Counters of this network namespace so far.
pub(crate) fn network() -> Network {
    let netstat = fs::read_to_string("/proc/self/net/netstat").unwrap_or_default();
    let snmp = fs::read_to_string("/proc/self/net/snmp").unwrap_or_default();
    Network {
        bytes: field(&netstat, "IpExt:", "OutOctets"),
        datagrams: field(&snmp, "Udp:", "OutDatagrams"),
        segments: field(&snmp, "Tcp:", "OutSegs"),
    }
}

/// Value of a field in a table where a line of names precedes a line of numbers.
fn field(table: &str, line: &str, name: &str) -> u64 {
    let mut lines = table.lines().filter(|text| text.starts_with(line));
    let (Some(names), Some(numbers)) = (lines.next(), lines.next()) else {
        return 0;
    };
    let index = names.split_whitespace().position(|field| field == name);
    let number = index.and_then(|index| numbers.split_whitespace().nth(index));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
