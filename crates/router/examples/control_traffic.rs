//! Measures the control messages of late binding at three sizes of a saturated fleet.
//!
//! `cargo run --release -p coltsfootnotch-router --example control_traffic`

// The simulation of the tests; parts of it are used by the tests alone.
#[allow(dead_code)]
#[path = "../tests/late_binding/sim/mod.rs"]
mod sim;

use std::time::Duration;

use sim::{Options, Outcome, Sim, Source};

const WARM_UP: Duration = Duration::from_secs(30);
const MEASURED: Duration = Duration::from_secs(10);
/// Number of requests that a backlogged account keeps waiting.
const BACKLOG: usize = 10;
/// Requests per second of an account that is not backlogged.
const LIGHT_RATE: f64 = 0.1;
/// Number of light accounts per backlogged account.
const LIGHT: usize = 9;

struct Size {
    entries: usize,
    sidecars: usize,
    pools: usize,
    backlogged: usize,
}

fn sources(size: &Size) -> Vec<Source> {
    let source = |i: usize| {
        let mut source = Source::new(&format!("client-account-{i:04}"));
        let first = i * 7;
        let reach = 1 + i % 4;
        source.entries = (first..first + reach).map(|e| e % size.entries).collect();
        source.timeout = Duration::from_secs(600);
        source.cost = (100, 300);
        if i < size.backlogged {
            source.backlog = BACKLOG;
        } else {
            source.rate = LIGHT_RATE;
        }
        source
    };
    (0..size.backlogged * (1 + LIGHT)).map(source).collect()
}

fn measure(size: &Size) {
    let options = Options {
        entries: size.entries,
        sidecars: size.sidecars,
        pools: size.pools,
        slots: 30,
        delay: (500, 3_000),
        checked: false,
        bounded_gap: false,
        ..Options::default()
    };
    let mut sim = Sim::new(options, sources(size));
    sim.run(WARM_UP);
    sim.traffic.measuring = true;
    let done = sim.log.count(Outcome::Done);
    let opened = sim.traffic.opened;
    sim.take_utilisation(WARM_UP);
    sim.run(MEASURED);
    let done = sim.log.count(Outcome::Done) - done;
    let used = sim.take_utilisation(MEASURED);
    let t = sim.traffic.clone();
    let of = |(messages, bytes): (u64, u64)| {
        format!(
            "{:.2} / {:.0}",
            messages as f64 / done as f64,
            bytes as f64 / done as f64
        )
    };
    let kinds = [t.waits, t.nothing, t.free, t.pull];
    let bytes: u64 = kinds.iter().map(|(_, bytes)| bytes).sum();
    let messages: u64 = kinds.iter().map(|(messages, _)| messages).sum();
    let rate = |hosts: usize| bytes as f64 / MEASURED.as_secs_f64() / hosts as f64 / 1000.0;
    println!(
        "| {} / {} / {} / {} | {:.0} | {:.1} % | {} | {} | {} | {} | {} | {:.2} | {:.1} | {:.1} | {:.1} |",
        size.entries,
        size.sidecars,
        size.pools,
        size.backlogged,
        done as f64 / MEASURED.as_secs_f64(),
        100.0 * used,
        of(t.waits),
        of(t.pull),
        of(t.nothing),
        of(t.free),
        of((messages, bytes)),
        (t.opened - opened) as f64 / done as f64,
        rate(size.sidecars),
        rate(size.entries),
        2.0 * rate(size.entries + size.sidecars),
    );
}

fn main() {
    println!(
        "| entries / sidecars / pools / backlogged | requests/s | slots used | Waits | Pull | Nothing | Free | all | attempts a request | KB/s a sidecar | KB/s an entry | KB/s a host, mean |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for divisor in [20, 5, 1] {
        measure(&Size {
            entries: (16 / divisor).max(1),
            sidecars: 390 / divisor,
            pools: 20 / divisor,
            backlogged: 570 / divisor,
        });
    }
}
