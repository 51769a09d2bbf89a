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

/// Default number of hosts of an embedded fleet: 3 control, 2 entries, 1 order service, 6 engines.
const DEFAULT_HOSTS: usize = 12;
/// Default number of slots of each embedded engine, or of all engines of a remote fleet.
const DEFAULT_SLOTS: u32 = 8;

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
        .help("slots of each embedded engine, or of all engines of a remote fleet")
        .argument("N")
        .fallback(DEFAULT_SLOTS)
}

fn embedded() -> impl Parser<FleetChoice> {
    let embedded = long("embedded")
        .help("run a fleet in this process, with fake upstreams")
        .req_flag(());
    let hosts = long("hosts")
        .help("number of hosts of the embedded fleet")
        .argument("N")
        .fallback(DEFAULT_HOSTS);
    let slots = slots();
    let policy = long("policy")
        .help("scheduling policy of the embedded fleet: fair, fifo or per-host")
        .argument("POLICY")
        .fallback(Policy::Fair);
    let manifest = manifest().optional();
    let settle = long("settle")
        .help("seconds that the embedded fleet runs before the load starts")
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
        .help("manifest with the accounts, weights and replicas")
        .argument("FILE")
}

fn remote() -> impl Parser<FleetChoice> {
    let entries = long("entry")
        .help("address of an entry of a running fleet; may be given several times")
        .argument("ADDR")
        .some("give --embedded, or --entry at least once");
    let manifest = manifest();
    let key_prefix = long("key-prefix")
        .help("prefix of the account's name in its bearer key")
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
        .help("duration of the load")
        .argument("N")
        .fallback(10);
    let seed = long("seed")
        .help("seed of the random numbers")
        .argument("N")
        .fallback(1);
    let hop = long("hop")
        .help("measure the overhead of the hop, compared with direct calls to the engines")
        .switch();
    let json = long("json").help("print one JSON object").switch();
    let report = long("report")
        .help("write a report with plots")
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
    .descr("generates load on a fleet, verifies every response and measures")
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
