//! Rules that random schedules seldom put to the test, tried on one core with the messages of the
//! others written by hand.

use std::time::Duration;

use coltsfootnotch_consensus::{
    Action, Body, ChangeRefused, Core, CoreConfig, DiskId, Entry, HardState, LogIndex,
    MemberChange, MemberId, Membership, Message, Payload, Recovered, Snapshot, SnapshotMeta, Term,
};
use coltsfootnotch_types::HostName;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn member(name: &str) -> MemberId {
    MemberId {
        host: HostName::new(name).expect("a valid name"),
        disk: DiskId(1),
    }
}

/// Member `a` of `a`, `b` and `c`, with an entry of term 1 that may not be committed.
fn recovered() -> Recovered {
    let meta = SnapshotMeta {
        index: LogIndex(1),
        term: Term(0),
        members: Membership::of(["a", "b", "c"].map(member)),
    };
    let data = [].into();
    Recovered {
        hard: HardState {
            term: Term(1),
            vote: None,
        },
        snapshot: Some(Snapshot { meta, data }),
        entries: vec![Entry {
            index: LogIndex(2),
            term: Term(1),
            payload: Payload::Data([7].into()),
        }],
        ..Recovered::empty(member("a"))
    }
}

struct Script {
    core: Core,
    now: Duration,
}

impl Script {
    fn start() -> Self {
        let now = Duration::ZERO;
        let mut rng = StdRng::seed_from_u64(1);
        let core = Core::new(CoreConfig::default(), recovered(), now, &mut rng);
        Self { core, now }
    }

    fn hear(&mut self, from: &str, term: u64, body: Body) -> Vec<Action> {
        let msg = Message {
            to: member("a"),
            term: Term(term),
            body,
        };
        self.core.step(self.now, &member(from), msg);
        self.sync()
    }

    /// Syncs whatever is to be synced; returns all other actions.
    fn sync(&mut self) -> Vec<Action> {
        let mut others = Vec::new();
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return others;
            }
            for action in actions {
                match action {
                    Action::Persist(persist) => self.core.synced(self.now, persist.seq),
                    other => others.push(other),
                }
            }
        }
    }

    /// Makes `a` the leader of term 2, whose first entry is the third of the log.
    fn lead(&mut self) {
        self.now = self.core.next_due();
        self.core.tick(self.now);
        self.hear(
            "b",
            1,
            Body::PreVoteReply {
                for_term: Term(2),
                granted: true,
            },
        );
        self.hear("b", 2, Body::VoteReply { granted: true });
        assert!(self.core.is_leader());
    }

    fn appended(&mut self, from: &str, matched: u64) {
        let matched = LogIndex(matched);
        self.hear(from, 2, Body::Appended { matched, round: 1 });
    }

    fn asks_for_vote(&mut self, transfer: bool) -> Term {
        let body = Body::Vote {
            last_index: LogIndex(9),
            last_term: Term(2),
            transfer,
        };
        self.hear("b", 3, body);
        self.core.status().term
    }
}

fn add(name: &str) -> MemberChange {
    MemberChange::Add {
        member: member(name),
        replaces: None,
    }
}

// An entry of an earlier term reaches a majority, and its proposer is told that it counts. Then a
// leader of a term between, which never saw it, comes back, wins and replaces it. So it counts
// only when an entry of the leader's own term is on a majority, which rules that leader out.
#[gtest]
fn an_entry_of_an_earlier_term_is_not_committed_alone() {
    let mut script = Script::start();
    script.lead();
    script.appended("b", 2);
    expect_that!(script.core.status().commit, eq(LogIndex(1)));
    script.appended("b", 3);
    expect_that!(script.core.status().commit, eq(LogIndex(3)));
}

// Two changes of members under way at once, or one beside a predecessor's that the new leader
// doesn't know to be committed: two majorities need not meet, and both commit something else.
#[gtest]
fn members_change_one_at_a_time() {
    let mut script = Script::start();
    script.lead();
    let refused = script.core.change_members(script.now, &add("d"));
    expect_that!(refused, err(eq(&ChangeRefused::Unfinished)));
    script.appended("b", 3);
    expect_that!(
        script.core.change_members(script.now, &add("d")),
        ok(anything())
    );
    let refused = script.core.change_members(script.now, &add("e"));
    expect_that!(refused, err(eq(&ChangeRefused::Unfinished)));
}

// A leader serves reads on its lease while a candidate that hears only some members asks for
// votes. A member that hears the leader, or that did so in the run before, refuses and stays in
// its term: its vote would elect another leader inside the lease. A transfer is the leader's wish.
#[gtest]
fn a_member_that_hears_its_leader_elects_no_other() {
    let mut script = Script::start();
    expect_that!(script.asks_for_vote(false), eq(Term(1)));
    script.now = CoreConfig::default().election_timeout;
    let heartbeat = Body::Append {
        prev_index: LogIndex(2),
        prev_term: Term(1),
        entries: Vec::new(),
        commit: LogIndex(0),
        round: 1,
    };
    script.hear("c", 2, heartbeat);
    script.now += CoreConfig::default().election_timeout / 2;
    expect_that!(script.asks_for_vote(false), eq(Term(2)));
    expect_that!(script.asks_for_vote(true), eq(Term(3)));
}

// A leader offers to hand over, and the offer is late. The other may take it up at any time in
// this term, and the followers won't refuse; so no lease holds from then on.
#[gtest]
fn a_leader_that_offered_to_hand_over_has_no_lease() {
    let mut script = Script::start();
    script.lead();
    script.appended("b", 3);
    expect_that!(script.core.status().lease_until, some(gt(script.now)));
    script
        .core
        .transfer(script.now, None)
        .expect("b can take over");
    script.now += CoreConfig::default().heartbeat;
    script.core.tick(script.now);
    script.sync();
    script.hear(
        "b",
        2,
        Body::Appended {
            matched: LogIndex(3),
            round: 2,
        },
    );
    expect_that!(script.core.status().lease_until, none());
}

// A member answers that it holds an entry, and loses power before its disk does. It must answer
// after its sync, count its own log after its sync, and apply nothing that it could forget.
#[gtest]
fn what_is_not_synced_is_neither_counted_nor_applied() {
    let mut script = Script::start();
    script.lead();
    script.appended("b", 3);
    let placed = script.core.propose(script.now, [8]).expect("it leads");
    let first = script.core.take_actions();
    script.core.propose(script.now, [9]).expect("it leads");
    let second = script.core.take_actions();
    let persist = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Persist(persist) => Some(persist.seq),
            _ => None,
        })
    };
    let seq = persist(&first).expect("the first is to be synced");
    expect_that!(persist(&second), some(gt(seq)));
    script.core.synced(script.now, seq);
    let next = LogIndex(placed.index.0 + 1);
    let matched = Body::Appended {
        matched: next,
        round: 1,
    };
    let msg = Message {
        to: member("a"),
        term: Term(2),
        body: matched,
    };
    script.core.step(script.now, &member("b"), msg.clone());
    expect_that!(script.core.status().commit, eq(placed.index));
    script.core.step(script.now, &member("c"), msg);
    expect_that!(script.core.status().commit, eq(next));
    expect_that!(script.core.status().applied, eq(placed.index));
}
