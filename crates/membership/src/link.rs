//! A host's side of membership: its heartbeats, and which relay gets them.
//!
//! Load pattern answered: a relay is lost, or its replies are, and all hosts of its failure domain
//! turn to the others. Each begins at another place of the list, so that they spread. A host goes
//! back only after several replies in a row to probes of its own relay, and waits longer each time
//! that it had to leave again soon: otherwise a relay behind a lossy link would take its hosts back
//! and lose them again every few seconds.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootnotch_types::{HostName, Incarnation};

use crate::relay_address::ranked;
use crate::{Heartbeat, HeartbeatReply, Profile, RelayAddress, Timing};

/// Probes of the own relay that must be answered in a row before the host goes back.
const HOME_PROOF: u32 = 3;

/// Heartbeats whose sending times are kept to tell when the registration ends.
const KEPT_SENDINGS: usize = 16;

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to this relay in place of the one before; the heartbeats that follow go to it.
    ConnectTo(RelayAddress),
    /// Send a heartbeat to the relay that the host has turned to.
    Heartbeat(Heartbeat),
    /// Send the relay an empty question that it answers at once, to see whether it is back.
    Probe(RelayAddress),
    /// A later run of this host has registered: stop.
    Stop,
}

/// The own relay, while the host is with another.
#[derive(Debug, Clone, Copy)]
struct Home {
    wait: Duration,
    since: Duration,
    answered: u32,
    asked: bool,
}

/// The link of one host to its relay.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_membership::{HostLink, LinkAction, Profile, RelayAddress, Timing};
/// use coltsfootnotch_types::{DomainName, HostName, Incarnation, RegionName, Role};
/// let domain = DomainName::new("jhb-north")?;
/// let host = HostName::new("control-1")?;
/// let relay = RelayAddress { host, domain: domain.clone(), addresses: vec![] };
/// let region = RegionName::new("za-gauteng")?;
/// let profile = Profile { role: Role::Entry, domain, region, addresses: vec![], serves: vec![] };
/// let now = Duration::from_secs(5);
/// let me = HostName::new("entry-1")?;
/// let mut link = HostLink::new(me, Incarnation(7), 0, profile, vec![relay], Timing::DEFAULT, now);
/// let actions = link.poll(now);
/// assert!(matches!(actions[..], [LinkAction::ConnectTo(_), LinkAction::Heartbeat(_)]));
/// assert_eq!(link.next_poll(), now + Timing::DEFAULT.heartbeat);
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct HostLink {
    timing: Timing,
    next: Heartbeat,
    profile: Profile,
    is_profile_known: bool,
    relays: Vec<RelayAddress>,
    current: Option<usize>,
    beat_at: Duration,
    heard: Duration,
    sendings: VecDeque<(u64, Duration)>,
    registered_until: Option<Duration>,
    home: Home,
    replaced: bool,
}

impl HostLink {
    /// The link of a process that starts at `now` and may turn to any of `relays`. `started` is the
    /// host's calendar time in seconds; see [`Heartbeat::started`].
    #[must_use]
    pub fn new(
        host: HostName,
        incarnation: Incarnation,
        started: u64,
        profile: Profile,
        relays: Vec<RelayAddress>,
        timing: Timing,
        now: Duration,
    ) -> Self {
        let relays = ranked(&host, &profile.domain, relays);
        Self {
            timing,
            next: Heartbeat {
                host,
                incarnation,
                started,
                attach: 0,
                seq: 0,
                config: 0,
                leaving: false,
                profile_version: 1,
                profile: None,
            },
            profile,
            is_profile_known: false,
            relays,
            current: None,
            beat_at: now,
            heard: now,
            sendings: VecDeque::new(),
            registered_until: None,
            home: Home {
                wait: timing.failback_after,
                since: now,
                answered: 0,
                asked: false,
            },
            replaced: false,
        }
    }

    /// Changes what the host says about itself.
    pub fn set_profile(&mut self, profile: Profile) {
        if profile != self.profile {
            self.profile = profile;
            self.next.profile_version += 1;
            self.is_profile_known = false;
        }
    }

    /// Notes the configuration that the host has in force.
    pub fn set_config(&mut self, number: u64) {
        assert!(
            number >= self.next.config,
            "configuration of this host goes back from {} to {number}",
            self.next.config
        );
        self.next.config = number;
    }

    /// Announces that the host is leaving; the next heartbeat says so.
    pub fn announce_leaving(&mut self) {
        self.next.leaving = true;
        self.beat_at = Duration::ZERO;
    }

    /// The relay that the host has turned to.
    #[must_use]
    pub fn relay(&self) -> Option<&RelayAddress> {
        self.relays.get(self.current?)
    }

    /// Whether a relay surely still lists this host at `now`.
    #[must_use]
    pub fn is_registered(&self, now: Duration) -> bool {
        self.registered_until.is_some_and(|t| now < t)
    }

    /// When to call [`HostLink::poll`] again at the latest.
    #[must_use]
    pub fn next_poll(&self) -> Duration {
        self.beat_at
    }

    /// What to do at `now`.
    pub fn poll(&mut self, now: Duration) -> Vec<LinkAction> {
        if self.replaced {
            return vec![LinkAction::Stop];
        }
        let mut actions = Vec::new();
        if let Some(to) = self.turn(now) {
            self.turn_to(to, now);
            actions.push(LinkAction::ConnectTo(self.relays[to].clone()));
        }
        if self.current.is_none() || now < self.beat_at {
            return actions;
        }
        self.beat_at = now + self.timing.heartbeat;
        actions.push(LinkAction::Heartbeat(self.beat(now)));
        actions.extend(self.probe(now).map(LinkAction::Probe));
        actions
    }

    /// Which relay to turn to now, if to another.
    fn turn(&self, now: Duration) -> Option<usize> {
        if self.relays.is_empty() {
            return None;
        }
        let Some(current) = self.current else {
            return Some(0);
        };
        if self.home.answered >= HOME_PROOF && current != 0 {
            return Some(0);
        }
        let is_silent = now >= self.heard + self.timing.relay_silent_after;
        (is_silent && self.relays.len() > 1).then_some((current + 1) % self.relays.len())
    }

    fn turn_to(&mut self, to: usize, now: Duration) {
        if self.current == Some(0) {
            let stayed = now.saturating_sub(self.home.since);
            let is_flapping = stayed < self.home.wait * 4;
            self.home.wait = match is_flapping {
                true => (self.home.wait * 2).min(self.timing.max_failback_after),
                false => self.timing.failback_after,
            };
        }
        if to == 0 || self.current == Some(0) {
            self.home.since = now;
        }
        self.home.answered = 0;
        self.home.asked = false;
        self.current = Some(to);
        self.next.attach += 1;
        self.is_profile_known = false;
        self.heard = now;
        self.beat_at = now;
        self.sendings.clear();
    }

    fn beat(&mut self, now: Duration) -> Heartbeat {
        self.next.seq += 1;
        self.sendings.push_back((self.next.seq, now));
        if self.sendings.len() > KEPT_SENDINGS {
            self.sendings.pop_front();
        }
        let profile = (!self.is_profile_known).then(|| self.profile.clone());
        Heartbeat {
            profile,
            ..self.next.clone()
        }
    }

    /// The own relay, when it is time to ask whether it is back.
    fn probe(&mut self, now: Duration) -> Option<RelayAddress> {
        let home = self.relays.first()?;
        let is_away = self.current.is_some_and(|c| c != 0);
        let has_home = home.domain == self.profile.domain;
        if !is_away || !has_home || now < self.home.since + self.home.wait {
            return None;
        }
        if self.home.asked {
            self.home.answered = 0;
        }
        self.home.asked = true;
        Some(home.clone())
    }

    /// Takes the answer to a probe.
    pub fn on_probe_reply(&mut self, from: &HostName) {
        let is_home = self.relays.first().is_some_and(|r| r.host == *from);
        if is_home && self.home.asked {
            self.home.asked = false;
            self.home.answered += 1;
        }
    }

    /// Takes the reply of the relay `from` to a heartbeat.
    pub fn on_reply(&mut self, now: Duration, from: &HostName, reply: &HeartbeatReply) {
        if self.relay().is_none_or(|r| r.host != *from) {
            return;
        }
        match reply {
            HeartbeatReply::Replaced => self.replaced = true,
            HeartbeatReply::Accepted {
                seq,
                profile_version,
                ..
            } => {
                self.heard = now;
                self.is_profile_known = *profile_version == Some(self.next.profile_version);
                let sent = self.sendings.iter().find(|(s, _)| s == seq);
                let until = sent.map(|(_, t)| *t + self.timing.silent_after);
                self.registered_until = self.registered_until.max(until);
            }
        }
    }
}
