//! Helpers shared by the tests.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{Close, ClosedBy, LedgerReply, LedgerWrite, RecordedBody, Resolve};
use coltsfootnotch_types::{AccountName, HostName, Incarnation};
use proptest::test_runner::{Config, RngSeed};

/// Configures `cases` cases with a fixed seed, unless `COLTSFOOTNOTCH_CASES` and
/// `COLTSFOOTNOTCH_SEED` override them.
pub(crate) fn randomised(cases: u32, seed: u64) -> Config {
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let cases = number("COLTSFOOTNOTCH_CASES").map_or(cases, |n| u32::try_from(n).unwrap_or(cases));
    Config {
        cases,
        rng_seed: RngSeed::Fixed(number("COLTSFOOTNOTCH_SEED").unwrap_or(seed)),
        failure_persistence: None,
        ..Config::default()
    }
}

pub(crate) const HOUR: u64 = 3_600_000;

pub(crate) fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

pub(crate) fn process(host: &str, incarnation: u64) -> ProcessId {
    ProcessId {
        host: HostName::new(host).expect("a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

pub(crate) fn attempt(entry: u64, number: u64) -> AttemptId {
    AttemptId {
        entry: Incarnation(entry),
        number,
    }
}

pub(crate) fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::parse(text).expect("a valid key")
}

pub(crate) fn answer(body: &str) -> Outcome {
    Outcome {
        status: 201,
        headers: vec![("content-type".into(), "application/json".into())],
        body: RecordedBody::Whole(body.as_bytes().to_vec()),
    }
}

/// A state machine with its log.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) machine: StateMachine,
    pub(crate) at: LogTime,
    index: u64,
}

impl Log {
    pub(crate) fn apply(&mut self, op: Op) -> Reply {
        self.index += 1;
        let command = Command { at: self.at, op };
        self.machine.apply(self.index, &command)
    }

    pub(crate) fn ledger(&mut self, op: LedgerOp) -> LedgerReply {
        match self.apply(Op::Ledger(op)) {
            Reply::Ledger(reply) => reply,
            other => panic!("unexpected reply to a ledger write: {other:?}"),
        }
    }

    pub(crate) fn advance(&mut self, hours: u64) {
        self.at = self.at.after(Duration::from_millis(hours * HOUR));
        self.apply(Op::Expire);
    }

    pub(crate) fn restart(&mut self) {
        let bytes = self.machine.snapshot();
        self.machine = StateMachine::restore(&bytes).expect("a valid snapshot");
        assert_eq!(
            self.machine.snapshot(),
            bytes,
            "the snapshot changes when it is restored"
        );
    }
}

/// A call with its account and key, which creates ledger writes.
pub(crate) struct Call {
    pub(crate) account: AccountName,
    pub(crate) key: IdempotencyKey,
    pub(crate) body: BodyDigest,
}

impl Call {
    pub(crate) fn new(key_text: &str) -> Self {
        Self {
            account: account("bistro"),
            key: key(key_text),
            body: BodyDigest::of(b"200 cards"),
        }
    }

    pub(crate) fn intent(&self, attempt: AttemptId, sidecar: &ProcessId) -> LedgerOp {
        LedgerOp::intent(&self.account, &self.key, self.body, attempt, sidecar)
    }

    pub(crate) fn outcome(&self, attempt: AttemptId, outcome: Outcome) -> LedgerOp {
        self.write(LedgerWrite::Outcome(attempt, outcome))
    }

    pub(crate) fn close(&self, attempt: AttemptId, by: ClosedBy) -> LedgerOp {
        self.write(LedgerWrite::Close(Close { attempt, by }))
    }

    pub(crate) fn resolve(&self, attempt: AttemptId, outcome: Outcome) -> LedgerOp {
        self.write(LedgerWrite::Resolve(Resolve { attempt, outcome }))
    }

    fn write(&self, write: LedgerWrite) -> LedgerOp {
        LedgerOp {
            account: self.account.clone(),
            key: self.key.digest,
            write,
        }
    }
}
