//! Prints the bytes of ledger commands and of snapshots, and how long both take to apply.
//!
//! Run with `cargo run --release -p coltsfootnotch-state --example sizes`.

use std::time::{Duration, Instant};

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{KeyError, Record, RecordedBody};
use coltsfootnotch_types::{AccountName, HostName, Incarnation, NameError};
use derive_more::{Display, Error, From};

/// Bytes of an order service's answer.
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
        let command = Command::decode(&bytes).expect("what was encoded can be decoded");
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

fn outcome(of: &LedgerOp, number: u64) -> LedgerOp {
    let outcome = Outcome {
        status: 201,
        headers: vec![("content-type".into(), "application/json".into())],
        body: RecordedBody::Whole(vec![b'x'; ANSWER_BYTES]),
    };
    LedgerOp {
        write: Record::Outcome(attempt(number), outcome),
        ..of.clone()
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
    let mut ops = Vec::new();
    for n in 0..records {
        ops.push(intent(n, &accounts[n as usize % accounts.len()], &sidecar)?);
    }
    let started = Instant::now();
    let intent_bytes: usize = ops
        .iter()
        .map(|op| ledger.apply(Op::Ledger(op.clone())))
        .sum();
    let open = ledger.machine.snapshot().len() - empty;
    let ends: Vec<_> = (0..).zip(&ops).map(|(n, op)| outcome(op, n)).collect();
    let outcome_bytes: usize = ends
        .iter()
        .map(|op| ledger.apply(Op::Ledger(op.clone())))
        .sum();
    let took = started.elapsed();
    let batch_bytes = Command {
        at: ledger.at,
        op: Op::Batch(ops.iter().take(100).cloned().collect()),
    };
    let done = ledger.machine.snapshot();
    let restored = Instant::now();
    let copy = StateMachine::restore(&done);
    let restoring = restored.elapsed();
    assert!(copy.is_ok(), "a snapshot can be read");
    ledger.at = ledger.at.after(Duration::from_secs(400 * 86_400));
    for _ in 0..records.div_ceil(4_096) {
        ledger.apply(Op::Expire);
    }
    let expired = ledger.machine.snapshot().len() - empty;
    let thousand = |bytes: usize| bytes as u64 * 1_000 / records;
    println!(
        "| {records} | {} | {} | {} | {} | {} | {} | {:.2} | {:.1} |",
        intent_bytes as u64 / records,
        batch_bytes.encode().len() / 100,
        outcome_bytes as u64 / records,
        thousand(open),
        thousand(done.len() - empty),
        thousand(expired),
        took.as_secs_f64() * 1e6 / (2 * records) as f64,
        restoring.as_secs_f64() * 1e3,
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
