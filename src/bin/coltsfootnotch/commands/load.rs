//! `coltsfootnotch load`.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use coltsfootnotch::ops::load::{
    EmbeddedFleet, FleetChoice, FleetSize, LoadCommand, LoadOptions, Policy, RemoteFleet, Scenario,
    load,
};

use super::Command;

/// Hosts of an embedded fleet: 3 control, 2 entries, 1 order service and 6 engines.
const HOSTS: usize = 12;
/// Slots of an embedded engine, or of a whole fleet elsewhere.
const SLOTS: u32 = 8;

#[derive(Debug, Clone)]
pub(crate) struct Args {
    fleet: FleetChoice,
    scenario: Scenario,
    seconds: u64,
    seed: u64,
    hop: bool,
    json: bool,
    report: Option<PathBuf>,
}

fn slots() -> impl Parser<u32> {
    long("slots")
        .help("slots of each embedded engine, or of all engines of a fleet elsewhere")
        .argument("N")
        .fallback(SLOTS)
}

fn embedded() -> impl Parser<FleetChoice> {
    let embedded = long("embedded")
        .help("drive a fleet in this process, with stand-in upstreams")
        .req_flag(());
    let hosts = long("hosts")
        .help("hosts of the embedded fleet")
        .argument("N")
        .fallback(HOSTS);
    let slots = slots();
    let policy = long("policy")
        .help("how the embedded fleet chooses: fair, fifo or per-host")
        .argument("POLICY")
        .fallback(Policy::Fair);
    let manifest = manifest().optional();
    let settle = long("settle")
        .help("seconds that the embedded fleet runs without callers first")
        .argument("N")
        .fallback(0);
    construct!(embedded, hosts, slots, policy, manifest, settle).map(
        |((), hosts, slots, policy, manifest, settle)| {
            FleetChoice::Embedded(EmbeddedFleet {
                size: FleetSize { hosts, slots },
                policy,
                manifest,
                warm_up: Duration::from_secs(settle),
            })
        },
    )
}

fn manifest() -> impl Parser<PathBuf> {
    long("manifest")
        .help("manifest that names accounts, weights and replicas")
        .argument("FILE")
}

fn remote() -> impl Parser<FleetChoice> {
    let entries = long("entry")
        .help("address of an entry of a running fleet; may be given several times")
        .argument("ADDR")
        .some("give --embedded, or --entry at least once");
    let manifest = manifest();
    let key_prefix = long("key-prefix")
        .help("what precedes the account's name in its bearer key")
        .argument("TEXT")
        .fallback(String::new());
    let slots = slots();
    construct!(entries, manifest, key_prefix, slots).map(
        |(entries, manifest, key_prefix, slots)| {
            FleetChoice::Remote(RemoteFleet {
                entries,
                manifest,
                key_prefix,
                slots,
            })
        },
    )
}

pub(crate) fn cli() -> impl Parser<Command> {
    let embedded = embedded();
    let remote = remote();
    let fleet = construct!([embedded, remote]);
    let scenario = long("scenario")
        .help(
            "burst, flood, skew, slow-upstream, long-among-short, saturation, crashing-request or \
             bookings",
        )
        .argument("NAME")
        .fallback(Scenario::Saturation);
    let seconds = long("seconds")
        .help("how long callers ask")
        .argument("N")
        .fallback(10);
    let seed = long("seed")
        .help("seed of the callers' choices")
        .argument("N")
        .fallback(1);
    let hop = long("hop")
        .help("measure what the hop costs, beside the engines called directly")
        .switch();
    let json = long("json").help("print one JSON object").switch();
    let report = long("report")
        .help("write a page with plots")
        .argument("FILE")
        .optional();
    construct!(Args {
        fleet,
        scenario,
        seconds,
        seed,
        hop,
        json,
        report
    })
    .map(Command::Load)
    .to_options()
    .descr("drives callers at a fleet, checks every answer and measures")
    .command("load")
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    let command = LoadCommand {
        fleet: args.fleet.clone(),
        opts: LoadOptions {
            scenario: args.scenario,
            length: Duration::from_secs(args.seconds),
            seed: args.seed,
        },
        hop: args.hop,
        json: args.json,
        report: args.report.clone(),
    };
    load(&command, &mut std::io::stdout().lock(), |line| {
        eprintln!("{line}");
    })?;
    Ok(())
}
