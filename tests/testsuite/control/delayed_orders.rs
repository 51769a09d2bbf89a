//! Orders of operators that a control host receives while it is cut off from the leader.

use std::thread;
use std::time::Duration;

use coltsfootnotch_state::{EvacuationReply, Op, Reply, SetEvacuation};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ProposeError, ToRelay};
use googletest::prelude::*;

use super::client::Client;
use super::cut_path::{self, Cut};
use super::group::{Group, wait_until};

/// How long the follower is cut off. Its connections survive that, and deliver what they hold afterwards.
const CUT: Duration = Duration::from_millis(1_500);
/// How long an operator waits for an answer before turning to another control host.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time after the cut within which held back messages arrive.
const DELIVERY: Duration = Duration::from_secs(2);

/// A group with its leader, a follower and another member, each of which can be cut off from the others.
struct CutGroup {
    group: Group,
    cuts: [Cut; 3],
    leader: usize,
    follower: usize,
    other: usize,
}

impl CutGroup {
    fn started() -> Self {
        let mut group = Group::new(|_| {});
        let cuts: [Cut; 3] = Default::default();
        for at in 0..3 {
            let mut cfg = group.config(at);
            let others = cfg.members.iter_mut().enumerate();
            for (other, member) in others.filter(|(other, _)| *other != at) {
                let cuts = [cuts[at].clone(), cuts[other].clone()];
                member.address = cut_path::open(group.runtime.handle(), member.address, cuts);
            }
            group.start_with(at, cfg);
        }
        let leader = group.wait_for_leader();
        Self {
            group,
            cuts,
            leader,
            follower: (leader + 1) % 3,
            other: (leader + 2) % 3,
        }
    }

    fn operator(&self, at: usize, name: &str) -> Client {
        self.group.client(at, Role::Operator, name)
    }

    /// Waits until the follower has applied all that the leader has.
    fn wait_until_applied(&self) {
        let [mut leader, mut follower] =
            [self.leader, self.follower].map(|at| self.operator(at, "probe"));
        let applied = |client: &mut Client| client.status()["group"]["applied"].as_u64();
        wait_until("the follower has applied the log", || {
            applied(&mut follower) == applied(&mut leader)
        });
    }

    /// Ends the cut, and waits until what it held back has arrived.
    fn heal(&self) {
        self.cuts[self.follower].set(false);
        let mut operator = self.operator(self.follower, "probe");
        wait_until("the follower reaches a quorum", || {
            operator.confirmed().is_ok()
        });
        thread::sleep(DELIVERY);
    }
}

fn evacuation(evacuated: bool) -> Op {
    Op::SetEvacuation(SetEvacuation {
        domain: DomainName::new("d1").expect("a name"),
        evacuated,
    })
}

/// Guards against an order that is applied after later ones that were acknowledged, since the control host
/// that received it was cut off from the leader meanwhile.
#[gtest]
fn an_order_that_a_cut_held_back_does_not_undo_a_later_one() {
    let cut_group = CutGroup::started();
    let mut late = cut_group.operator(cut_group.follower, "late");
    let mut operator = cut_group.operator(cut_group.other, "op");
    let started = operator.propose_until_answered(&evacuation(true));
    expect_true!(is_done(&Ok(started)));
    cut_group.wait_until_applied();

    cut_group.cuts[cut_group.follower].set(true);
    let pending = late.start_propose(&evacuation(false));
    thread::sleep(PATIENCE);
    expect_true!(is_done(&operator.propose(&evacuation(false))));
    let last = operator.propose(&evacuation(true));
    expect_true!(is_done(&last));
    thread::sleep(CUT - PATIENCE);
    cut_group.heal();

    let now = operator.propose(&evacuation(true));
    expect_that!(now, eq(&last), "nothing has changed since");
    expect_false!(is_done(&late.finish_propose(pending)));
}

/// Guards against the removal of a member by a request that was held back, after the operator has removed
/// another one instead.
#[gtest]
fn a_removal_that_a_cut_held_back_is_not_done_after_another() {
    let cut_group = CutGroup::started();
    let [kept, removed] =
        [cut_group.other, cut_group.follower].map(|at| cut_group.group.members[at].host.clone());
    let late = cut_group.operator(cut_group.follower, "late");
    let mut operator = cut_group.operator(cut_group.leader, "op");
    cut_group.wait_until_applied();

    cut_group.cuts[cut_group.follower].set(true);
    late.send(ToRelay::RemoveMember { id: 1, host: kept });
    thread::sleep(PATIENCE);
    expect_that!(operator.remove(&removed), ok(()));
    thread::sleep(CUT - PATIENCE);
    cut_group.cuts[cut_group.follower].set(false);
    thread::sleep(DELIVERY);

    expect_that!(voters(&mut operator), some(eq(2)));
}

fn voters(operator: &mut Client) -> Option<usize> {
    let status = operator.status();
    status["group"]["voters"].as_array().map(Vec::len)
}

fn is_done(reply: &Result<Reply, ProposeError>) -> bool {
    matches!(reply, Ok(Reply::Evacuation(EvacuationReply::Done { .. })))
}
