//! One host in the registry of its relay.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_chart::{Chart, HostEvent, HostState, Machine, Transition};
use coltsfootnotch_types::{HostName, Incarnation};

use crate::flap_damping::FlapDamping;
use crate::{Heartbeat, HostRecord, Presence, Profile, Timing};

/// Minimum time that a host stays with another relay before it fails back; failover and failback
/// are two moves.
const MIN_STAY: Duration = Duration::from_secs(10);

/// A change of the state of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEvent {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The kind of change.
    pub kind: MemberEventKind,
}

/// The kind of a [`MemberEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberEventKind {
    /// It is listed as present, for the first time or again.
    Present,
    /// No heartbeat was received for [`Timing::suspect_after`].
    Suspected,
    /// It is listed as gone: no heartbeat was received for [`Timing::silent_after`].
    Silent,
    /// It has announced that it is leaving.
    Leaving,
    /// It has left.
    Left,
    /// A later run of the host has registered.
    Replaced,
}

/// One host in the registry. Its state follows the state chart `host`.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) incarnation: Incarnation,
    pub(crate) profile_version: Option<u32>,
    profile: Option<Arc<Profile>>,
    started: u64,
    attach: u32,
    listed_attach: u32,
    seq: u64,
    config: u64,
    leaving: bool,
    last_heartbeat: Duration,
    machine: Machine,
    /// Start of the gapless heartbeats of a host that is not listed yet.
    steady_since: Duration,
    damping: FlapDamping,
}

impl Member {
    pub(crate) fn new(
        chart: &Arc<Chart>,
        now: Duration,
        hb: &Heartbeat,
        damping: FlapDamping,
    ) -> Self {
        Self {
            incarnation: hb.incarnation,
            profile_version: None,
            profile: None,
            started: hb.started,
            attach: hb.attach,
            listed_attach: 0,
            seq: 0,
            config: 0,
            leaving: false,
            last_heartbeat: now,
            machine: Machine::new(chart),
            steady_since: now,
            damping,
        }
    }

    /// The flap damping of this host, passed on to its next run: a process that restarts repeatedly
    /// is damped as well.
    pub(crate) fn damping(&self) -> FlapDamping {
        self.damping
    }

    /// Handles a heartbeat of this run; returns the change.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Duration,
        hb: &Heartbeat,
    ) -> Option<MemberEventKind> {
        // Duplicates and late heartbeats must not keep a lost host listed.
        if hb.seq <= self.seq {
            return None;
        }
        self.seq = hb.seq;
        if hb.attach > self.attach {
            self.undo_flap_after_move(now, hb.attach - self.attach);
            self.attach = hb.attach;
        }
        self.last_heartbeat = now;
        self.started = hb.started;
        self.config = self.config.max(hb.config);
        if let Some(profile) = &hb.profile {
            self.profile = Some(Arc::new(profile.clone()));
            self.profile_version = Some(hb.profile_version);
        }
        let starts_leaving = hb.leaving && !self.leaving;
        self.leaving |= hb.leaving;
        let listed = self.update_listing(now);
        listed.or(starts_leaving.then_some(MemberEventKind::Leaving))
    }

    /// Reverts the flap of a host that was silent because it was connected to another relay. A host
    /// that moves without staying anywhere remains damped: its links to all relays are lossy.
    fn undo_flap_after_move(&mut self, now: Duration, moves: u32) {
        let absence = now.saturating_sub(self.last_heartbeat);
        if self.is(HostState::Silent) && absence >= MIN_STAY * moves / 2 {
            self.damping.undo_flap();
        }
    }

    /// Lists the host if it has sent its profile and its hold-down time is over; returns the
    /// change.
    fn update_listing(&mut self, now: Duration) -> Option<MemberEventKind> {
        let change = self.try_list(now);
        if self.is_listed() {
            self.listed_attach = self.attach;
        }
        change
    }

    fn try_list(&mut self, now: Duration) -> Option<MemberEventKind> {
        if self.is(HostState::Silent) {
            self.steady_since = now;
        }
        self.fire(HostEvent::HeartbeatReceived);
        if !self.is(HostState::Returning) {
            return None;
        }
        if self.profile.is_none() || now < self.steady_since + self.damping.hold_down() {
            return None;
        }
        self.fire(HostEvent::Stabilized);
        self.damping.on_listed(now);
        Some(MemberEventKind::Present)
    }

    /// Checks the timeouts at `now`; returns the change.
    pub(crate) fn tick(&mut self, now: Duration, timing: &Timing) -> Option<MemberEventKind> {
        let silence = now.saturating_sub(self.last_heartbeat);
        let was_listed = self.is_listed();
        if was_listed && silence >= timing.silent_after {
            self.fire(HostEvent::SilenceTimeout);
            if !self.leaving {
                self.damping.add_flap(now);
            }
            return Some(MemberEventKind::Silent);
        }
        if silence < timing.suspect_after || !self.fire(HostEvent::SuspectTimeout) {
            return None;
        }
        // A gap during hold-down only restarts it and is not reported.
        was_listed.then_some(MemberEventKind::Suspected)
    }

    /// Records that the host has left.
    pub(crate) fn mark_left(&mut self) {
        self.fire(HostEvent::LeaveAnnounced);
    }

    /// Time of the last heartbeat of a host that is gone.
    pub(crate) fn gone_since(&self) -> Option<Duration> {
        let is_gone = self.is(HostState::Silent) || self.is(HostState::Left);
        is_gone.then_some(self.last_heartbeat)
    }

    fn is_listed(&self) -> bool {
        self.is(HostState::Listed) || self.is(HostState::Suspect)
    }

    fn is(&self, state: HostState) -> bool {
        self.machine.is(state)
    }

    /// Applies an event; returns whether the state changed.
    fn fire(&mut self, event: HostEvent) -> bool {
        if self.machine.is_final() {
            return false;
        }
        match self.machine.fire(event) {
            Ok(transition) => transition != Transition::Ignored,
            Err(e) => panic!("state chart of a host, run {}: {e}", self.incarnation),
        }
    }

    /// The record for other relays. During hold-down it keeps the attachment under which the host
    /// was last listed, since another relay may list the host under a later one.
    pub(crate) fn record(&self, host: &HostName) -> HostRecord {
        let presence = match self.is_listed() {
            true if self.leaving => Presence::Leaving,
            true => Presence::Present,
            false => Presence::Gone,
        };
        let is_listed = presence != Presence::Gone;
        HostRecord {
            host: host.clone(),
            incarnation: self.incarnation,
            started: self.started,
            attach: self.listed_attach,
            presence,
            config: self.config,
            profile: self.profile.clone().filter(|_| is_listed),
        }
    }
}
