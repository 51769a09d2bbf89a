//! Cost of backlogged client accounts: every sidecar receives which accounts have waiting requests,
//! and how much service they received on other hosts.

use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{Fleet, FleetError};

use crate::caller::open_stream;
use crate::fleets::{CONTROL, Size, account_name, start};
use crate::process::{cpu_time, resident_bytes};

const ENTRIES: usize = 2;
const SIDECARS: usize = 8;
const SETTLE: Duration = Duration::from_secs(3);
const MEASURE_FOR: Duration = Duration::from_secs(10);
/// Requests of all accounts; enough that every account has waiting requests while others run.
const REQUESTS: usize = 2_400;
/// Tokens of each request; at 20 ms per token a request takes a second.
const TOKENS: u32 = 50;

/// Prints one row for each number of backlogged accounts.
pub(crate) fn run(sizes: &[usize]) -> Result<(), FleetError> {
    println!(
        "backlogged accounts: {CONTROL} control hosts, {ENTRIES} entries, {SIDECARS} sidecars; \
         {REQUESTS} requests of {TOKENS} tokens, 20 ms apart; control bytes a second \
         sent by one host of each role"
    );
    println!(
        "{:>9} {:>9} {:>9} {:>11} {:>9} {:>11} {:>13} {:>11}",
        "accounts",
        "waiting",
        "started/s",
        "control B/s",
        "entry B/s",
        "sidecar B/s",
        "cpu ms/s/host",
        "resident MB"
    );
    for &accounts in sizes {
        let resident_before = resident_bytes();
        let fleet = start(&Size {
            entries: ENTRIES,
            engines: SIDECARS,
            slots: 8,
            token: Duration::from_millis(20),
            accounts,
        })?;
        let waiting = send_requests(&fleet, accounts)?;
        sleep(SETTLE);
        print_row(&fleet, accounts, waiting.len(), resident_before);
        drop(waiting);
        fleet.stop();
        sleep(SETTLE);
    }
    Ok(())
}

fn send_requests(fleet: &Fleet, accounts: usize) -> Result<Vec<TcpStream>, FleetError> {
    let entries = fleet.http_addresses();
    let send = |number: usize| {
        let entry = entries[number % entries.len()];
        open_stream(entry, &account_name(number % accounts), number, TOKENS)
    };
    let sockets: std::io::Result<Vec<_>> = (0..REQUESTS).map(send).collect();
    Ok(sockets?)
}

fn started_requests(fleet: &Fleet) -> u64 {
    fleet
        .engines()
        .iter()
        .map(|engine| engine.stats().started)
        .sum()
}

fn print_row(fleet: &Fleet, accounts: usize, sent_requests: usize, resident_before: u64) {
    let (bytes, cpu, measured_from) = (fleet.control_bytes_by_role(), cpu_time(), Instant::now());
    let started_before = started_requests(fleet);
    sleep(MEASURE_FOR);
    let sent = fleet.control_bytes_by_role().since(&bytes);
    let seconds = measured_from.elapsed().as_secs_f64();
    let cpu_ms = 1000.0 * (cpu_time() - cpu).as_secs_f64();
    let started_after = started_requests(fleet);
    let per_host = |bytes: u64, hosts: usize| bytes as f64 / seconds / hosts as f64;
    println!(
        "{accounts:>9} {:>9} {:>9.1} {:>11.0} {:>9.0} {:>11.0} {:>13.2} {:>11.1}",
        sent_requests.saturating_sub(usize::try_from(started_after).unwrap_or(usize::MAX)),
        (started_after - started_before) as f64 / seconds,
        per_host(sent.control, CONTROL),
        per_host(sent.entries, ENTRIES),
        per_host(sent.sidecars, SIDECARS),
        cpu_ms / seconds / fleet.hosts() as f64,
        resident_bytes().saturating_sub(resident_before) as f64 / 1e6,
    );
}
