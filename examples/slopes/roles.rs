//! CPU time and memory of each role, measured with daemon processes.

use std::error::Error;
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{AccountPlan, FleetPlan};
use coltsfootnotch_fakes::EngineConfig;
use coltsfootnotch_manifest::Manifest;

use crate::caller::{open_stream, read_stream};
use crate::daemons::{ByRole, Daemons};
use crate::fleets::account_name;

const ENGINES: u32 = 2;
const MANY_ACCOUNTS: usize = 5_700;
/// A new upstream receives its full share after ten seconds.
const SETTLE: Duration = Duration::from_secs(12);
const MEASURE_FOR: Duration = Duration::from_secs(10);
const CHANGES: u64 = 3;
const CALLERS: usize = 8;
const REQUESTS: usize = 400;
const TOKENS: [u32; 4] = [1, 32, 128, 256];
const STREAMS: [usize; 5] = [32, 64, 128, 512, 1024];
const STREAM_SIDECARS: u32 = 32;
const OPENING: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(60);

/// Prints one row with the idle cost and the cost of a change for each number of accounts.
pub(crate) fn accounts(sizes: &[usize]) -> Result<(), Box<dyn Error>> {
    println!(
        "real daemons: 3 control, 1 entry, {ENGINES} sidecars; for one host of each role: processor \
         time idle, resident memory idle, processor time for one change of one account"
    );
    println!(
        "{:>9} | {:>26} | {:>26} | {:>26}",
        "accounts", "idle ms/s ctl/entry/side", "MB ctl/entry/side", "change ms ctl/entry/side"
    );
    for &size in sizes {
        let (daemons, mut manifest) = start(size)?;
        sleep(SETTLE);
        let before = daemons.cpu_ms();
        sleep(MEASURE_FOR);
        let idle = per_host(
            &daemons,
            daemons.cpu_ms(),
            before,
            MEASURE_FOR.as_secs_f64(),
        );
        let resident = per_host(&daemons, daemons.resident_mb(), ByRole::default(), 1.0);
        let before = daemons.cpu_ms();
        for _ in 0..CHANGES {
            change_account(&mut manifest);
            daemons.operator.apply(&manifest, TIMEOUT)?;
            daemons.wait_in_force(manifest.number)?;
        }
        let change = per_host(&daemons, daemons.cpu_ms(), before, CHANGES as f64);
        println!(
            "{size:>9} | {} | {} | {}",
            format_row(idle),
            format_row(resident),
            format_row(change)
        );
    }
    Ok(())
}

/// Prints one row with the idle cost for each number of sidecars; the entry connects to all of
/// them.
pub(crate) fn connections(sizes: &[usize]) -> Result<(), Box<dyn Error>> {
    println!("real daemons: 3 control, 1 entry; idle, for one host of each role");
    println!(
        "{:>9} | {:>26} | {:>26}",
        "sidecars", "idle ms/s ctl/entry/side", "MB ctl/entry/side"
    );
    for &size in sizes {
        let engines = u32::try_from(size).unwrap_or(u32::MAX);
        let (daemons, _) = start_with(100, engines, Duration::from_millis(2))?;
        sleep(SETTLE);
        let before = daemons.cpu_ms();
        sleep(MEASURE_FOR);
        let idle = per_host(
            &daemons,
            daemons.cpu_ms(),
            before,
            MEASURE_FOR.as_secs_f64(),
        );
        let resident = per_host(&daemons, daemons.resident_mb(), ByRole::default(), 1.0);
        println!(
            "{size:>9} | {} | {}",
            format_row(idle),
            format_row(resident)
        );
    }
    Ok(())
}

/// Prints one row for each number of changes, with [`MANY_ACCOUNTS`] accounts.
pub(crate) fn changes(sizes: &[usize]) -> Result<(), Box<dyn Error>> {
    println!(
        "real daemons, {MANY_ACCOUNTS} accounts: resident memory of one host of each role after changes of one account"
    );
    println!("{:>8} | {:>26}", "changes", "MB ctl/entry/side");
    let (daemons, mut manifest) = start(MANY_ACCOUNTS)?;
    let mut applied = 0;
    for &size in sizes {
        while applied < size {
            applied += 1;
            change_account(&mut manifest);
            daemons.operator.apply(&manifest, TIMEOUT)?;
        }
        daemons.wait_in_force(manifest.number)?;
        let resident = per_host(&daemons, daemons.resident_mb(), ByRole::default(), 1.0);
        println!("{size:>8} | {}", format_row(resident));
    }
    Ok(())
}

fn change_account(manifest: &mut Manifest) {
    manifest.number += 1;
    if let Some(account) = manifest.accounts.first_mut() {
        account.limits.queue -= 1;
    }
}

/// Prints one row for each answer length.
pub(crate) fn requests() -> Result<(), Box<dyn Error>> {
    let (daemons, _) = start(100)?;
    sleep(SETTLE);
    println!(
        "real daemons, {REQUESTS} streamed requests by {CALLERS} callers; processor time a request"
    );
    println!(
        "{:>7} {:>12} {:>10} {:>12} {:>7} {:>8}",
        "tokens", "control ms", "entry ms", "sidecars ms", "failed", "seconds"
    );
    for tokens in TOKENS {
        let (before, started) = (daemons.cpu_ms(), Instant::now());
        let failed = run_callers(&daemons, tokens);
        let after = daemons.cpu_ms();
        let per_request = |after: f64, before: f64| (after - before) / REQUESTS as f64;
        println!(
            "{tokens:>7} {:>12.3} {:>10.3} {:>12.3} {failed:>7} {:>8.1}",
            per_request(after.control, before.control),
            per_request(after.entry, before.entry),
            per_request(after.sidecars, before.sidecars),
            started.elapsed().as_secs_f64(),
        );
    }
    Ok(())
}

/// Prints one row for each number of open requests; those beyond the sidecars' windows wait.
pub(crate) fn open_requests() -> Result<(), Box<dyn Error>> {
    let (daemons, _) = start_with(100, STREAM_SIDECARS, Duration::from_secs(1))?;
    sleep(SETTLE);
    println!(
        "real daemons, 1 entry, {STREAM_SIDECARS} sidecars; open streams, one token a second; growth \
         of the entry for each open request, of all sidecars for each that runs"
    );
    println!(
        "{:>8} {:>8} {:>10} {:>12}",
        "open", "running", "entry KB", "sidecars KB"
    );
    let before = daemons.resident_mb();
    let mut sockets: Vec<TcpStream> = vec![];
    for streams in STREAMS {
        let opened = (sockets.len()..streams)
            .filter_map(|n| open_stream(daemons.callers, &account_name(n % 100), n, 1_000).ok());
        let opened: Vec<_> = opened.collect();
        sockets.extend(opened);
        sleep(OPENING);
        let engines = daemons.engines.iter();
        let running: u32 = engines.map(|engine| engine.stats().running).sum();
        let after = daemons.resident_mb();
        println!(
            "{streams:>8} {running:>8} {:>10.1} {:>12.1}",
            1000.0 * (after.entry - before.entry) / streams as f64,
            1000.0 * (after.sidecars - before.sidecars) / f64::from(running.max(1)),
        );
    }
    Ok(())
}

fn start(accounts: usize) -> Result<(Daemons, Manifest), Box<dyn Error>> {
    start_with(accounts, ENGINES, Duration::from_millis(2))
}

fn start_with(
    accounts: usize,
    engines: u32,
    time_per_token: Duration,
) -> Result<(Daemons, Manifest), Box<dyn Error>> {
    let engine = |number: u32| EngineConfig {
        slots: 512,
        time_per_token,
        ..EngineConfig::new(format!("spec-llm-{number}"), "spec-llm")
    };
    let daemons = Daemons::start((0..engines).map(engine).collect())?;
    let plan = |number| AccountPlan {
        name: account_name(number),
        weight: 1,
        queue: 100_000,
        requests_per_s: None,
    };
    let plan = FleetPlan {
        accounts: (0..accounts).map(plan).collect(),
        ..FleetPlan::demo()
    };
    let manifest = plan.manifest()?;
    daemons.operator.apply(&manifest, TIMEOUT)?;
    daemons.wait_in_force(manifest.number)?;
    Ok((daemons, manifest))
}

fn per_host(daemons: &Daemons, after: ByRole, before: ByRole, divisor: f64) -> ByRole {
    let count = daemons.count();
    ByRole {
        control: (after.control - before.control) / count.control / divisor,
        entry: (after.entry - before.entry) / divisor,
        sidecars: (after.sidecars - before.sidecars) / count.sidecars / divisor,
    }
}

fn format_row(values: ByRole) -> String {
    format!(
        "{:>8.1} {:>8.1} {:>8.1}",
        values.control, values.entry, values.sidecars
    )
}

fn run_callers(daemons: &Daemons, tokens: u32) -> usize {
    let send = |number: usize| {
        open_stream(daemons.callers, &account_name(number % 100), number, tokens)
            .is_ok_and(read_stream)
    };
    let run_caller = |caller: usize| {
        let numbers = (caller..REQUESTS).step_by(CALLERS);
        numbers.filter(|number| !send(*number)).count()
    };
    thread::scope(|scope| {
        let run_caller = &run_caller;
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || run_caller(caller)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or(REQUESTS))
            .sum()
    })
}
