//! Memory of open streams.

use std::net::{SocketAddr, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{Fleet, FleetError};

use crate::caller::{open, whole};
use crate::fleets::{Size, account, start};
use crate::process::resident_bytes;

const ENTRIES: usize = 2;
const SIDECARS: usize = 16;
const SLOTS: u32 = 128;
const ACCOUNTS: usize = 16;
/// Callers and time of the warm-up, in which sidecars find out how much their engines hold.
const WARM_UP_CALLERS: usize = 400;
const WARM_UP: Duration = Duration::from_secs(10);
/// Slows tokens to one a second, so that the streams stay open and cost little processor time.
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
        let (through, running) = grown(&fleet, &fleet.http_addresses(), streams);
        let engines: Vec<_> = fleet
            .engines()
            .iter()
            .map(|engine| engine.address())
            .collect();
        let (direct, _) = grown(&fleet, &engines, streams);
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
    let until = Instant::now() + WARM_UP;
    thread::scope(|scope| {
        for caller in 0..WARM_UP_CALLERS {
            scope.spawn(move || {
                let at = entries[caller % entries.len()];
                while Instant::now() < until {
                    let _warms_up_only =
                        open(at, &account(caller % ACCOUNTS), caller, 8).map(whole);
                }
            });
        }
    });
}

/// Growth a stream in KB, and how many streams the engines run.
fn grown(fleet: &Fleet, at: &[SocketAddr], streams: usize) -> (f64, u32) {
    let before = resident_bytes();
    let open = |number: usize| {
        open(
            at[number % at.len()],
            &account(number % ACCOUNTS),
            number,
            TOKENS,
        )
        .ok()
    };
    let sockets: Vec<TcpStream> = (0..streams).filter_map(open).collect();
    sleep(OPENING);
    let grown = resident_bytes().saturating_sub(before) as f64 / 1024.0;
    let running = fleet
        .engines()
        .iter()
        .map(|engine| engine.stats().running)
        .sum();
    drop(sockets);
    sleep(OPENING);
    (grown / streams as f64, running)
}
