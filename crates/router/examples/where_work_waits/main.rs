//! Compares late binding with queues at the sidecars and with a central dispatcher.
//!
//! `cargo run --release -p coltsfootnotch-router --example where_work_waits`

mod baseline;
mod queue;
// The simulation of the tests; parts of it are used by the tests alone.
#[allow(dead_code)]
#[path = "../../tests/late_binding/sim/mod.rs"]
mod sim;

use std::time::Duration;

use coltsfootnotch_decide::fair::{ChoicePolicy, FairnessMeter};
use coltsfootnotch_types::Weight;

use baseline::{Baseline, QueueLocation};
use sim::{Options, RequestLog, Sim, Source};

const WARM_UP: Duration = Duration::from_secs(60);
const MEASURED: Duration = Duration::from_secs(300);
const ENTRIES: usize = 4;
const SIDECARS: usize = 6;
const SLOTS: usize = 8;
const RATE: u64 = 100;

/// Two large, four medium and ten small accounts, spread over the entries.
fn sources(saturated: bool) -> Vec<Source> {
    let mut sources = Vec::new();
    for i in 0..16 {
        let mut source = Source::new(&format!("account-{i}"));
        source.entries = vec![i % ENTRIES];
        source.timeout = Duration::from_secs(3600);
        match i {
            0..2 => {
                source.weight = Weight::new(4).expect("a valid weight");
                source.cost = (100, 2_000);
                source.rate = if saturated { 0.0 } else { 1.0 };
                source.backlog = if saturated { 40 } else { 0 };
            }
            2..6 => {
                source.cost = (100, 400);
                source.rate = if saturated { 0.0 } else { 1.4 };
                source.backlog = if saturated { 5 } else { 0 };
            }
            _ => {
                source.cost = (50, 200);
                source.rate = 0.2;
            }
        }
        sources.push(source);
    }
    sources[0].entries = (0..ENTRIES).collect();
    sources
}

fn percentiles(log: &RequestLog, which: std::ops::Range<usize>) -> String {
    let waits = which.flat_map(|source| log.waits(source, WARM_UP));
    let mut waits: Vec<u64> = waits.collect();
    waits.sort_unstable();
    assert!(!waits.is_empty(), "no request was served");
    let at = |part: usize| waits[waits.len() * part / 100] as f64 / 1000.0;
    format!("{:.2} / {:.2} / {:.2}", at(50), at(95), at(99))
}

fn row(name: &str, log: &RequestLog, meter: &FairnessMeter, used: f64, messages: f64) {
    println!(
        "| {name} | {} | {:.1} % | {} | {} | {messages:.1} |",
        meter.largest_gap().map_or(0, |gap| gap.size.to_units().0),
        100.0 * used,
        percentiles(log, 0..2),
        percentiles(log, 6..16),
    );
}

fn late_binding(name: &str, policy: ChoicePolicy, saturated: bool) {
    let options = Options {
        entries: ENTRIES,
        sidecars: SIDECARS,
        slots: SLOTS,
        rate: RATE,
        policy,
        delay: (500, 3_000),
        bounded_gap: false,
        ..Options::default()
    };
    let mut sim = Sim::new(options, sources(saturated));
    sim.sidecars[0].engine.rate = RATE / 2;
    sim.run(WARM_UP);
    sim.traffic.measuring = true;
    sim.meter = FairnessMeter::new();
    let opened = sim.traffic.opened;
    sim.take_utilisation(WARM_UP);
    sim.run(MEASURED);
    let used = sim.take_utilisation(MEASURED);
    let t = &sim.traffic;
    let messages = t.waits.0 + t.nothing.0 + t.free.0 + t.pull.0 + t.not_started;
    let per_request = messages as f64 / (t.opened - opened) as f64;
    row(name, &sim.log, &sim.meter, used, per_request);
}

fn run_baseline(name: &str, location: QueueLocation, policy: ChoicePolicy, saturated: bool) {
    let mut baseline = Baseline::new(location, policy, sources(saturated));
    baseline.run(WARM_UP);
    baseline.reset_measurements();
    baseline.run(WARM_UP + MEASURED);
    let used = baseline.utilisation(MEASURED);
    let per_request = baseline.messages as f64 / baseline.started as f64;
    row(name, &baseline.log, &baseline.meter, used, per_request);
}

fn main() {
    for saturated in [true, false] {
        println!(
            "\n{}\n",
            if saturated {
                "Saturated:"
            } else {
                "At about 85 % of the capacity:"
            }
        );
        println!(
            "| where and in which order | largest gap, units a weight | slots used | wait of large accounts p50 / p95 / p99, s | of small ones | control messages a request |"
        );
        println!("|---|---|---|---|---|---|");
        late_binding("late binding, fair", ChoicePolicy::Fair, saturated);
        late_binding(
            "late binding, fair per host",
            ChoicePolicy::PerHost,
            saturated,
        );
        let fair = ChoicePolicy::Fair;
        run_baseline(
            "queues at the sidecars, fair",
            QueueLocation::Sidecars,
            fair,
            saturated,
        );
        run_baseline(
            "central dispatcher, fair",
            QueueLocation::Dispatcher,
            fair,
            saturated,
        );
        let fifo = ChoicePolicy::Fifo;
        run_baseline(
            "central dispatcher, first come first served",
            QueueLocation::Dispatcher,
            fifo,
            saturated,
        );
    }
}
