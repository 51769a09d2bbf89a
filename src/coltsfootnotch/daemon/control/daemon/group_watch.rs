//! What operators are told of the control group: who its members are, and whether it can decide.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};

use super::ControlDaemon;
use crate::daemon::control::group_health::GroupHealth;
use crate::util::events;

/// Between two lines that tell that no leader is known. An election takes about a second.
const SAY_NO_LEADER_EVERY: Duration = Duration::from_secs(2);

impl ControlDaemon {
    /// Tells how the members stand after a change of theirs.
    pub(super) fn members_changed(&mut self, members: &Membership) {
        self.host.log(
            &events::MEMBERS_CHANGED,
            &[
                ("voters", &list(&members.voters)),
                ("learners", &list(members.learners.keys())),
                ("leaving", &list(&members.leaving)),
            ],
        );
    }

    /// Measures what the group bears, and tells now and then if it has no leader.
    pub(super) fn watch_group(&mut self, now: Duration) {
        let members = self.replica.core().status().members;
        let me = &self.founding.hello().member;
        if !members.contains(me) {
            return;
        }
        let connected = self.connected_voters(&members);
        self.measure_group(&GroupHealth::of(&members, &connected));
        self.tell_no_leader(now, &members, &connected);
    }

    /// The voters that are connected, this member included.
    fn connected_voters(&self, members: &Membership) -> BTreeSet<MemberId> {
        let me = &self.founding.hello().member;
        let is_here = |m: &&MemberId| *m == me || self.founding.member_on(&m.host) == Some(*m);
        members.voters.iter().filter(is_here).cloned().collect()
    }

    fn measure_group(&self, health: &GroupHealth) {
        let set = |name, value: f64| self.host.metrics.gauge(name, &[]).set(value);
        set("control_voters", health.voters as f64);
        set("control_learners", health.learners as f64);
        set("control_voters_connected", health.connected as f64);
        set("control_voters_spare", health.spare() as f64);
        set(
            "control_leader_known",
            f64::from(u8::from(self.leader.is_some())),
        );
    }

    fn tell_no_leader(
        &mut self,
        now: Duration,
        members: &Membership,
        connected: &BTreeSet<MemberId>,
    ) {
        if self.leader.is_some() {
            self.no_leader_due = None;
            return;
        }
        let due = *self.no_leader_due.get_or_insert(now + SAY_NO_LEADER_EVERY);
        if now < due {
            return;
        }
        self.no_leader_due = Some(now + SAY_NO_LEADER_EVERY);
        let missing = list(members.voters.difference(connected));
        self.host.log(
            &events::NO_LEADER,
            &[
                ("voters", &members.voters.len()),
                ("connected", &connected.len()),
                ("needed", &members.quorum()),
                ("missing", &missing),
            ],
        );
    }
}

fn list<'a>(members: impl IntoIterator<Item = &'a MemberId>) -> String {
    let members: Vec<_> = members.into_iter().map(ToString::to_string).collect();
    members.join(" ")
}
