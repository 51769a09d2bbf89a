//! Messages and bytes per second of a sidecar's service reports, for several report intervals.
//!
//! A sidecar of two engines with 32 slots each streams a token per slot every 28 ms. Messages are
//! encoded as on the wire. Run with `cargo run --release -p coltsfootnotch-decide --example
//! service_bytes`.

use std::collections::BTreeSet;

use coltsfootnotch_decide::fair::{ChoicePolicy, FairLedger};
use coltsfootnotch_types::{AccountName, ServiceUnits};
use coltsfootnotch_wire::{FromRelay, Message, ServiceBatch, ToRelay, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Slots of the two engines.
const SLOTS: usize = 64;
/// Time between tokens in milliseconds.
const TOKEN_MS: usize = 28;
/// Simulated time in seconds.
const SECONDS: usize = 60;
/// Mean number of tokens of a run.
const MEAN_RUN: u64 = 300;

/// How tokens are grouped into messages.
struct Grouping {
    name: &'static str,
    /// Milliseconds between messages; `None` for one message per token.
    interval_ms: Option<usize>,
    /// Whether each report repeats all watched accounts.
    repeats_watched: bool,
}

const GROUPINGS: [Grouping; 5] = [
    Grouping {
        name: "one message a token",
        interval_ms: None,
        repeats_watched: false,
    },
    Grouping {
        name: "every 100 ms, all watched",
        interval_ms: Some(100),
        repeats_watched: true,
    },
    Grouping {
        name: "every 100 ms, changes only",
        interval_ms: Some(100),
        repeats_watched: false,
    },
    Grouping {
        name: "every 200 ms, changes only",
        interval_ms: Some(200),
        repeats_watched: false,
    },
    Grouping {
        name: "every 500 ms, changes only",
        interval_ms: Some(500),
        repeats_watched: false,
    },
];

#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
}

impl Traffic {
    fn add(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += encode(message).expect("a report fits in a frame").len();
    }
}

fn main() {
    println!("accounts | grouping | up msg/s | up B/s | down msg/s | down B/s");
    for backlogged in [29, 57, 570] {
        for grouping in &GROUPINGS {
            let (up, down) = simulate(backlogged, grouping);
            let rate = |n: usize| n / SECONDS;
            println!(
                "{backlogged} | {} | {} | {} | {} | {}",
                grouping.name,
                rate(up.messages),
                rate(up.bytes),
                rate(down.messages),
                rate(down.bytes),
            );
        }
    }
}

/// Messages of the simulated time, up to the relay and down from it.
fn simulate(backlogged: usize, grouping: &Grouping) -> (Traffic, Traffic) {
    let name = |i| AccountName::new(format!("account-{i:04}")).expect("a valid name");
    let accounts: Vec<_> = (0..backlogged).map(name).collect();
    let mut rng = StdRng::seed_from_u64(4);
    let mut ledger = FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000));
    let mut runs = Vec::new();
    let (mut up, mut down) = (Traffic::default(), Traffic::default());
    let mut seq = 0;
    let mut used = vec![0_u64; SLOTS];
    runs.resize_with(SLOTS, || None);
    for ms in 0..SECONDS * 1_000 {
        for slot in (0..SLOTS).filter(|slot| (ms + slot) % TOKEN_MS == 0) {
            let run = runs[slot].get_or_insert_with(|| {
                used[slot] = 0;
                ledger.start(&accounts[rng.random_range(0..accounts.len())], None)
            });
            used[slot] += 1;
            ledger.stream(run, ServiceUnits(used[slot]));
            if rng.random_range(0..MEAN_RUN) == 0 {
                ledger.settle(runs[slot].take().expect("the slot has a run"));
            }
            if grouping.interval_ms.is_none() {
                send_report(
                    &mut ledger,
                    &accounts,
                    grouping,
                    &mut seq,
                    &mut up,
                    &mut down,
                );
            }
        }
        if grouping
            .interval_ms
            .is_some_and(|interval_ms| ms % interval_ms == 0)
        {
            send_report(
                &mut ledger,
                &accounts,
                grouping,
                &mut seq,
                &mut up,
                &mut down,
            );
            send_totals(&accounts, grouping, &mut rng, &mut down);
        }
    }
    (up, down)
}

fn send_report(
    ledger: &mut FairLedger,
    accounts: &[AccountName],
    grouping: &Grouping,
    seq: &mut u64,
    up: &mut Traffic,
    down: &mut Traffic,
) {
    let served = ledger.take_unsent();
    let named = if grouping.repeats_watched {
        accounts
    } else {
        &[]
    };
    let watched = named
        .iter()
        .map(|account| (account.clone(), ledger.total(account)));
    let watched = watched.collect();
    *seq += 1;
    let batch = ServiceBatch {
        seq: *seq,
        served,
        watch: watched,
        unwatch: Vec::new(),
    };
    up.add(&Message::ToRelay(ToRelay::Service(batch)));
    down.add(&Message::FromRelay(FromRelay::ServiceApplied { seq: *seq }));
}

/// Counts a message with the totals that changed; 30 upstreams of 32 slots serve the accounts.
fn send_totals(
    accounts: &[AccountName],
    grouping: &Grouping,
    rng: &mut StdRng,
    down: &mut Traffic,
) {
    let starts = 30 * 32;
    let served: BTreeSet<_> = (0..starts)
        .map(|_| rng.random_range(0..accounts.len()))
        .collect();
    let total = |i: usize| (accounts[i].clone(), ServiceUnits(total_of(i)));
    let remote = served.into_iter().map(total).collect();
    assert!(
        grouping.interval_ms.is_some(),
        "totals are sent at intervals"
    );
    down.add(&Message::FromRelay(FromRelay::Totals { remote }));
}

/// A total of about a day's service, which determines its length on the wire.
fn total_of(i: usize) -> u64 {
    10_000_000 + i as u64
}
