//! What an idle fleet costs for each host.

use std::thread::sleep;
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::FleetError;

use crate::fleets::{CONTROL, Size, start};
use crate::process::{cpu_time, network, resident_bytes};

const ENTRIES: usize = 2;
const SETTLE: Duration = Duration::from_secs(4);
const WATCHED: Duration = Duration::from_secs(10);

/// Prints one row for each number of hosts.
pub(crate) fn run(sizes: &[usize]) -> Result<(), FleetError> {
    println!(
        "idle fleets: {CONTROL} control hosts, {ENTRIES} entries, the rest sidecars with one \
         stand-in engine each; control bytes a second sent by one host of each role; processor \
         time of the whole process, stand-ins included; UDP datagrams, TCP segments and IP bytes a \
         second of the whole network namespace, by hosts: run it in a namespace of its own"
    );
    println!(
        "{:>6} {:>11} {:>9} {:>11} {:>12} {:>12} {:>10} {:>7} {:>7} {:>9}",
        "hosts",
        "control B/s",
        "entry B/s",
        "sidecar B/s",
        "cpu ms/s/host",
        "resident MB",
        "ready s",
        "UDP/s",
        "TCP/s",
        "IP B/s"
    );
    for &hosts in sizes {
        let before = resident_bytes();
        let began = Instant::now();
        let engines = hosts.saturating_sub(CONTROL + ENTRIES).max(1);
        let fleet = start(&Size {
            entries: ENTRIES,
            engines,
            slots: 8,
            token: Duration::from_millis(2),
            accounts: 16,
        })?;
        let ready = began.elapsed();
        sleep(SETTLE);
        let (bytes, cpu, from) = (fleet.control_bytes_by_role(), cpu_time(), Instant::now());
        let net = network();
        sleep(WATCHED);
        let sent = fleet.control_bytes_by_role().since(&bytes);
        let seconds = from.elapsed().as_secs_f64();
        let after = network();
        let cpu_ms = 1000.0 * (cpu_time() - cpu).as_secs_f64();
        let each = |bytes: u64, hosts: usize| bytes as f64 / seconds / hosts as f64;
        println!(
            "{:>6} {:>11.0} {:>9.0} {:>11.0} {:>12.2} {:>12.1} {:>10.1} {:>7.1} {:>7.1} {:>9.0}",
            fleet.hosts(),
            each(sent.control, CONTROL),
            each(sent.entries, ENTRIES),
            each(sent.sidecars, engines),
            cpu_ms / seconds / fleet.hosts() as f64,
            resident_bytes().saturating_sub(before) as f64 / 1e6,
            ready.as_secs_f64(),
            each(after.datagrams - net.datagrams, fleet.hosts()),
            each(after.segments - net.segments, fleet.hosts()),
            each(after.bytes - net.bytes, fleet.hosts()),
        );
        fleet.stop();
        sleep(SETTLE);
    }
    Ok(())
}
