//! Commits per second.
//!
//! One entry keeps a number of ledger writes with different keys in flight and measures the latency
//! from proposal to reply, with and without batching of writes into log entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootnotch::core::decode_reply;
use coltsfootnotch_state::{
    AttemptId, BodyDigest, IdempotencyKey, LedgerOp, LedgerReply, Op, ProcessId, Reply,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::FromRelay;
use hdrhistogram::Histogram;

use crate::client::Client;
use crate::group::{Group, host};

/// Length of a measurement; enough for hundreds of syncs.
const RUN_FOR: Duration = Duration::from_secs(5);
/// Numbers of concurrent writes.
const IN_FLIGHT: [usize; 4] = [1, 16, 128, 1024];
/// Number of accounts of the keys, so that no account reaches its limit of records.
const ACCOUNTS: u64 = 500;

/// Measures each combination and prints a table row for it.
pub(crate) fn run() {
    println!(
        "| asked | grouped | under way | commits/s | p50 ms | p99 ms | writes/entry | writes/sync |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for batch_ledger in [false, true] {
        for at_leader in [true, false] {
            for in_flight in IN_FLIGHT {
                measure(batch_ledger, at_leader, in_flight);
            }
        }
    }
}

fn measure(batch_ledger: bool, at_leader: bool, in_flight: usize) {
    let adjust = if batch_ledger {
        |cfg: &mut coltsfootnotch::daemon::control::ControlConfig| cfg.batch_ledger = true
    } else {
        |cfg: &mut coltsfootnotch::daemon::control::ControlConfig| cfg.batch_ledger = false
    };
    let group = Group::started(adjust);
    let leader = group.wait_for_leader();
    let host_index = if at_leader { leader } else { (leader + 1) % 3 };
    let mut operator = group.client(leader, Role::Operator, "op");
    let mut entry = group.client(host_index, Role::Entry, "e1");
    let (entries_before, syncs_before) = counts(&mut operator);
    let latencies = keep_in_flight(&mut entry, in_flight);
    let (entries, syncs) = counts(&mut operator);
    let commits = latencies.len() as f64;
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "| {} | {} | {in_flight} | {:.0} | {:.2} | {:.2} | {:.1} | {:.1} |",
        if at_leader { "leader" } else { "follower" },
        if batch_ledger { "yes" } else { "no" },
        commits / RUN_FOR.as_secs_f64(),
        ms(0.5),
        ms(0.99),
        commits / (entries - entries_before) as f64,
        commits / (syncs - syncs_before) as f64,
    );
}

/// Log entries committed and syncs of the leader so far.
fn counts(operator: &mut Client) -> (u64, u64) {
    let status = operator.status();
    let count = |name: &str| status["group"][name].as_u64().expect("a count");
    (count("commit"), count("syncs"))
}

/// Keeps `in_flight` writes in flight; returns their latencies in microseconds.
fn keep_in_flight(entry: &mut Client, in_flight: usize) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("a histogram");
    let mut sent = BTreeMap::new();
    let mut number = 0;
    let started = Instant::now();
    while started.elapsed() < RUN_FOR {
        while sent.len() < in_flight {
            number += 1;
            let id = entry.start_propose(&Op::Ledger(intent(number)));
            sent.insert(id, Instant::now());
        }
        let (id, reply) = entry.wait_for(|message| match message {
            FromRelay::Proposed { id, reply } => Some((*id, reply.clone())),
            _ => None,
        });
        let reply = decode_reply(&reply.expect("committed")).expect("a reply");
        assert_eq!(reply, Reply::Ledger(LedgerReply::Started));
        let sent_at = sent.remove(&id).expect("a write in flight");
        let micros = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        latencies.record(micros).expect("within the range");
    }
    latencies
}

fn intent(number: u64) -> LedgerOp {
    let account = AccountName::new(format!("a{}", number % ACCOUNTS)).expect("a name");
    let key = IdempotencyKey::parse(&format!("k{number}")).expect("a key");
    let attempt = AttemptId {
        entry: Incarnation(1),
        number,
    };
    let sidecar = ProcessId {
        host: host("s1"),
        incarnation: Incarnation(2),
    };
    LedgerOp::intent(&account, &key, BodyDigest::of(b"{}"), attempt, &sidecar)
}
