//! CPU time and control bytes per request, for several answer lengths and numbers of entries.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{ControlBytes, Fleet, FleetError};

use crate::caller::{open_stream, read_stream};
use crate::fleets::{Size, account_name, start};
use crate::process::{cpu_time, network};

const ENTRIES: usize = 2;
const SIDECARS: usize = 4;
const CALLERS: usize = 8;
const REQUESTS: usize = 800;
const ACCOUNTS: usize = 16;
const ENTRY_TOKENS: u32 = 8;
/// A new upstream receives its full share after ten seconds.
const SETTLE: Duration = Duration::from_secs(11);
const IDLE: Duration = Duration::from_secs(6);

/// Prints one row for each number of tokens.
pub(crate) fn run(sizes: &[usize]) -> Result<(), FleetError> {
    println!(
        "{REQUESTS} streamed requests by {CALLERS} callers at once, to the engines directly and \
         through {ENTRIES} entries and {SIDECARS} sidecars; user and system time of the whole \
         process, stand-ins and callers included"
    );
    println!(
        "{:>7} {:>14} {:>13} {:>14} {:>18} {:>7}",
        "tokens", "direct ms/req", "fleet ms/req", "added ms/req", "control B/request", "failed"
    );
    let fleet = start(&Size {
        entries: ENTRIES,
        engines: SIDECARS,
        slots: 8,
        token: Duration::from_millis(1),
        accounts: ACCOUNTS,
    })?;
    let engines: Vec<SocketAddr> = fleet.engines().iter().map(|e| e.address()).collect();
    let entries = fleet.http_addresses();
    for &tokens in sizes {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let (direct, failed_direct) = measure_cost(&engines, tokens);
        let bytes = fleet.control_bytes();
        let (through, failed) = measure_cost(&entries, tokens);
        let bytes = fleet.control_bytes() - bytes;
        println!(
            "{tokens:>7} {direct:>14.3} {through:>13.3} {:>14.3} {:>18.0} {:>7}",
            through - direct,
            bytes as f64 / REQUESTS as f64,
            failed + failed_direct,
        );
    }
    fleet.stop();
    Ok(())
}

/// Prints one row for each number of entries; a sidecar announces its free slots to each of them.
pub(crate) fn entries(sizes: &[usize]) -> Result<(), FleetError> {
    println!(
        "{REQUESTS} streamed requests of {ENTRY_TOKENS} tokens by {CALLERS} callers at once, through \
         {SIDECARS} sidecars; control bytes a request by role, and UDP datagrams a request in the \
         network namespace, each without what the idle fleet sends in the same time"
    );
    println!(
        "{:>8} {:>11} {:>9} {:>10} {:>8} {:>7}",
        "entries", "control B", "entries B", "sidecars B", "UDP", "failed"
    );
    for &entries in sizes {
        let fleet = start(&Size {
            entries,
            engines: SIDECARS,
            slots: 8,
            token: Duration::from_millis(1),
            accounts: ACCOUNTS,
        })?;
        thread::sleep(SETTLE);
        let idle = measure_traffic(&fleet, || thread::sleep(IDLE));
        let mut failed = 0;
        let busy = measure_traffic(&fleet, || {
            (_, failed) = measure_cost(&fleet.http_addresses(), ENTRY_TOKENS);
        });
        let per_request = |busy_bytes: u64, idle_bytes: u64| {
            let idle_bytes = idle_bytes as f64 * busy.seconds / idle.seconds;
            (busy_bytes as f64 - idle_bytes) / REQUESTS as f64
        };
        println!(
            "{entries:>8} {:>11.0} {:>9.0} {:>10.0} {:>8.1} {failed:>7}",
            per_request(busy.bytes.control, idle.bytes.control),
            per_request(busy.bytes.entries, idle.bytes.entries),
            per_request(busy.bytes.sidecars, idle.bytes.sidecars),
            per_request(busy.datagrams, idle.datagrams),
        );
        fleet.stop();
    }
    Ok(())
}

/// Traffic during a measurement.
struct Traffic {
    bytes: ControlBytes,
    datagrams: u64,
    seconds: f64,
}

fn measure_traffic(fleet: &Fleet, work: impl FnOnce()) -> Traffic {
    let (bytes, network_before, started) =
        (fleet.control_bytes_by_role(), network(), Instant::now());
    work();
    Traffic {
        bytes: fleet.control_bytes_by_role().since(&bytes),
        datagrams: network().datagrams - network_before.datagrams,
        seconds: started.elapsed().as_secs_f64(),
    }
}

/// Milliseconds of CPU time per request, and the number of requests without a complete answer.
fn measure_cost(addresses: &[SocketAddr], tokens: u32) -> (f64, usize) {
    let cpu_before = cpu_time();
    let run_caller = |caller: usize| {
        let numbers = (caller..REQUESTS).step_by(CALLERS);
        let send = |number: usize| {
            let address = addresses[number % addresses.len()];
            open_stream(address, &account_name(number % ACCOUNTS), number, tokens)
                .is_ok_and(read_stream)
        };
        numbers.filter(|number| !send(*number)).count()
    };
    let failed = thread::scope(|scope| {
        let run_caller = &run_caller;
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || run_caller(caller)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or(REQUESTS))
            .sum()
    });
    let cpu_ms = 1000.0 * (cpu_time() - cpu_before).as_secs_f64();
    (cpu_ms / REQUESTS as f64, failed)
}
