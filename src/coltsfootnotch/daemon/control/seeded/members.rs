//! Which change of members the leader makes next, without an operator.
//!
//! **Failure.** A control host is lost for good, or comes back with an empty disk. As long as it
//! counts, the group bears one loss less, and the next one stops it.
//!
//! **Safeguard.** The leader admits every control host that is connected and not a member, up to
//! [`MAX_VOTERS`], in place of a member that is away where there is one. Each change is one voter in
//! or out and goes through the log, so a majority of the members agrees to each; a newcomer counts
//! only once it has caught up. A host whose disk was lost is another member than before: its old
//! identity can never come back, and is replaced at once.
//!
//! The group never shrinks below [`MIN_VOTERS`], nor to a size of which not all are connected: a group
//! that shrank while hosts were merely cut off could be left with those that are then lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_consensus::{MemberChange, MemberId, Membership};

/// Most voters: seven bear the loss of three, and every change costs a message to each.
pub const MAX_VOTERS: usize = 7;
/// Fewest voters that the group shrinks to: three bear the loss of one.
pub const MIN_VOTERS: usize = 3;
/// Time away after which a member is replaced by a newcomer. A restart takes about a second.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);
/// Time away after which a member is removed without a replacement, or a learner given up. Longer
/// than hosts usually freeze or are cut off, since those come back.
const REMOVE_AFTER: Duration = Duration::from_secs(8);

/// Since when members are away.
#[derive(Debug, Clone, Default)]
pub struct Away {
    since: BTreeMap<MemberId, Duration>,
}

impl Away {
    /// Notes who is connected now.
    pub fn note(&mut self, now: Duration, members: &Membership, connected: &BTreeSet<MemberId>) {
        self.since
            .retain(|m, _| members.contains(m) && !connected.contains(m));
        for member in members.all().filter(|m| !connected.contains(*m)) {
            self.since.entry(member.clone()).or_insert(now);
        }
    }

    fn longer_than(&self, now: Duration, time: Duration, member: &MemberId) -> bool {
        let since = self.since.get(member);
        since.is_some_and(|since| now.saturating_sub(*since) >= time)
    }
}

/// The next change, if one is due. `connected` holds the members that are connected to the leader and
/// the leader itself, whether they belong to the group or not.
#[must_use]
pub fn next_change(
    now: Duration,
    members: &Membership,
    connected: &BTreeSet<MemberId>,
    away: &Away,
) -> Option<MemberChange> {
    if members.leaving.is_some() {
        return None;
    }
    if let Some(learner) = members.learners.keys().next() {
        // One newcomer at a time; one that went away again must not keep the next out.
        let gone = away.longer_than(now, REMOVE_AFTER, learner);
        return gone.then(|| MemberChange::Remove {
            member: learner.clone(),
        });
    }
    let newcomer = connected.iter().find(|m| !members.contains(m));
    match newcomer {
        Some(newcomer) => admission(now, members, newcomer, away),
        None => removal(now, members, connected, away),
    }
}

fn admission(
    now: Duration,
    members: &Membership,
    newcomer: &MemberId,
    away: &Away,
) -> Option<MemberChange> {
    let before = members.voters.iter().find(|m| m.host == newcomer.host);
    let replaced = before.or_else(|| {
        let gone = |m: &&MemberId| away.longer_than(now, REPLACE_AFTER, m);
        members.voters.iter().find(gone)
    });
    if replaced.is_none() && members.voters.len() >= MAX_VOTERS {
        return None;
    }
    Some(MemberChange::Add {
        member: newcomer.clone(),
        replaces: replaced.cloned(),
    })
}

fn removal(
    now: Duration,
    members: &Membership,
    connected: &BTreeSet<MemberId>,
    away: &Away,
) -> Option<MemberChange> {
    if members.voters.len() <= MIN_VOTERS {
        return None;
    }
    let gone = |m: &&MemberId| away.longer_than(now, REMOVE_AFTER, m);
    let member = members.voters.iter().find(gone)?;
    let others_here = members
        .voters
        .iter()
        .filter(|m| *m != member)
        .all(|m| connected.contains(m));
    others_here.then(|| MemberChange::Remove {
        member: member.clone(),
    })
}
