//! Memory per open stream.

use std::net::{SocketAddr, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{Fleet, FleetError};

use crate::caller::{open_stream, read_stream};
use crate::fleets::{Size, account_name, start};
use crate::process::resident_bytes;

const ENTRIES: usize = 2;
const SIDECARS: usize = 16;
const SLOTS: u32 = 128;
const ACCOUNTS: usize = 16;
/// Callers and length of the warm-up, in which sidecars adapt their windows to the engines.
const WARM_UP_CALLERS: usize = 400;
const WARM_UP: Duration = Duration::from_secs(10);
/// Slows the engines to one token a second, so that streams stay open and take little CPU time.
const SLOWDOWN: f64 = 500.0;
const TOKENS: u32 = 1_000;
/// Time for the streams to open.
const OPENING: Duration = Duration::from_secs(5);

/// Prints one row for each number of streams.
pub(crate) fn run(sizes: &[usize]) -> Result<(), FleetError> {
    println!(
        "open streams: {ENTRIES} entries, {SIDECARS} sidecars, engines of {SLOTS} slots, one token \
         a second; growth of the whole process, callers' sockets and stand-ins included"
    );
    println!(
        "{:>8} {:>8} {:>16} {:>15} {:>13}",
        "asked", "running", "direct KB/stream", "fleet KB/stream", "added KB"
    );
    for &streams in sizes {
        let fleet = start(&Size {
            entries: ENTRIES,
            engines: SIDECARS,
            slots: SLOTS,
            token: Duration::from_millis(2),
            accounts: ACCOUNTS,
        })?;
        warm_up(&fleet.http_addresses());
        fleet
            .engines()
            .iter()
            .for_each(|engine| engine.set_slowdown(SLOWDOWN));
        let (through, running) = memory_growth(&fleet, &fleet.http_addresses(), streams);
        let engines: Vec<_> = fleet
            .engines()
            .iter()
            .map(|engine| engine.address())
            .collect();
        let (direct, _) = memory_growth(&fleet, &engines, streams);
        println!(
            "{streams:>8} {running:>8} {direct:>16.1} {through:>15.1} {:>13.1}",
            through - direct
        );
        fleet.stop();
        sleep(OPENING);
    }
    Ok(())
}

fn warm_up(entries: &[SocketAddr]) {
    let ends_at = Instant::now() + WARM_UP;
    thread::scope(|scope| {
        for caller in 0..WARM_UP_CALLERS {
            scope.spawn(move || {
                let entry = entries[caller % entries.len()];
                while Instant::now() < ends_at {
                    let _answer = open_stream(entry, &account_name(caller % ACCOUNTS), caller, 8)
                        .map(read_stream);
                }
            });
        }
    });
}

/// Memory growth per stream in KiB, and the number of streams that the engines run.
fn memory_growth(fleet: &Fleet, addresses: &[SocketAddr], streams: usize) -> (f64, u32) {
    let resident_before = resident_bytes();
    let open_one = |number: usize| {
        open_stream(
            addresses[number % addresses.len()],
            &account_name(number % ACCOUNTS),
            number,
            TOKENS,
        )
        .ok()
    };
    let sockets: Vec<TcpStream> = (0..streams).filter_map(open_one).collect();
    sleep(OPENING);
    let growth = resident_bytes().saturating_sub(resident_before) as f64 / 1024.0;
    let running = fleet
        .engines()
        .iter()
        .map(|engine| engine.stats().running)
        .sum();
    drop(sockets);
    sleep(OPENING);
    (growth / streams as f64, running)
}
