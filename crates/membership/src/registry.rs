//! The hosts that send their heartbeats to this relay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_chart::{Chart, Charts};
use coltsfootnotch_types::{HostName, Incarnation};

use crate::flap_damping::FlapDamping;
use crate::member::Member;
use crate::timing::TOMBSTONE_RETENTION;
use crate::{
    Heartbeat, HeartbeatReply, MemberEvent, MemberEventKind, RelayId, Summary, SummaryDelta, Timing,
};

/// Earlier runs remembered for each host, whose late heartbeats are refused.
const RETIRED_RUNS: usize = 8;

/// Counters of a registry since the start of its relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegistryCounters {
    /// Heartbeats accepted.
    pub heartbeats: u64,
    /// Heartbeats refused because a later run has registered.
    pub refused: u64,
    /// Hosts declared silent.
    pub silent: u64,
}

/// The hosts that send heartbeats to one relay, and the summary of them for other relays.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_membership::{Epoch, Registry, RelayId, Timing};
/// use coltsfootnotch_types::HostName;
/// let local = RelayId { host: HostName::new("control-1")?, epoch: Epoch(1) };
/// let mut registry = Registry::new(local, Timing::DEFAULT, Duration::ZERO);
/// registry.tick(Duration::from_secs(1));
/// assert_eq!(registry.take_events(), vec![]);
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Registry {
    local: RelayId,
    chart: Arc<Chart>,
    timing: Timing,
    started: Duration,
    settled: bool,
    members: BTreeMap<HostName, Member>,
    retired: BTreeMap<HostName, VecDeque<Incarnation>>,
    summary: Summary,
    events: Vec<MemberEvent>,
    counters: RegistryCounters,
}

impl Registry {
    /// Creates the empty registry of a relay that starts at `now`.
    ///
    /// # Panics
    /// Panics if the embedded state charts are invalid.
    #[must_use]
    pub fn new(local: RelayId, timing: Timing, now: Duration) -> Self {
        let charts = Charts::load().expect("the embedded state charts are valid");
        Self {
            local,
            chart: charts.host,
            timing,
            started: now,
            settled: false,
            members: BTreeMap::new(),
            retired: BTreeMap::new(),
            summary: Summary::default(),
            events: Vec::new(),
            counters: RegistryCounters::default(),
        }
    }

    /// Handles a heartbeat received at `now`.
    pub fn on_heartbeat(&mut self, now: Duration, hb: &Heartbeat) -> HeartbeatReply {
        if self.is_retired(&hb.host, hb.incarnation) {
            self.counters.refused += 1;
            return HeartbeatReply::Replaced;
        }
        self.counters.heartbeats += 1;
        let damping = self.retire_earlier_run(now, hb);
        let chart = &self.chart;
        let new_member = || Member::new(chart, now, hb, damping);
        let entry = self.members.entry(hb.host.clone());
        let member = entry.or_insert_with(new_member);
        let change = member.on_heartbeat(now, hb);
        let profile_version = member.profile_version;
        self.update_summary(&hb.host, change);
        HeartbeatReply::Accepted {
            seq: hb.seq,
            epoch: self.local.epoch,
            profile_version,
        }
    }

    /// Records that a run of a host has left after a planned stop.
    pub fn mark_left(&mut self, host: &HostName, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if member.incarnation == incarnation {
            member.mark_left();
            self.update_summary(host, Some(MemberEventKind::Left));
        }
    }

    /// Detects silent hosts and removes expired ones; must be called at least every 250 ms.
    pub fn tick(&mut self, now: Duration) {
        if !self.settled && now >= self.started + self.timing.silent_after {
            self.settled = true;
            self.summary.touch();
        }
        let hosts: Vec<_> = self.members.keys().cloned().collect();
        for host in hosts {
            self.tick_host(now, &host);
        }
    }

    fn tick_host(&mut self, now: Duration, host: &HostName) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let is_expired = member
            .gone_since()
            .is_some_and(|t| now >= t + TOMBSTONE_RETENTION);
        if is_expired {
            self.members.remove(host);
            self.retired.remove(host);
            self.summary.remove(host);
            return;
        }
        let change = member.tick(now, &self.timing);
        if change.is_some() {
            self.update_summary(host, change);
        }
    }

    /// Retires an earlier run of the host that sent `hb`, and returns its flap damping.
    fn retire_earlier_run(&mut self, now: Duration, hb: &Heartbeat) -> FlapDamping {
        let earlier = self.members.get(&hb.host);
        let Some(earlier) = earlier.filter(|m| m.incarnation != hb.incarnation) else {
            return FlapDamping::default();
        };
        let incarnation = earlier.incarnation;
        let mut damping = earlier.damping();
        if earlier.gone_since().is_none() {
            damping.add_flap(now);
        }
        let retired = self.retired.entry(hb.host.clone()).or_default();
        retired.push_back(incarnation);
        if retired.len() > RETIRED_RUNS {
            retired.pop_front();
        }
        self.members.remove(&hb.host);
        self.push_event(&hb.host, incarnation, MemberEventKind::Replaced);
        damping
    }

    fn is_retired(&self, host: &HostName, incarnation: Incarnation) -> bool {
        let retired = self.retired.get(host);
        retired.is_some_and(|runs| runs.contains(&incarnation))
    }

    /// Updates the summary with the record of a member and queues the event.
    fn update_summary(&mut self, host: &HostName, change: Option<MemberEventKind>) {
        let Some(member) = self.members.get(host) else {
            return;
        };
        let incarnation = member.incarnation;
        if member.profile_version.is_some() {
            self.summary.set(member.record(host));
        }
        if let Some(kind) = change {
            self.push_event(host, incarnation, kind);
        }
    }

    fn push_event(&mut self, host: &HostName, incarnation: Incarnation, kind: MemberEventKind) {
        self.counters.silent += u64::from(kind == MemberEventKind::Silent);
        self.events.push(MemberEvent {
            host: host.clone(),
            incarnation,
            kind,
        });
    }

    /// Drains the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// The counters since the start of the relay.
    #[must_use]
    pub fn counters(&self) -> RegistryCounters {
        self.counters
    }

    /// The summary of this relay's hosts.
    #[must_use]
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// The changes of this relay's summary after version `since`, for the directory of every relay.
    /// Without a change the delta has no records.
    #[must_use]
    pub fn delta_since(&self, since: u64) -> SummaryDelta {
        self.summary.delta_since(&self.local, since, self.settled)
    }
}
