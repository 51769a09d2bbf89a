//! `coltsfootnotch load`: finds or starts the fleet, plays the scenario, prints and writes figures.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{error, fs, thread};

use coltsfootnotch_manifest::{Findings, Manifest};
use derive_more::{Display, Error, From};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::embedded::{Size, embedded_target, fleet_plan, remote_target};
use super::hop::{HopOptions, hop};
use super::page::page;
use super::policy::Policy;
use super::run::{LoadOptions, LoadRun, run};
use super::table::{hop_table, table};
use super::target::Target;
use crate::ops::fleet::{Fleet, FleetError};

/// Callers of the hop's throughput phases for each engine; half of the usual slots.
const HOP_CALLERS_PER_ENGINE: usize = 4;
/// Pairs of requests: enough for a p99, and half a minute at the pace of the embedded engines.
const HOP_PAIRS: usize = 150;
const HOP_STREAMS: usize = 64;
/// How long the hop's streams are open before memory is read.
const HOP_OPEN: Duration = Duration::from_secs(2);

/// The fleet to drive.
#[derive(Debug, Clone)]
pub enum FleetChoice {
    /// One in this process.
    Embedded(EmbeddedFleet),
    /// One that runs elsewhere.
    Remote(RemoteFleet),
}

/// A fleet in this process.
#[derive(Debug, Clone)]
pub struct EmbeddedFleet {
    /// Its size.
    pub size: Size,
    /// How it chooses whose work is served.
    pub policy: Policy,
    /// Manifest whose accounts and replicas it takes, if any.
    pub manifest: Option<PathBuf>,
    /// How long it runs without callers first: new upstreams are let in slowly.
    pub settle: Duration,
}

/// A fleet that runs elsewhere.
#[derive(Debug, Clone)]
pub struct RemoteFleet {
    /// Addresses of its entries.
    pub entries: Vec<SocketAddr>,
    /// Its manifest, for accounts, weights, model and service.
    pub manifest: PathBuf,
    /// What precedes the account's name in its bearer key.
    pub key_prefix: String,
    /// Slots of its engines, by which the number of callers is chosen.
    pub slots: u32,
}

/// What the command is asked to do.
#[derive(Debug, Clone)]
pub struct LoadCommand {
    /// The fleet to drive.
    pub fleet: FleetChoice,
    /// What to play.
    pub opts: LoadOptions,
    /// Whether to measure what the hop costs instead of playing the scenario.
    pub hop: bool,
    /// Whether to print one JSON object instead of a table.
    pub json: bool,
    /// Where to write the page with plots, if anywhere.
    pub report: Option<PathBuf>,
}

/// Why a run failed, or what it found.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// The embedded fleet can't run.
    #[display("the fleet can't run")]
    Fleet(FleetError),
    /// A file or thread can't be had.
    #[display("a file, thread or the output can't be used")]
    Io(io::Error),
    /// The manifest has findings.
    #[display("the manifest has findings")]
    Manifest(Findings),
    /// The figures can't be written as JSON.
    #[display("the figures can't be written as JSON")]
    Json(serde_json::Error),
    /// The page can't be drawn.
    #[display("the page can't be drawn")]
    #[from(skip)]
    Page {
        /// The plotting library's error.
        source: Box<dyn error::Error>,
    },
    /// An answer or a claim of the fleet was wrong.
    #[display("answers or claims of the fleet were wrong; the figures say which")]
    #[from(skip)]
    Wrong,
}

/// Runs the command; `out` takes the figures and `progress` a line about once a second.
///
/// # Errors
/// Returns an error when the run can't be made, and [`LoadError::Wrong`] when the fleet gave a wrong
/// or incomplete answer, doubled or lost a booking, or ran what it said had not run.
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
            thread::sleep(embedded.settle);
            let target = embedded_target(&fleet, embedded.policy);
            let outcome = drive(command, &target, out, progress);
            drop(target);
            fleet.stop();
            outcome
        }
        FleetChoice::Remote(remote) => {
            let manifest = read_manifest(&remote.manifest)?;
            let key = |account: &str| format!("{}{account}", remote.key_prefix);
            let target = Target {
                entries: remote.entries.clone(),
                slots_elsewhere: remote.slots,
                ..remote_target(&manifest, key)
            };
            drive(command, &target, out, progress)
        }
    }
}

fn read_manifest(path: &Path) -> Result<Manifest, LoadError> {
    let text = fs::read_to_string(path)?;
    Ok(Manifest::parse(&path.display().to_string(), &text)?)
}

fn drive(
    command: &LoadCommand,
    target: &Target<'_>,
    out: &mut impl Write,
    mut progress: impl FnMut(&str),
) -> Result<(), LoadError> {
    progress(&format!("seed {}", command.opts.seed));
    if command.hop {
        return measure_hop(command, target, out, progress);
    }
    let run = run(target, &command.opts, progress)?;
    print(command, &run, out)?;
    if run.summary.all_right() {
        Ok(())
    } else {
        Err(LoadError::Wrong)
    }
}

fn print(command: &LoadCommand, run: &LoadRun, out: &mut impl Write) -> Result<(), LoadError> {
    if let Some(path) = &command.report {
        let html = page(run).map_err(|source| LoadError::Page { source })?;
        fs::write(path, html)?;
    }
    if command.json {
        serde_json::to_writer(&mut *out, &run.summary)?;
        writeln!(out)?;
    } else {
        write!(out, "{}", table(&run.summary))?;
    }
    Ok(())
}

fn measure_hop(
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
        open: HOP_OPEN,
        streams: HOP_STREAMS.min(target.slots() as usize),
    };
    let cost = hop(target, &opts, progress)?;
    if command.json {
        serde_json::to_writer(&mut *out, &cost)?;
        writeln!(out)?;
    } else {
        write!(out, "{}", hop_table(&cost))?;
    }
    Ok(())
}
