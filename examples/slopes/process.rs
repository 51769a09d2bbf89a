//! Memory and processor time of processes, from the system's own accounts.

use std::fs;
use std::time::Duration;

/// Size of a page in bytes, as `statm` counts; 4 KiB on the machines that this runs on.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks a second, as `stat` counts; fixed in the interface of Linux.
const TICKS_PER_S: u64 = 100;
/// Place of user time after the command's closing parenthesis in `stat`; system time follows.
const USER_FIELD: usize = 11;

/// Resident memory of this process in bytes; zero where the system does not tell.
pub(crate) fn resident_bytes() -> u64 {
    resident_bytes_of("self")
}

/// User and system time that this process used so far; zero where the system does not tell.
pub(crate) fn cpu_time() -> Duration {
    cpu_time_of("self")
}

/// Resident memory of a process in bytes.
pub(crate) fn resident_bytes_of(pid: &str) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

/// User and system time that a process used so far.
pub(crate) fn cpu_time_of(pid: &str) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(USER_FIELD).take(2);
    let ticks: u64 = ticks.filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_S)
}

/// IP packets and bytes sent in this network namespace, and UDP datagrams among them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Network {
    pub(crate) bytes: u64,
    pub(crate) datagrams: u64,
    pub(crate) segments: u64,
}

/// What was sent so far in this network namespace.
pub(crate) fn network() -> Network {
    let netstat = fs::read_to_string("/proc/self/net/netstat").unwrap_or_default();
    let snmp = fs::read_to_string("/proc/self/net/snmp").unwrap_or_default();
    Network {
        bytes: field(&netstat, "IpExt:", "OutOctets"),
        datagrams: field(&snmp, "Udp:", "OutDatagrams"),
        segments: field(&snmp, "Tcp:", "OutSegs"),
    }
}

/// A field of a table in which a line of names precedes a line of numbers.
fn field(table: &str, line: &str, name: &str) -> u64 {
    let mut lines = table.lines().filter(|text| text.starts_with(line));
    let (Some(names), Some(numbers)) = (lines.next(), lines.next()) else {
        return 0;
    };
    let place = names.split_whitespace().position(|known| known == name);
    let number = place.and_then(|place| numbers.split_whitespace().nth(place));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
