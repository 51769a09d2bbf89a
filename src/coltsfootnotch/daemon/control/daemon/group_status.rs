//! Logs and metrics of the control group: its members, its health and whether it has a leader.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};

use super::ControlDaemon;
use crate::daemon::control::group_health::GroupHealth;
use crate::util::events;

/// Interval of log lines while no leader is known. An election takes about a second.
const NO_LEADER_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl ControlDaemon {
    /// Logs the members after a change.
    pub(super) fn log_members(&mut self, members: &Membership) {
        self.host.log(
            &events::MEMBERS_CHANGED,
            &[
                ("voters", &list(&members.voters)),
                ("learners", &list(members.learners.keys())),
                ("leaving", &list(&members.leaving)),
            ],
        );
    }

    /// Updates the gauges of the group's health and logs a missing leader.
    pub(super) fn update_group_status(&mut self, now: Duration) {
        let members = self.replica.core().status().members;
        let me = &self.bootstrap.local_hello().member;
        if !members.contains(me) {
            return;
        }
        let connected = self.connected_voters(&members);
        self.set_health_gauges(&GroupHealth::of(&members, &connected));
        self.log_no_leader(now, &members, &connected);
    }

    /// The connected voters, including this member.
    fn connected_voters(&self, members: &Membership) -> BTreeSet<MemberId> {
        let me = &self.bootstrap.local_hello().member;
        let is_connected =
            |m: &&MemberId| *m == me || self.bootstrap.member_on(&m.host) == Some(*m);
        members
            .voters
            .iter()
            .filter(is_connected)
            .cloned()
            .collect()
    }

    fn set_health_gauges(&self, health: &GroupHealth) {
        let set = |name, value: f64| self.host.metrics.gauge(name, &[]).set(value);
        set("control_voters", health.voters as f64);
        set("control_group_size", health.size as f64);
        set("control_learners", health.learners as f64);
        set("control_voters_connected", health.connected as f64);
        set("control_voters_spare", health.spare() as f64);
        set(
            "control_leader_known",
            f64::from(u8::from(self.leader.is_some())),
        );
    }

    fn log_no_leader(
        &mut self,
        now: Duration,
        members: &Membership,
        connected: &BTreeSet<MemberId>,
    ) {
        if self.leader.is_some() {
            self.no_leader_log_due = None;
            return;
        }
        let due = *self
            .no_leader_log_due
            .get_or_insert(now + NO_LEADER_LOG_INTERVAL);
        if now < due {
            return;
        }
        self.no_leader_log_due = Some(now + NO_LEADER_LOG_INTERVAL);
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
