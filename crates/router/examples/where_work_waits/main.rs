//! Measures where requests should wait: late binding against two plain alternatives.
//!
//! `cargo run --release -p coltsfootnotch-router --example where_work_waits`

mod plain;
mod queue;
// The harness of the tests; what only the tests use of it stands unused here.
#[allow(dead_code)]
#[path = "../../tests/late_binding/sim/mod.rs"]
mod sim;

use std::time::Duration;

use coltsfootnotch_decide::fair::{ChoicePolicy, FairnessMeter};
use coltsfootnotch_types::Weight;

use plain::{Place, Plain};
use sim::{Options, Sim, Source, Truth};

const WARM_UP: Duration = Duration::from_secs(60);
const MEASURED: Duration = Duration::from_secs(300);
const ENTRIES: usize = 4;
const SIDECARS: usize = 6;
const SLOTS: usize = 8;
const RATE: u64 = 100;

/// Two large accounts, four of middle size and ten small ones, at entries of their own.
fn sources(saturated: bool) -> Vec<Source> {
    let mut sources = Vec::new();
    for i in 0..16 {
        let mut source = Source::new(&format!("account-{i}"));
        source.entries = vec![i % ENTRIES];
        source.patience = Duration::from_secs(3600);
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

fn percentiles(truth: &Truth, which: std::ops::Range<usize>) -> String {
    let waits = which.flat_map(|source| truth.waits(source, WARM_UP));
    let mut waits: Vec<u64> = waits.collect();
    waits.sort_unstable();
    assert!(!waits.is_empty(), "nobody was served");
    let at = |part: usize| waits[waits.len() * part / 100] as f64 / 1000.0;
    format!("{:.2} / {:.2} / {:.2}", at(50), at(95), at(99))
}

fn row(name: &str, truth: &Truth, meter: &FairnessMeter, used: f64, messages: f64) {
    println!(
        "| {name} | {} | {:.1} % | {} | {} | {messages:.1} |",
        meter.largest_gap().map_or(0, |gap| gap.size.to_units().0),
        100.0 * used,
        percentiles(truth, 0..2),
        percentiles(truth, 6..16),
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
    row(name, &sim.truth, &sim.meter, used, per_request);
}

fn plainly(name: &str, place: Place, policy: ChoicePolicy, saturated: bool) {
    let mut plain = Plain::new(place, policy, sources(saturated));
    plain.run(WARM_UP);
    plain.restart_measures();
    plain.run(WARM_UP + MEASURED);
    let used = plain.used(MEASURED);
    let per_request = plain.messages as f64 / plain.started as f64;
    row(name, &plain.truth, &plain.meter, used, per_request);
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
        plainly(
            "queues at the sidecars, fair",
            Place::Sidecars,
            fair,
            saturated,
        );
        plainly("central dispenser, fair", Place::Dispenser, fair, saturated);
        let fifo = ChoicePolicy::Fifo;
        plainly(
            "central dispenser, first come first served",
            Place::Dispenser,
            fifo,
            saturated,
        );
    }
}
