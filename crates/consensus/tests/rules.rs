//! Safety rules that random schedules seldom exercise, tested on one core with scripted messages
//! from the other members.

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

/// State of member `a` in a group of `a`, `b` and `c`, with an entry of term 1 that is not known to
/// be committed.
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

    fn receive(&mut self, from: &str, term: u64, body: Body) -> Vec<Action> {
        let msg = Message {
            to: member("a"),
            term: Term(term),
            body,
        };
        self.core.step(self.now, &member(from), msg);
        self.sync()
    }

    /// Completes all storage work; returns the other actions.
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

    /// Makes `a` the leader of term 2, whose first entry has index 3.
    fn become_leader(&mut self) {
        self.now = self.core.next_due();
        self.core.tick(self.now);
        self.receive(
            "b",
            1,
            Body::PreVoteReply {
                for_term: Term(2),
                granted: true,
            },
        );
        self.receive("b", 2, Body::VoteReply { granted: true });
        assert!(self.core.is_leader());
    }

    fn receive_appended(&mut self, from: &str, matched: u64) {
        let matched = LogIndex(matched);
        self.receive(from, 2, Body::Appended { matched, round: 1 });
    }

    fn receive_vote_request(&mut self, transfer: bool) -> Term {
        let body = Body::Vote {
            last_index: LogIndex(9),
            last_term: Term(2),
            transfer,
        };
        self.receive("b", 3, body);
        self.core.status().term
    }
}

fn add(name: &str) -> MemberChange {
    MemberChange::Add {
        member: member(name),
        replaces: None,
    }
}

// Guards against acknowledging an entry of an earlier term that another leader may still replace
// (Raft paper, figure 8).
#[gtest]
fn an_entry_of_an_earlier_term_is_not_committed_alone() {
    let mut script = Script::start();
    script.become_leader();
    script.receive_appended("b", 2);
    expect_that!(script.core.status().commit, eq(LogIndex(1)));
    script.receive_appended("b", 3);
    expect_that!(script.core.status().commit, eq(LogIndex(3)));
}

// Guards against concurrent membership changes, including one that a previous leader started: the
// majorities before and after them need not overlap.
#[gtest]
fn membership_changes_one_at_a_time() {
    let mut script = Script::start();
    script.become_leader();
    let refused = script.core.change_members(script.now, &add("d"));
    expect_that!(refused, err(eq(&ChangeRefused::Unfinished)));
    script.receive_appended("b", 3);
    expect_that!(
        script.core.change_members(script.now, &add("d")),
        ok(anything())
    );
    let refused = script.core.change_members(script.now, &add("e"));
    expect_that!(refused, err(eq(&ChangeRefused::Unfinished)));
}

// Guards against electing another leader during a lease: a member that received from the leader
// within the election timeout, even in its previous run, votes only in a leadership transfer.
#[gtest]
fn a_member_with_a_live_leader_votes_only_in_a_transfer() {
    let mut script = Script::start();
    expect_that!(script.receive_vote_request(false), eq(Term(1)));
    script.now = CoreConfig::default().election_timeout;
    let heartbeat = Body::Append {
        prev_index: LogIndex(2),
        prev_term: Term(1),
        entries: Vec::new(),
        commit: LogIndex(0),
        round: 1,
    };
    script.receive("c", 2, heartbeat);
    script.now += CoreConfig::default().election_timeout / 2;
    expect_that!(script.receive_vote_request(false), eq(Term(2)));
    expect_that!(script.receive_vote_request(true), eq(Term(3)));
}

// Guards against lease reads after a leadership transfer was requested: the request may arrive at
// any time in the term, and the followers accept the resulting election.
#[gtest]
fn a_leader_that_requested_a_transfer_has_no_lease() {
    let mut script = Script::start();
    script.become_leader();
    script.receive_appended("b", 3);
    expect_that!(script.core.status().lease_until, some(gt(script.now)));
    script
        .core
        .transfer(script.now, None)
        .expect("b can take over");
    script.now += CoreConfig::default().heartbeat;
    script.core.tick(script.now);
    script.sync();
    script.receive(
        "b",
        2,
        Body::Appended {
            matched: LogIndex(3),
            round: 2,
        },
    );
    expect_that!(script.core.status().lease_until, none());
}

// Guards against counting or applying entries that a power failure can still remove from the local
// disk.
#[gtest]
fn unsynced_entries_are_neither_counted_nor_applied() {
    let mut script = Script::start();
    script.become_leader();
    script.receive_appended("b", 3);
    let proposal = script
        .core
        .propose(script.now, [8])
        .expect("the member leads");
    let first = script.core.take_actions();
    script
        .core
        .propose(script.now, [9])
        .expect("the member leads");
    let second = script.core.take_actions();
    let persist = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Persist(persist) => Some(persist.seq),
            _ => None,
        })
    };
    let seq = persist(&first).expect("the first command is persisted");
    expect_that!(persist(&second), some(gt(seq)));
    script.core.synced(script.now, seq);
    let next = LogIndex(proposal.index.0 + 1);
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
    expect_that!(script.core.status().commit, eq(proposal.index));
    script.core.step(script.now, &member("c"), msg);
    expect_that!(script.core.status().commit, eq(next));
    expect_that!(script.core.status().applied, eq(proposal.index));
}

// Guards against a group that forgets how many voters it is meant to have while some are lost, or that
// returns to a size which an operator has reduced.
#[gtest]
fn only_a_retired_voter_reduces_the_size_of_the_group() {
    let remove = MemberChange::Remove {
        member: member("c"),
    };
    expect_that!(members_after(&remove).size, eq(3));
    let retire = MemberChange::Retire {
        member: member("c"),
    };
    let members = members_after(&retire);
    expect_that!(members.size, eq(2));
    expect_that!(members.voters, eq(&[member("a"), member("b")].into()));
}

/// The members of a group of three after `change`.
fn members_after(change: &MemberChange) -> Membership {
    let mut script = Script::start();
    script.become_leader();
    script.receive_appended("b", 3);
    let proposed = script.core.change_members(script.now, change);
    expect_that!(proposed, ok(anything()));
    script.core.status().members
}
