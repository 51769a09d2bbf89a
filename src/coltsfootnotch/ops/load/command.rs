//! `coltsfootnotch load`: starts the fleet if it is embedded, runs the scenario and writes the
//! results.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{error, fs, thread};

use coltsfootnotch_manifest::{Findings, Manifest};
use derive_more::{Display, Error, From};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::embedded::{FleetSize, embedded_target, fleet_plan, remote_target};
use super::hop::{HopOptions, measure_hop};
use super::policy::Policy;
use super::report::html_report;
use super::run::{LoadOptions, LoadRun, run};
use super::table::{hop_table, summary_table};
use super::target::Target;
use crate::ops::fleet::{Fleet, FleetError};

/// Callers per engine in the hop's throughput phases; half of the default slots.
const HOP_CALLERS_PER_ENGINE: usize = 4;
/// Pairs of requests in the hop's latency measurement; enough for a p99.
const HOP_PAIRS: usize = 150;
const HOP_STREAMS: usize = 64;
/// How long the hop's streams are open before memory is read.
const HOP_HOLD_TIME: Duration = Duration::from_secs(2);

/// The fleet that receives the load.
#[derive(Debug, Clone)]
pub enum FleetChoice {
    /// A fleet in this process.
    Embedded(EmbeddedFleet),
    /// A running fleet outside this process.
    Remote(RemoteFleet),
}

/// Options of a fleet in this process.
#[derive(Debug, Clone)]
pub struct EmbeddedFleet {
    /// Number of hosts and slots.
    pub size: FleetSize,
    /// Scheduling policy.
    pub policy: Policy,
    /// Manifest that accounts and replicas are taken from, if any.
    pub manifest: Option<PathBuf>,
    /// How long the fleet runs before the callers start; new upstreams receive load gradually.
    pub warm_up: Duration,
}

/// Options of a fleet outside this process.
#[derive(Debug, Clone)]
pub struct RemoteFleet {
    /// Addresses of its entries.
    pub entries: Vec<SocketAddr>,
    /// Manifest with its accounts, weights, models and services.
    pub manifest: PathBuf,
    /// Prefix of the account's name in its bearer key.
    pub key_prefix: String,
    /// Slots of all its engines, which determine the number of callers.
    pub slots: u32,
}

/// Options of `coltsfootnotch load`.
#[derive(Debug, Clone)]
pub struct LoadCommand {
    /// The fleet that receives the load.
    pub fleet: FleetChoice,
    /// Scenario, length and seed.
    pub opts: LoadOptions,
    /// Whether to measure the overhead of the hop instead of running the scenario.
    pub hop: bool,
    /// Whether to print one JSON object instead of a table.
    pub json: bool,
    /// Path of the HTML report, if one is written.
    pub report: Option<PathBuf>,
}

/// Error of a load run.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// The embedded fleet failed.
    #[display("the embedded fleet failed")]
    Fleet(FleetError),
    /// A file, thread or output stream failed.
    #[display("I/O error")]
    Io(io::Error),
    /// The manifest is invalid.
    #[display("the manifest is invalid")]
    Manifest(Findings),
    /// The results can't be serialized as JSON.
    #[display("cannot write the results as JSON")]
    Json(serde_json::Error),
    /// The HTML report can't be rendered.
    #[display("cannot render the HTML report")]
    #[from(skip)]
    Page {
        /// The plotting library's error.
        source: Box<dyn error::Error>,
    },
    /// The fleet gave wrong answers.
    #[display("the fleet gave wrong answers; see the counts in the results")]
    #[from(skip)]
    Incorrect,
}

/// Runs the command; writes the results to `out` and passes a line about once a second to
/// `progress`.
///
/// # Errors
/// Returns an error when the run fails, and [`LoadError::Incorrect`] when the fleet gave a wrong,
/// incomplete or untyped answer, doubled or lost a booking, or ran a request that it had refused as
/// not run.
pub fn load(
    command: &LoadCommand,
    out: &mut impl Write,
    progress: impl FnMut(&str),
) -> Result<(), LoadError> {
    match &command.fleet {
        FleetChoice::Embedded(embedded) => {
            let manifest = embedded
                .manifest
                .as_deref()
                .map(read_manifest)
                .transpose()?;
            let scenario = command.opts.scenario;
            let plan = fleet_plan(scenario, embedded.policy, embedded.size, manifest.as_ref());
            let mut rng = StdRng::seed_from_u64(command.opts.seed);
            let fleet = Fleet::start(&plan, &mut rng)?;
            thread::sleep(embedded.warm_up);
            let target = embedded_target(&fleet, embedded.policy);
            let outcome = run_on(command, &target, out, progress);
            drop(target);
            fleet.stop();
            outcome
        }
        FleetChoice::Remote(remote) => {
            let manifest = read_manifest(&remote.manifest)?;
            let key = |account: &str| format!("{}{account}", remote.key_prefix);
            let target = Target {
                entries: remote.entries.clone(),
                remote_slots: remote.slots,
                ..remote_target(&manifest, key)
            };
            run_on(command, &target, out, progress)
        }
    }
}

fn read_manifest(path: &Path) -> Result<Manifest, LoadError> {
    let text = fs::read_to_string(path)?;
    Ok(Manifest::parse(&path.display().to_string(), &text)?)
}

fn run_on(
    command: &LoadCommand,
    target: &Target<'_>,
    out: &mut impl Write,
    mut progress: impl FnMut(&str),
) -> Result<(), LoadError> {
    progress(&format!("seed {}", command.opts.seed));
    if command.hop {
        return run_hop(command, target, out, progress);
    }
    let run = run(target, &command.opts, progress)?;
    write_results(command, &run, out)?;
    if run.summary.is_correct() {
        Ok(())
    } else {
        Err(LoadError::Incorrect)
    }
}

fn write_results(
    command: &LoadCommand,
    run: &LoadRun,
    out: &mut impl Write,
) -> Result<(), LoadError> {
    if let Some(path) = &command.report {
        let html = html_report(run).map_err(|source| LoadError::Page { source })?;
        fs::write(path, html)?;
    }
    if command.json {
        serde_json::to_writer(&mut *out, &run.summary)?;
        writeln!(out)?;
    } else {
        write!(out, "{}", summary_table(&run.summary))?;
    }
    Ok(())
}

fn run_hop(
    command: &LoadCommand,
    target: &Target<'_>,
    out: &mut impl Write,
    progress: impl FnMut(&str),
) -> Result<(), LoadError> {
    let engines = target.engines.len();
    let opts = HopOptions {
        pairs: HOP_PAIRS,
        phase: command.opts.length / 2,
        callers: HOP_CALLERS_PER_ENGINE * engines.max(1),
        hold_time: HOP_HOLD_TIME,
        streams: HOP_STREAMS.min(target.slots() as usize),
    };
    let overhead = measure_hop(target, &opts, progress)?;
    if command.json {
        serde_json::to_writer(&mut *out, &overhead)?;
        writeln!(out)?;
    } else {
        write!(out, "{}", hop_table(&overhead))?;
    }
    Ok(())
}
