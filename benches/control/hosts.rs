//! What hosts cost a control host: bytes a second and processor time.
//!
//! Hosts at one relay send a heartbeat twice a second; a tenth of them are entries, the others are
//! sidecars that report service five times a second for 20 accounts and watch the same. The loop's
//! time is read from the system; the runtime's threads serve daemons and hosts alike and are left
//! out, so encryption is not in it.

use std::fs;
use std::time::{Duration, Instant};

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ServiceBatch, ToRelay};

use crate::client::Client;
use crate::group::Group;

/// Hosts at the relay; a failure domain of 410 hosts in 6 has 68.
const HOSTS: [usize; 3] = [0, 34, 68];
const ROUND: Duration = Duration::from_millis(100);
/// Rounds between two reports of a sidecar.
const ROUNDS_PER_REPORT: u64 = 2;
/// Rounds between two heartbeats.
const ROUNDS_PER_BEAT: u64 = 5;
/// Measured after everything has been told once.
const WARM_UP: Duration = Duration::from_secs(4);
const RUN_FOR: Duration = Duration::from_secs(10);
/// Accounts that wait at a sidecar.
const ACCOUNTS: usize = 20;
/// Ticks of processor time a second, as Linux counts them for processes.
const TICKS_PER_SEC: f64 = 100.0;

/// Measures each number of hosts and prints a row of a table for it.
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
    keep_up(&mut clients, &mut round, WARM_UP);
    let (bytes, ticks) = (traffic.sent(), loop_ticks());
    keep_up(&mut clients, &mut round, RUN_FOR);
    let per_second = (traffic.sent() - bytes) as f64 / RUN_FOR.as_secs_f64();
    // Three loops run in this process; the other two do what they do without hosts.
    let cores = (loop_ticks() - ticks) as f64 / TICKS_PER_SEC / RUN_FOR.as_secs_f64();
    let a_host = per_second / hosts.max(1) as f64;
    println!(
        "| {hosts} | {per_second:.0} | {a_host:.0} | {:.2} (three loops) |",
        cores * 100.0
    );
}

/// Heartbeats and reports of all hosts for some time.
fn keep_up(clients: &mut [Client], round: &mut u64, time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        for client in &mut *clients {
            if round.is_multiple_of(ROUNDS_PER_BEAT) {
                client.beat(0);
            }
            let reports = client.peer.role == Role::Sidecar;
            if reports && round.is_multiple_of(ROUNDS_PER_REPORT) {
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
        // Watched with the first report, in which all that was reported is what this one adds.
        watch: if seq == 1 { served.clone() } else { Vec::new() },
        unwatch: Vec::new(),
        served,
    })
}

/// Processor time of this process's control loops so far, in ticks.
fn loop_ticks() -> u64 {
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
            // User and system time are the 14th and 15th fields; two stand before the name's end.
            let times = fields.split(' ').skip(11).take(2);
            ticks += times.filter_map(|t| t.parse::<u64>().ok()).sum::<u64>();
        }
    }
    ticks
}
