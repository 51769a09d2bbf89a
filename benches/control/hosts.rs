//! Cost of hosts at a control host: bytes per second and CPU time.
//!
//! Each host at one relay sends two heartbeats per second. A tenth of the hosts are entries, the
//! others are sidecars that report service for 20 accounts five times per second and watch the same
//! accounts. CPU time covers only the event loops: the runtime's threads, which also encrypt, serve
//! daemons and hosts alike and are left out.

use std::fs;
use std::time::{Duration, Instant};

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ServiceBatch, ToRelay};

use crate::client::Client;
use crate::group::Group;

/// Hosts at the relay; 68 is the failure domain of a fleet of 410 hosts in 6 domains.
const HOSTS: [usize; 3] = [0, 34, 68];
const ROUND: Duration = Duration::from_millis(100);
/// Rounds between two service reports of a sidecar.
const ROUNDS_PER_REPORT: u64 = 2;
/// Rounds between two heartbeats.
const ROUNDS_PER_HEARTBEAT: u64 = 5;
/// Time before the measurement, in which the initial state is exchanged.
const WARM_UP: Duration = Duration::from_secs(4);
const RUN_FOR: Duration = Duration::from_secs(10);
/// Backlogged accounts at a sidecar.
const ACCOUNTS: usize = 20;
/// Clock ticks per second in `stat` (`USER_HZ` on Linux).
const TICKS_PER_S: f64 = 100.0;

/// Measures each number of hosts and prints a table row for it.
pub(crate) fn run() {
    println!(
        "| hosts at the relay | sent bytes/s | sent bytes/s a host | event loop, % of a core |"
    );
    println!("|---|---|---|---|");
    for hosts in HOSTS {
        measure(hosts);
    }
}

fn measure(hosts: usize) {
    let group = Group::started(|_| {});
    let relay = (group.wait_for_leader() + 1) % 3;
    let mut clients: Vec<_> = (0..hosts)
        .map(|n| {
            let role = if n % 10 == 0 {
                Role::Entry
            } else {
                Role::Sidecar
            };
            group.client(relay, role, &format!("h{n}"))
        })
        .collect();
    let traffic = group.handles[relay].as_ref().expect("it runs").traffic();
    let mut round = 0;
    run_hosts(&mut clients, &mut round, WARM_UP);
    let (bytes, ticks) = (traffic.sent(), event_loop_ticks());
    run_hosts(&mut clients, &mut round, RUN_FOR);
    let per_second = (traffic.sent() - bytes) as f64 / RUN_FOR.as_secs_f64();
    // Includes the event loops of the other two control hosts, which serve no hosts.
    let cores = (event_loop_ticks() - ticks) as f64 / TICKS_PER_S / RUN_FOR.as_secs_f64();
    let per_host = per_second / hosts.max(1) as f64;
    println!(
        "| {hosts} | {per_second:.0} | {per_host:.0} | {:.2} (three loops) |",
        cores * 100.0
    );
}

/// Sends the heartbeats and service reports of all hosts for `duration`.
fn run_hosts(clients: &mut [Client], round: &mut u64, duration: Duration) {
    let started = Instant::now();
    while started.elapsed() < duration {
        for client in &mut *clients {
            if round.is_multiple_of(ROUNDS_PER_HEARTBEAT) {
                client.beat(0);
            }
            let is_sidecar = client.peer.role == Role::Sidecar;
            if is_sidecar && round.is_multiple_of(ROUNDS_PER_REPORT) {
                client.send(report(*round / ROUNDS_PER_REPORT + 1));
            }
        }
        *round += 1;
        std::thread::sleep(ROUND);
    }
}

fn report(seq: u64) -> ToRelay {
    let accounts = (0..ACCOUNTS).map(|n| AccountName::new(format!("account-{n}")).expect("a name"));
    let units = |a: AccountName| (a, ServiceUnits(100));
    let served: Vec<_> = accounts.map(units).collect();
    ToRelay::Service(ServiceBatch {
        seq,
        // The first report also starts watching; its totals equal what it adds.
        watch: if seq == 1 { served.clone() } else { Vec::new() },
        unwatch: Vec::new(),
        served,
    })
}

/// CPU time of the control event loops of this process so far, in ticks.
fn event_loop_ticks() -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the threads of this process");
    let mut ticks = 0;
    for task in tasks.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let Some((name, fields)) = stat.rsplit_once(") ") else {
            continue;
        };
        if name.ends_with("(control") {
            // User and system time are the 14th and 15th fields; two precede the end of the name.
            let times = fields.split(' ').skip(11).take(2);
            ticks += times.filter_map(|t| t.parse::<u64>().ok()).sum::<u64>();
        }
    }
    ticks
}
