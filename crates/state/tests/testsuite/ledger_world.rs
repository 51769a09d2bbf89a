//! The world of the randomised ledger runs: entries, sidecars, a ledger, and what is on its way.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{Disowned, LedgerLimits, LedgerReply, Record};

use crate::support::{Call, Log, account, answer, attempt, process};

#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Call {
        entry: usize,
        key: usize,
        sidecar: usize,
    },
    Commit {
        at: usize,
        again: bool,
        lose_reply: bool,
    },
    Deliver {
        at: usize,
        again: bool,
    },
    GiveUp {
        entry: usize,
    },
    Disown {
        at: usize,
    },
    Reread {
        at: usize,
    },
    CrashEntry {
        entry: usize,
    },
    CrashSidecar {
        sidecar: usize,
    },
    Pass {
        hours: u64,
    },
    Retention {
        hours: u32,
    },
    NewKey {
        dated: bool,
    },
    RestartLedger,
}

#[derive(Default)]
struct Entry {
    incarnation: u64,
    attempts: u64,
    waiting: BTreeMap<AttemptId, (Call, ProcessId)>,
}

#[derive(Default)]
struct Sidecar {
    incarnation: u64,
    refused: BTreeSet<AttemptId>,
    dispatched: BTreeSet<AttemptId>,
}

struct Start {
    call: Call,
    attempt: AttemptId,
    sidecar: ProcessId,
}

#[derive(Default)]
pub(crate) struct World {
    log: Log,
    entries: [Entry; 2],
    sidecars: [Sidecar; 2],
    keys: Vec<String>,
    proposals: Vec<LedgerOp>,
    starts: Vec<Start>,
    doubts: Vec<(Call, AttemptId, ProcessId)>,
    runs: BTreeMap<KeyDigest, AttemptId>,
    answers: BTreeMap<KeyDigest, Outcome>,
    incarnations: u64,
    most_open: usize,
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            keys: vec!["order-0".into(), "ledger-0.order-1".into()],
            ..Self::default()
        };
        (0..2).for_each(|n| world.crash_entry(n));
        (0..2).for_each(|n| world.crash_sidecar(n));
        world
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
                again,
                lose_reply,
            } => self.commit(at, again, lose_reply),
            Step::Deliver { at, again } => self.deliver(at, again),
            Step::GiveUp { entry } => self.give_up(entry),
            Step::Disown { at } => self.disown(at),
            Step::Reread { at } => self.reread(at),
            Step::CrashEntry { entry } => self.crash_entry(entry),
            Step::CrashSidecar { sidecar } => self.crash_sidecar(sidecar),
            Step::Pass { hours } => self.log.pass(hours),
            Step::Retention { hours } => self.set_retention(hours),
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

    /// A caller sends a key; the entry proposes its intent.
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
        entry.waiting.insert(id, (call, target));
    }

    /// A proposal is committed; its reply may reach the entry that waits for it.
    fn commit(&mut self, at: usize, again: bool, lose_reply: bool) {
        if self.proposals.is_empty() {
            return;
        }
        let at = at % self.proposals.len();
        let op = match again {
            true => self.proposals[at].clone(),
            false => self.proposals.swap_remove(at),
        };
        let Reply::Batch(replies) = self.log.apply(Op::Batch(vec![op.clone()])) else {
            panic!("a batch is answered by a batch");
        };
        if let LedgerReply::AlreadyDone(outcome) = &replies[0] {
            let first = self
                .answers
                .entry(op.key)
                .or_insert_with(|| outcome.clone());
            assert_eq!(
                first, outcome,
                "two callers of one key got different answers"
            );
            assert!(
                self.runs.contains_key(&op.key),
                "an answer of a call that never ran"
            );
        }
        if let (Record::Intent(intent), false) = (&op.write, lose_reply) {
            self.on_reply(intent.attempt, &replies[0]);
        }
    }

    fn on_reply(&mut self, id: AttemptId, reply: &LedgerReply) {
        let entry = self
            .entries
            .iter_mut()
            .find(|e| e.incarnation == id.entry.0);
        let Some((call, sidecar)) = entry.and_then(|e| e.waiting.remove(&id)) else {
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
                self.doubts.push((call, *attempt, sidecar.clone()));
            }
            _ => {}
        }
    }

    /// A `Start` reaches its sidecar, which dispatches unless it has disowned the attempt.
    fn deliver(&mut self, at: usize, again: bool) {
        if self.starts.is_empty() {
            return;
        }
        let at = at % self.starts.len();
        let start = &self.starts[at];
        let id = start.attempt;
        let sidecar = (0..2).find(|n| self.sidecars[*n].incarnation == start.sidecar.incarnation.0);
        if let Some(sidecar) = sidecar.map(|n| &mut self.sidecars[n])
            && !sidecar.refused.contains(&id)
            && sidecar.dispatched.insert(id)
        {
            let earlier = self.runs.insert(start.call.key.digest, id);
            assert_eq!(earlier, None, "a call that may not be repeated ran twice");
            let outcome = start.call.outcome(id, answer(&id.to_string()));
            self.proposals.push(outcome);
        }
        if !again {
            self.starts.swap_remove(at);
        }
    }

    /// An entry gives an attempt up for which it has sent no `Start`.
    fn give_up(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        if let Some((id, (call, _))) = entry.waiting.pop_first() {
            self.proposals
                .push(call.close(id, Disowned::ByEntry(id.entry)));
        }
    }

    /// The sidecar named in a doubt is asked; it can answer if it is still the same run.
    fn disown(&mut self, at: usize) {
        if self.doubts.is_empty() {
            return;
        }
        let at = at % self.doubts.len();
        let (call, id, named) = self.doubts.swap_remove(at);
        let run = named.incarnation.0;
        let sidecar = self.sidecars.iter_mut().find(|s| s.incarnation == run);
        if let Some(sidecar) = sidecar.filter(|s| !s.dispatched.contains(&id)) {
            sidecar.refused.insert(id);
            self.proposals
                .push(call.close(id, Disowned::BySidecar(named)));
        }
    }

    /// The rereading call finds a booking that was made.
    fn reread(&mut self, at: usize) {
        let Some((call, id, _)) = self.doubts.get(at % self.doubts.len().max(1)) else {
            return;
        };
        if self.runs.get(&call.key.digest) == Some(id) {
            self.proposals.push(call.settle(*id, answer("reread")));
        }
    }

    pub(crate) fn check(&mut self) {
        let usage = self.log.machine.ledger().usage(&account("bistro"));
        assert!(usage.open <= usage.records);
        self.most_open = self.most_open.max(usage.open as usize);
    }
}
