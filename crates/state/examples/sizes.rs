//! Prints the sizes of ledger commands and snapshots, and the time to apply and restore them.
//!
//! Run with `cargo run --release -p coltsfootnotch-state --example sizes`.

use std::time::{Duration, Instant};

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{KeyError, LedgerWrite, RecordedBody};
use coltsfootnotch_types::{AccountName, HostName, Incarnation, NameError};
use derive_more::{Display, Error, From};

/// Size of the answers of the order service in bytes.
const ANSWER_BYTES: usize = 200;

#[derive(Debug, Display, Error, From)]
enum ExampleError {
    Name(NameError),
    Key(KeyError),
}

struct Ledger {
    machine: StateMachine,
    at: LogTime,
    index: u64,
}

impl Ledger {
    fn apply(&mut self, op: Op) -> usize {
        self.index += 1;
        let bytes = Command { at: self.at, op }.encode();
        let command = Command::decode(&bytes).expect("an encoded command can be decoded");
        self.machine.apply(self.index, &command);
        bytes.len()
    }
}

fn intent(n: u64, account: &AccountName, sidecar: &ProcessId) -> Result<LedgerOp, ExampleError> {
    let key = IdempotencyKey::parse(&format!("order-{n:08}"))?;
    let body = BodyDigest::of(&n.to_le_bytes());
    Ok(LedgerOp::intent(account, &key, body, attempt(n), sidecar))
}

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        entry: Incarnation(0x5eed_5eed_5eed_5eed),
        number,
    }
}

fn outcome(intent: &LedgerOp, number: u64) -> LedgerOp {
    let outcome = Outcome {
        status: 201,
        headers: vec![("content-type".into(), "application/json".into())],
        body: RecordedBody::Whole(vec![b'x'; ANSWER_BYTES]),
    };
    LedgerOp {
        write: LedgerWrite::Outcome(attempt(number), outcome),
        ..intent.clone()
    }
}

fn measure(records: u64) -> Result<(), ExampleError> {
    let sidecar = ProcessId {
        host: HostName::new("sidecar-order-desk-1")?,
        incarnation: Incarnation(0x0123_4567_89ab_cdef),
    };
    let mut ledger = Ledger {
        machine: StateMachine::default(),
        at: LogTime(0),
        index: 0,
    };
    let empty = ledger.machine.snapshot().len();
    let accounts: Vec<_> = (0..16)
        .map(|n| AccountName::new(format!("restaurant-{n:02}")))
        .collect::<Result<_, _>>()?;
    let mut intents = Vec::new();
    for n in 0..records {
        intents.push(intent(n, &accounts[n as usize % accounts.len()], &sidecar)?);
    }
    let started = Instant::now();
    let intent_bytes: usize = intents
        .iter()
        .map(|op| ledger.apply(Op::Ledger(op.clone())))
        .sum();
    let open = ledger.machine.snapshot().len() - empty;
    let outcomes: Vec<_> = (0..).zip(&intents).map(|(n, op)| outcome(op, n)).collect();
    let outcome_bytes: usize = outcomes
        .iter()
        .map(|op| ledger.apply(Op::Ledger(op.clone())))
        .sum();
    let apply_time = started.elapsed();
    let batch = Command {
        at: ledger.at,
        op: Op::Batch(intents.iter().take(100).cloned().collect()),
    };
    let done = ledger.machine.snapshot();
    let started = Instant::now();
    let restored = StateMachine::restore(&done);
    let restore_time = started.elapsed();
    assert!(restored.is_ok(), "a snapshot can be restored");
    ledger.at = ledger.at.after(Duration::from_secs(400 * 86_400));
    for _ in 0..records.div_ceil(4_096) {
        ledger.apply(Op::Expire);
    }
    let expired = ledger.machine.snapshot().len() - empty;
    let per_thousand = |bytes: usize| bytes as u64 * 1_000 / records;
    println!(
        "| {records} | {} | {} | {} | {} | {} | {} | {:.2} | {:.1} |",
        intent_bytes as u64 / records,
        batch.encode().len() / 100,
        outcome_bytes as u64 / records,
        per_thousand(open),
        per_thousand(done.len() - empty),
        per_thousand(expired),
        apply_time.as_secs_f64() * 1e6 / (2 * records) as f64,
        restore_time.as_secs_f64() * 1e3,
    );
    Ok(())
}

fn main() -> Result<(), ExampleError> {
    println!(
        "| records | intent, B | in a batch of 100, B | outcome, B | 1,000 open, B | 1,000 done, B \
         | 1,000 expired, B | encode, decode, apply, us | restore, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for records in [1_000, 10_000, 50_000] {
        measure(records)?;
    }
    Ok(())
}
