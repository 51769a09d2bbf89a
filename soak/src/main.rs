//! `coltsfootnotch-soak`: runs a fleet under faults and checks its invariants.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use coltsfootnotch_soak::prelude::*;
use coltsfootnotch_soak::run::logs_of;

/// Clients per router.
const CLIENTS: usize = 6;

/// Command-line options.
#[derive(Debug, Clone)]
struct Options {
    seed: Option<u64>,
    seeds: u64,
    minutes: f64,
    controls: usize,
    routers: usize,
    binary: PathBuf,
    keep: Option<PathBuf>,
    quiet: bool,
    replace: bool,
    without_refusals: bool,
    with_framing: bool,
    without_slow_clients: bool,
    without_kept_callers: bool,
    releases: bool,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed")
        .help("the first seed; random by default")
        .argument::<u64>("N")
        .optional();
    let seeds = long("seeds")
        .help("number of consecutive seeds to run")
        .argument::<u64>("N")
        .fallback(1);
    let minutes = long("minutes")
        .help("length of a run, in minutes")
        .argument::<f64>("M")
        .fallback(0.5);
    let controls = long("controls")
        .help("control hosts: 3, 5 or 7")
        .argument::<usize>("N")
        .fallback(3);
    let routers = long("processes")
        .help("number of router processes; at most 120")
        .argument::<usize>("N")
        .fallback(3);
    let binary = long("binary")
        .help("the platform's program; by default the one in the folder of this one")
        .argument::<PathBuf>("FILE")
        .fallback_with(default_binary);
    let keep = long("keep")
        .help("folder for the logs of runs with findings")
        .argument::<PathBuf>("DIR")
        .optional();
    let quiet = long("quiet")
        .help("don't print the steps of the schedule")
        .switch();
    let replace = long("replace")
        .help("replace control hosts that lose their disk by new ones at other addresses")
        .switch();
    let without_refusals = long("without-refusals")
        .help("upstreams refuse no requests; for seeds that were found without")
        .switch();
    let with_framing = long("with-framing")
        .help("all responses state their end; for seeds that were found so")
        .switch();
    let without_slow_clients = long("without-slow-clients")
        .help("no clients that send slowly or don't read; for seeds that were found without")
        .switch();
    let without_kept_callers = long("without-kept-callers")
        .help("no callers on kept connections while a router stops; for seeds that were found without")
        .switch();
    let releases = long("releases")
        .help("releases beside kills of all hosts, and clients that resume their streams")
        .switch();
    construct!(Options {
        seed,
        seeds,
        minutes,
        controls,
        routers,
        binary,
        keep,
        quiet,
        replace,
        without_refusals,
        with_framing,
        without_slow_clients,
        without_kept_callers,
        releases
    })
    .guard(
        |o| [3, 5, 7].contains(&o.controls),
        "--controls takes 3, 5 or 7",
    )
    .guard(
        |o| (1..=120).contains(&o.routers),
        "--processes takes 1 to 120",
    )
    .guard(
        |o| o.minutes > 0.0 && o.minutes <= 600.0,
        "--minutes takes more than 0, at most 600",
    )
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("runs a fleet as separate processes under faults and checks its invariants")
    .footer("exits with 1 when an invariant is violated, with 2 when a run fails")
}

fn default_binary() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("coltsfootnotch-platform"))
}

fn main() -> ExitCode {
    let options = options().run();
    let first = options.seed.unwrap_or_else(rand::random);
    let mut violated = false;
    for seed in (0..options.seeds).map(|n| first.wrapping_add(n)) {
        match run_seed(&options, seed) {
            Ok(holds) => violated |= !holds,
            Err(e) => {
                eprintln!("seed {seed}: {e}: {:?}", std::error::Error::source(&e));
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(violated))
}

/// Runs one seed and returns whether all invariants held.
fn run_seed(options: &Options, seed: u64) -> Result<bool, RunError> {
    let folder = tempfile::tempdir()?;
    let soak = Soak {
        seed,
        length: Duration::from_secs_f64(options.minutes * 60.0),
        size: FleetSize {
            controls: options.controls,
            routers: options.routers,
            upstreams: 6,
        },
        clients: CLIENTS,
        replaces_hosts: options.replace,
        has_refusals: !options.without_refusals,
        omits_framing: !options.with_framing,
        has_slow_clients: !options.without_slow_clients,
        has_kept_callers: !options.without_kept_callers,
        has_releases: options.releases,
        binary: options.binary.clone(),
        block: (std::process::id() % 250) as u8,
        folder: folder.path().to_owned(),
        prints_steps: !options.quiet,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(soak.run())?;
    let counts = outcome.counts;
    println!(
        "seed {seed}: {} steps, {} served, {} refused, {} failed, {} cut, {} unread at a stop, {} changes, {} read back, {} streams resumed, {:.3} served at the end, {} findings",
        outcome.steps,
        counts.served,
        counts.refused,
        counts.failed,
        counts.cut,
        counts.unread,
        counts.accepted,
        counts.read_back,
        counts.resumed,
        outcome.recovered,
        outcome.findings.len(),
    );
    for finding in &outcome.findings {
        println!("seed {seed}: {finding}");
    }
    if let (false, Some(keep)) = (outcome.findings.is_empty(), &options.keep) {
        let kept = keep.join(format!("seed-{seed}"));
        std::fs::create_dir_all(keep)?;
        std::fs::rename(folder.keep(), &kept)?;
        println!("seed {seed}: {}", logs_of(&kept));
    }
    Ok(outcome.findings.is_empty())
}
