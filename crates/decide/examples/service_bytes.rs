//! What telling service costs a sidecar's host: messages and bytes a second, by how they are grouped.
//!
//! A sidecar of two engines of 32 slots streams at 28 ms a token for accounts of a pool. Every message
//! is encoded as it is sent. Run with `cargo run --release -p coltsfootnotch-decide --example
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
/// Time that is played.
const SECONDS: usize = 60;
/// Tokens of a run, on average.
const MEAN_RUN: u64 = 300;

/// How messages are grouped.
struct Grouping {
    name: &'static str,
    /// Milliseconds between messages; `None` for one message each time.
    every: Option<usize>,
    /// Whether each report repeats the accounts whose totals are wanted.
    repeats_watched: bool,
}

const GROUPINGS: [Grouping; 5] = [
    Grouping {
        name: "one message a token",
        every: None,
        repeats_watched: false,
    },
    Grouping {
        name: "every 100 ms, all watched",
        every: Some(100),
        repeats_watched: true,
    },
    Grouping {
        name: "every 100 ms, changes only",
        every: Some(100),
        repeats_watched: false,
    },
    Grouping {
        name: "every 200 ms, changes only",
        every: Some(200),
        repeats_watched: false,
    },
    Grouping {
        name: "every 500 ms, changes only",
        every: Some(500),
        repeats_watched: false,
    },
];

#[derive(Default)]
struct Cost {
    messages: usize,
    bytes: usize,
}

impl Cost {
    fn add(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += encode(message).expect("a report is no large frame").len();
    }
}

fn main() {
    println!("accounts | grouping | up msg/s | up B/s | down msg/s | down B/s");
    for backlogged in [29, 57, 570] {
        for grouping in &GROUPINGS {
            let (up, down) = play(backlogged, grouping);
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

/// The cost of a minute, up to the relay and down from it.
fn play(backlogged: usize, grouping: &Grouping) -> (Cost, Cost) {
    let name = |i| AccountName::new(format!("account-{i:04}")).expect("a valid name");
    let accounts: Vec<_> = (0..backlogged).map(name).collect();
    let mut rng = StdRng::seed_from_u64(4);
    let mut ledger = FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000));
    let mut runs = Vec::new();
    let (mut up, mut down) = (Cost::default(), Cost::default());
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
            if grouping.every.is_none() {
                report(
                    &mut ledger,
                    &accounts,
                    grouping,
                    &mut seq,
                    &mut up,
                    &mut down,
                );
            }
        }
        if grouping.every.is_some_and(|every| ms % every == 0) {
            report(
                &mut ledger,
                &accounts,
                grouping,
                &mut seq,
                &mut up,
                &mut down,
            );
            totals(&accounts, grouping, &mut rng, &mut down);
        }
    }
    (up, down)
}

fn report(
    ledger: &mut FairLedger,
    accounts: &[AccountName],
    grouping: &Grouping,
    seq: &mut u64,
    up: &mut Cost,
    down: &mut Cost,
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

/// Totals that changed: the accounts are served by 30 upstreams of 32 slots in all.
fn totals(accounts: &[AccountName], grouping: &Grouping, rng: &mut StdRng, down: &mut Cost) {
    let starts = 30 * 32;
    let served: BTreeSet<_> = (0..starts)
        .map(|_| rng.random_range(0..accounts.len()))
        .collect();
    let total = |i: usize| (accounts[i].clone(), ServiceUnits(total_of(i)));
    let elsewhere = served.into_iter().map(total).collect();
    assert!(grouping.every.is_some(), "totals are sent at intervals");
    down.add(&Message::FromRelay(FromRelay::Totals { elsewhere }));
}

/// A total of about a day's service, of the length that it takes on the wire.
fn total_of(i: usize) -> u64 {
    10_000_000 + i as u64
}
