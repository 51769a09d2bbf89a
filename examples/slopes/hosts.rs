//! Cost per host of an idle fleet.

use std::thread::sleep;
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::FleetError;

use crate::fleets::{CONTROL, Size, start};
use crate::process::{cpu_time, network, resident_bytes};

const ENTRIES: usize = 2;
const SETTLE: Duration = Duration::from_secs(4);
const MEASURE_FOR: Duration = Duration::from_secs(10);

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
        let resident_before = resident_bytes();
        let started = Instant::now();
        let engines = hosts.saturating_sub(CONTROL + ENTRIES).max(1);
        let fleet = start(&Size {
            entries: ENTRIES,
            engines,
            slots: 8,
            token: Duration::from_millis(2),
            accounts: 16,
        })?;
        let ready = started.elapsed();
        sleep(SETTLE);
        let (bytes, cpu, measured_from) =
            (fleet.control_bytes_by_role(), cpu_time(), Instant::now());
        let network_before = network();
        sleep(MEASURE_FOR);
        let sent = fleet.control_bytes_by_role().since(&bytes);
        let seconds = measured_from.elapsed().as_secs_f64();
        let network_after = network();
        let cpu_ms = 1000.0 * (cpu_time() - cpu).as_secs_f64();
        let per_host = |bytes: u64, hosts: usize| bytes as f64 / seconds / hosts as f64;
        println!(
            "{:>6} {:>11.0} {:>9.0} {:>11.0} {:>12.2} {:>12.1} {:>10.1} {:>7.1} {:>7.1} {:>9.0}",
            fleet.hosts(),
            per_host(sent.control, CONTROL),
            per_host(sent.entries, ENTRIES),
            per_host(sent.sidecars, engines),
            cpu_ms / seconds / fleet.hosts() as f64,
            resident_bytes().saturating_sub(resident_before) as f64 / 1e6,
            ready.as_secs_f64(),
            per_host(
                network_after.datagrams - network_before.datagrams,
                fleet.hosts()
            ),
            per_host(
                network_after.segments - network_before.segments,
                fleet.hosts()
            ),
            per_host(network_after.bytes - network_before.bytes, fleet.hosts()),
        );
        fleet.stop();
        sleep(SETTLE);
    }
    Ok(())
}
