//! Simulation of entries, sidecars and a ledger with messages in flight.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{ClosedBy, LedgerLimits, LedgerReply, LedgerWrite};

use crate::support::{Call, Log, account, answer, attempt, process};

#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    /// An entry receives a call and proposes its intent.
    Call {
        entry: usize,
        key: usize,
        sidecar: usize,
    },
    /// A proposal is committed.
    Commit {
        at: usize,
        duplicate: bool,
        lose_reply: bool,
    },
    /// A `Start` reaches its sidecar.
    DeliverStart { at: usize, duplicate: bool },
    /// An entry closes an attempt that it has not started.
    CloseByEntry { entry: usize },
    /// A sidecar closes an attempt that it has not dispatched.
    CloseBySidecar { at: usize },
    /// The reread call looks for the booking of an attempt.
    Reread { at: usize },
    /// An entry restarts without state.
    CrashEntry { entry: usize },
    /// A sidecar restarts without state.
    CrashSidecar { sidecar: usize },
    /// Log time advances and records expire.
    Advance { hours: u64 },
    /// The retention changes.
    SetRetention { hours: u32 },
    /// A caller issues a new key.
    NewKey { dated: bool },
    /// The ledger is restored from its snapshot.
    RestartLedger,
}

#[derive(Default)]
struct Entry {
    incarnation: u64,
    attempts: u64,
    pending: BTreeMap<AttemptId, (Call, ProcessId)>,
}

#[derive(Default)]
struct Sidecar {
    incarnation: u64,
    closed: BTreeSet<AttemptId>,
    dispatched: BTreeSet<AttemptId>,
}

struct Start {
    call: Call,
    attempt: AttemptId,
    sidecar: ProcessId,
}

#[derive(Default)]
pub(crate) struct Simulation {
    log: Log,
    entries: [Entry; 2],
    sidecars: [Sidecar; 2],
    keys: Vec<String>,
    proposals: Vec<LedgerOp>,
    starts: Vec<Start>,
    unresolved: Vec<(Call, AttemptId, ProcessId)>,
    runs: BTreeMap<KeyDigest, AttemptId>,
    answers: BTreeMap<KeyDigest, Outcome>,
    incarnations: u64,
    max_open: usize,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let mut simulation = Self {
            keys: vec!["order-0".into(), "ledger-0.order-1".into()],
            ..Self::default()
        };
        (0..2).for_each(|n| simulation.crash_entry(n));
        (0..2).for_each(|n| simulation.crash_sidecar(n));
        simulation
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Call {
                entry,
                key,
                sidecar,
            } => self.call(entry, key, sidecar),
            Step::Commit {
                at,
                duplicate,
                lose_reply,
            } => self.commit(at, duplicate, lose_reply),
            Step::DeliverStart { at, duplicate } => self.deliver_start(at, duplicate),
            Step::CloseByEntry { entry } => self.close_by_entry(entry),
            Step::CloseBySidecar { at } => self.close_by_sidecar(at),
            Step::Reread { at } => self.reread(at),
            Step::CrashEntry { entry } => self.crash_entry(entry),
            Step::CrashSidecar { sidecar } => self.crash_sidecar(sidecar),
            Step::Advance { hours } => self.log.advance(hours),
            Step::SetRetention { hours } => self.set_retention(hours),
            Step::NewKey { dated } => self.new_key(dated),
            Step::RestartLedger => self.log.restart(),
        }
    }

    fn crash_entry(&mut self, n: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        self.entries[n] = Entry {
            incarnation,
            ..Entry::default()
        };
    }

    fn crash_sidecar(&mut self, n: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        self.sidecars[n] = Sidecar {
            incarnation,
            ..Sidecar::default()
        };
    }

    fn new_key(&mut self, dated: bool) {
        let (n, secs) = (self.keys.len(), self.log.machine.now().0 / 1_000);
        self.keys.push(match dated {
            true => format!("ledger-{secs}.order-{n}"),
            false => format!("order-{n}"),
        });
    }

    fn set_retention(&mut self, hours: u32) {
        let retention_secs = hours * 3_600;
        let limits = LedgerLimits {
            retention_secs,
            ..LedgerLimits::DEFAULT
        };
        self.log.apply(Op::SetLimits(limits));
    }

    /// Entry `n` receives a call and proposes its intent.
    fn call(&mut self, n: usize, key: usize, sidecar: usize) {
        let call = Call::new(&self.keys[key % self.keys.len()]);
        let target = process(
            &format!("sidecar-{sidecar}"),
            self.sidecars[sidecar].incarnation,
        );
        let entry = &mut self.entries[n];
        entry.attempts += 1;
        let id = attempt(entry.incarnation, entry.attempts);
        self.proposals.push(call.intent(id, &target));
        entry.pending.insert(id, (call, target));
    }

    /// Commits a proposal and delivers its reply to the entry, unless it is lost.
    fn commit(&mut self, at: usize, duplicate: bool, lose_reply: bool) {
        if self.proposals.is_empty() {
            return;
        }
        let at = at % self.proposals.len();
        let op = match duplicate {
            true => self.proposals[at].clone(),
            false => self.proposals.swap_remove(at),
        };
        let Reply::Batch(replies) = self.log.apply(Op::Batch(vec![op.clone()])) else {
            panic!("unexpected reply to a batch");
        };
        if let LedgerReply::AlreadyDone(outcome) = &replies[0] {
            let first_answer = self
                .answers
                .entry(op.key)
                .or_insert_with(|| outcome.clone());
            assert_eq!(
                first_answer, outcome,
                "two callers of one key got different answers"
            );
            assert!(
                self.runs.contains_key(&op.key),
                "a call that never ran has an answer"
            );
        }
        if let (LedgerWrite::Intent(intent), false) = (&op.write, lose_reply) {
            self.on_reply(intent.attempt, &replies[0]);
        }
    }

    fn on_reply(&mut self, id: AttemptId, reply: &LedgerReply) {
        let entry = self
            .entries
            .iter_mut()
            .find(|e| e.incarnation == id.entry.0);
        let Some((call, sidecar)) = entry.and_then(|e| e.pending.remove(&id)) else {
            return;
        };
        match reply {
            LedgerReply::Started => self.starts.push(Start {
                call,
                attempt: id,
                sidecar,
            }),
            LedgerReply::InDoubt {
                attempt, sidecar, ..
            } => {
                self.unresolved.push((call, *attempt, sidecar.clone()));
            }
            _ => {}
        }
    }

    /// Delivers a `Start`; its sidecar dispatches the attempt unless it has closed it.
    fn deliver_start(&mut self, at: usize, duplicate: bool) {
        if self.starts.is_empty() {
            return;
        }
        let at = at % self.starts.len();
        let start = &self.starts[at];
        let id = start.attempt;
        let sidecar = (0..2).find(|n| self.sidecars[*n].incarnation == start.sidecar.incarnation.0);
        if let Some(sidecar) = sidecar.map(|n| &mut self.sidecars[n])
            && !sidecar.closed.contains(&id)
            && sidecar.dispatched.insert(id)
        {
            let earlier = self.runs.insert(start.call.key.digest, id);
            assert_eq!(earlier, None, "an at-most-once call ran twice");
            let outcome = start.call.outcome(id, answer(&id.to_string()));
            self.proposals.push(outcome);
        }
        if !duplicate {
            self.starts.swap_remove(at);
        }
    }

    /// Entry `n` closes an attempt for which it has sent no `Start`.
    fn close_by_entry(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        if let Some((id, (call, _))) = entry.pending.pop_first() {
            self.proposals
                .push(call.close(id, ClosedBy::Entry(id.entry)));
        }
    }

    /// Asks the sidecar of an unresolved attempt to close it, which only the same run can do.
    fn close_by_sidecar(&mut self, at: usize) {
        if self.unresolved.is_empty() {
            return;
        }
        let at = at % self.unresolved.len();
        let (call, id, process) = self.unresolved.swap_remove(at);
        let run = process.incarnation.0;
        let sidecar = self.sidecars.iter_mut().find(|s| s.incarnation == run);
        if let Some(sidecar) = sidecar.filter(|s| !s.dispatched.contains(&id)) {
            sidecar.closed.insert(id);
            self.proposals
                .push(call.close(id, ClosedBy::Sidecar(process)));
        }
    }

    /// Resolves an attempt whose booking the reread call finds.
    fn reread(&mut self, at: usize) {
        let Some((call, id, _)) = self.unresolved.get(at % self.unresolved.len().max(1)) else {
            return;
        };
        if self.runs.get(&call.key.digest) == Some(id) {
            self.proposals.push(call.resolve(*id, answer("reread")));
        }
    }

    pub(crate) fn check(&mut self) {
        let usage = self.log.machine.ledger().usage(&account("bistro"));
        assert!(usage.open <= usage.records);
        self.max_open = self.max_open.max(usage.open as usize);
    }
}
