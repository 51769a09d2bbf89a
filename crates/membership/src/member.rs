//! One host in the registry of its relay.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_chart::{Chart, HostEvent, HostState, Machine, Transition};
use coltsfootnotch_types::{HostName, Incarnation};

use crate::flaps::Flaps;
use crate::{Heartbeat, HostRecord, Presence, Profile, Timing};

/// How long a host stays with another relay at least, before it goes back to its own; going there
/// and back are two turns.
const SHORTEST_STAY: Duration = Duration::from_secs(10);

/// What happened to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEvent {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: MemberEventKind,
}

/// What happened to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberEventKind {
    /// It is listed as present, for the first time or again.
    Present,
    /// It has not been heard for a while: ask it for a sign.
    Suspected,
    /// It is listed as gone, since it was not heard.
    Silent,
    /// It has announced that it is leaving.
    Leaving,
    /// It has left.
    Left,
    /// A later run has taken its place.
    Replaced,
}

/// One host in the registry; whether it is heard follows the chart `host`.
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
    heard: Duration,
    hearing: Machine,
    /// Since when a host that is not listed yet has been heard without a gap.
    heard_since: Duration,
    flaps: Flaps,
}

impl Member {
    pub(crate) fn new(chart: &Arc<Chart>, now: Duration, hb: &Heartbeat, flaps: Flaps) -> Self {
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
            heard: now,
            hearing: Machine::new(chart),
            heard_since: now,
            flaps,
        }
    }

    /// The damping of this host, handed on to its next run: a process that restarts again and again
    /// flaps as well.
    pub(crate) fn flaps(&self) -> Flaps {
        self.flaps
    }

    /// Takes a heartbeat of this run; returns what changed.
    pub(crate) fn hear(&mut self, now: Duration, hb: &Heartbeat) -> Option<MemberEventKind> {
        // A copy or a straggler says nothing about now: taken as a sign of life, it would keep a lost
        // host listed.
        if hb.seq <= self.seq {
            return None;
        }
        self.seq = hb.seq;
        if hb.attach > self.attach {
            self.forgive_move(now, hb.attach - self.attach);
            self.attach = hb.attach;
        }
        self.heard = now;
        self.started = hb.started;
        self.config = self.config.max(hb.config);
        if let Some(profile) = &hb.profile {
            self.profile = Some(Arc::new(profile.clone()));
            self.profile_version = Some(hb.profile_version);
        }
        let announces = hb.leaving && !self.leaving;
        self.leaving |= hb.leaving;
        let listed = self.list(now);
        listed.or(announces.then_some(MemberEventKind::Leaving))
    }

    /// A host that was silent here because it was with another relay has not flapped. One that is
    /// heard badly by all turns from relay to relay without staying anywhere.
    fn forgive_move(&mut self, now: Duration, turns: u32) {
        let away = now.saturating_sub(self.heard);
        if self.is(HostState::Silent) && away >= SHORTEST_STAY * turns / 2 {
            self.flaps.undo();
        }
    }

    /// Lists the host if it may be.
    fn list(&mut self, now: Duration) -> Option<MemberEventKind> {
        let change = self.list_now(now);
        if self.is_listed() {
            self.listed_attach = self.attach;
        }
        change
    }

    fn list_now(&mut self, now: Duration) -> Option<MemberEventKind> {
        if self.is(HostState::Silent) {
            self.heard_since = now;
        }
        self.fire(HostEvent::HeartbeatReceived);
        if !self.is(HostState::Returning) {
            return None;
        }
        if self.profile.is_none() || now < self.heard_since + self.flaps.hold() {
            return None;
        }
        self.fire(HostEvent::Stabilized);
        self.flaps.list(now);
        Some(MemberEventKind::Present)
    }

    /// Looks at the time; returns what changed.
    pub(crate) fn tick(&mut self, now: Duration, timing: &Timing) -> Option<MemberEventKind> {
        let silence = now.saturating_sub(self.heard);
        let was_listed = self.is_listed();
        if was_listed && silence >= timing.silent_after {
            self.fire(HostEvent::SilenceTimeout);
            if !self.leaving {
                self.flaps.add(now);
            }
            return Some(MemberEventKind::Silent);
        }
        if silence < timing.suspect_after || !self.fire(HostEvent::SuspectTimeout) {
            return None;
        }
        // A gap while it is being watched starts the watch anew, and nobody needs to know.
        was_listed.then_some(MemberEventKind::Suspected)
    }

    /// Notes that the host has left.
    pub(crate) fn leave(&mut self) {
        self.fire(HostEvent::LeaveAnnounced);
    }

    /// When a host that is gone was heard last.
    pub(crate) fn gone_since(&self) -> Option<Duration> {
        let is_gone = self.is(HostState::Silent) || self.is(HostState::Left);
        is_gone.then_some(self.heard)
    }

    fn is_listed(&self) -> bool {
        self.is(HostState::Listed) || self.is(HostState::Suspect)
    }

    fn is(&self, state: HostState) -> bool {
        self.hearing.is(state)
    }

    /// Takes an event; whether it moved the host to another state.
    fn fire(&mut self, event: HostEvent) -> bool {
        if self.hearing.is_final() {
            return false;
        }
        match self.hearing.fire(event) {
            Ok(transition) => transition != Transition::Ignored,
            Err(e) => panic!("run {} of a host: {e}", self.incarnation),
        }
    }

    /// What other relays are told. A host that is being watched before it is listed again keeps the
    /// attachment under which it was listed last: another relay may list it under a later one.
    pub(crate) fn record(&self, host: &HostName) -> HostRecord {
        let presence = match self.is_listed() {
            true if self.leaving => Presence::Leaving,
            true => Presence::Present,
            false => Presence::Gone,
        };
        let is_here = presence != Presence::Gone;
        HostRecord {
            host: host.clone(),
            incarnation: self.incarnation,
            started: self.started,
            attach: self.listed_attach,
            presence,
            config: self.config,
            profile: self.profile.clone().filter(|_| is_here),
        }
    }
}
