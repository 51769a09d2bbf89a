//! The hosts that send their heartbeats to this relay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_chart::{Chart, Charts};
use coltsfootnotch_types::{HostName, Incarnation};

use crate::flaps::Flaps;
use crate::member::Member;
use crate::timing::KEEP_GONE;
use crate::{
    Heartbeat, HeartbeatReply, MemberEvent, MemberEventKind, RelayId, Summary, SummaryDelta, Timing,
};

/// Earlier runs of one host that are remembered, so that their late heartbeats are refused.
const RETIRED_RUNS: usize = 8;

/// What happened at this relay since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegistryCounters {
    /// Heartbeats taken.
    pub heartbeats: u64,
    /// Heartbeats of runs that a later one has replaced.
    pub refused: u64,
    /// Hosts found silent.
    pub silent: u64,
}

/// The hosts of one relay and what it tells others about them.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_membership::{Epoch, Registry, RelayId, Timing};
/// use coltsfootnotch_types::HostName;
/// let me = RelayId { host: HostName::new("control-1")?, epoch: Epoch(1) };
/// let mut registry = Registry::new(me, Timing::DEFAULT, Duration::ZERO);
/// registry.tick(Duration::from_secs(1));
/// assert_eq!(registry.take_events(), vec![]);
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Registry {
    me: RelayId,
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
    /// The registry of a relay that starts at `now` and knows no host yet.
    ///
    /// # Panics
    /// If the charts in the program are not valid, which their own tests rule out.
    #[must_use]
    pub fn new(me: RelayId, timing: Timing, now: Duration) -> Self {
        let charts = Charts::load().expect("the charts in the program are valid");
        Self {
            me,
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

    /// Takes a heartbeat received at `now`.
    pub fn on_heartbeat(&mut self, now: Duration, hb: &Heartbeat) -> HeartbeatReply {
        if self.is_retired(&hb.host, hb.incarnation) {
            self.counters.refused += 1;
            return HeartbeatReply::Replaced;
        }
        self.counters.heartbeats += 1;
        let flaps = self.replace(now, hb);
        let chart = &self.chart;
        let new_member = || Member::new(chart, now, hb, flaps);
        let known = self.members.entry(hb.host.clone());
        let member = known.or_insert_with(new_member);
        let change = member.hear(now, hb);
        let profile_version = member.profile_version;
        self.note(&hb.host, change);
        HeartbeatReply::Accepted {
            seq: hb.seq,
            epoch: self.me.epoch,
            profile_version,
        }
    }

    /// Notes that a run of a host has ended as planned.
    pub fn mark_left(&mut self, host: &HostName, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if member.incarnation == incarnation {
            member.leave();
            self.note(host, Some(MemberEventKind::Left));
        }
    }

    /// Looks for silence; call it at least every quarter of a second.
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
        let is_over = member.gone_since().is_some_and(|t| now >= t + KEEP_GONE);
        if is_over {
            self.members.remove(host);
            self.retired.remove(host);
            self.summary.remove(host);
            return;
        }
        let change = member.tick(now, &self.timing);
        if change.is_some() {
            self.note(host, change);
        }
    }

    /// Retires the earlier run of the host that `hb` comes from, and returns its damping.
    fn replace(&mut self, now: Duration, hb: &Heartbeat) -> Flaps {
        let earlier = self.members.get(&hb.host);
        let Some(earlier) = earlier.filter(|m| m.incarnation != hb.incarnation) else {
            return Flaps::default();
        };
        let incarnation = earlier.incarnation;
        let mut flaps = earlier.flaps();
        if earlier.gone_since().is_none() {
            flaps.add(now);
        }
        let retired = self.retired.entry(hb.host.clone()).or_default();
        retired.push_back(incarnation);
        if retired.len() > RETIRED_RUNS {
            retired.pop_front();
        }
        self.members.remove(&hb.host);
        self.event(&hb.host, incarnation, MemberEventKind::Replaced);
        flaps
    }

    fn is_retired(&self, host: &HostName, incarnation: Incarnation) -> bool {
        let retired = self.retired.get(host);
        retired.is_some_and(|runs| runs.contains(&incarnation))
    }

    /// Brings the summary up to date with a member, and keeps the event.
    fn note(&mut self, host: &HostName, change: Option<MemberEventKind>) {
        let Some(member) = self.members.get(host) else {
            return;
        };
        let incarnation = member.incarnation;
        if member.profile_version.is_some() {
            self.summary.set(member.record(host));
        }
        if let Some(kind) = change {
            self.event(host, incarnation, kind);
        }
    }

    fn event(&mut self, host: &HostName, incarnation: Incarnation, kind: MemberEventKind) {
        self.counters.silent += u64::from(kind == MemberEventKind::Silent);
        self.events.push(MemberEvent {
            host: host.clone(),
            incarnation,
            kind,
        });
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// What happened at this relay since it started.
    #[must_use]
    pub fn counters(&self) -> RegistryCounters {
        self.counters
    }

    /// This relay's own part of the directory.
    #[must_use]
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// What changed since version `since` of this relay's summary, for its own directory and for
    /// other relays. Empty when nothing did.
    #[must_use]
    pub fn delta_since(&self, since: u64) -> SummaryDelta {
        self.summary.delta_since(&self.me, since, self.settled)
    }
}
