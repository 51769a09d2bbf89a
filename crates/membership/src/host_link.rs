//! The heartbeats of a host, and the choice of the relay that receives them.
//!
//! When a relay stops replying, the hosts of its failure domain fail over to the other relays, each
//! in its own order so that they spread. A host fails back only after several consecutive replies
//! to probes of its preferred relay, and waits longer if the last stay there was short. This guards
//! against hosts that move back and forth every few seconds when a relay is behind a lossy link.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootnotch_types::{HostName, Incarnation};

use crate::relay_address::sort_by_preference;
use crate::{Heartbeat, HeartbeatReply, Profile, RelayAddress, Timing};

/// Consecutive replies to probes of the preferred relay that are needed to fail back.
const FAILBACK_PROBES: u32 = 3;

/// Number of recent heartbeats whose send times are kept, to compute the end of the registration.
const MAX_SENT_TIMES: usize = 16;

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to this relay instead of the previous one; later heartbeats go to it.
    ConnectTo(RelayAddress),
    /// Send a heartbeat to the current relay.
    Heartbeat(Heartbeat),
    /// Send an empty request to this relay, to check whether it is reachable again.
    Probe(RelayAddress),
    /// A later run of this host has registered: stop.
    Stop,
}

/// State of the return to the preferred relay.
#[derive(Debug, Clone, Copy)]
struct Failback {
    wait: Duration,
    since: Duration,
    answered: u32,
    is_probe_pending: bool,
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
/// let host = HostName::new("entry-1")?;
/// let mut link =
///     HostLink::new(host, Incarnation(7), 0, profile, vec![relay], Timing::DEFAULT, now);
/// let actions = link.poll(now);
/// assert!(matches!(actions[..], [LinkAction::ConnectTo(_), LinkAction::Heartbeat(_)]));
/// assert_eq!(link.next_poll(), now + Timing::DEFAULT.heartbeat_interval);
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct HostLink {
    timing: Timing,
    template: Heartbeat,
    profile: Profile,
    is_profile_confirmed: bool,
    relays: Vec<RelayAddress>,
    current: Option<usize>,
    heartbeat_due: Duration,
    last_contact: Duration,
    sent_times: VecDeque<(u64, Duration)>,
    registered_until: Option<Duration>,
    failback: Failback,
    replaced: bool,
}

impl HostLink {
    /// Creates the link of a process that starts at `now` and can connect to any of `relays`.
    /// `started` is the host's wall clock in seconds; see [`Heartbeat::started`].
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
        let relays = sort_by_preference(&host, &profile.domain, relays);
        Self {
            timing,
            template: Heartbeat {
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
            is_profile_confirmed: false,
            relays,
            current: None,
            heartbeat_due: now,
            last_contact: now,
            sent_times: VecDeque::new(),
            registered_until: None,
            failback: Failback {
                wait: timing.failback_after,
                since: now,
                answered: 0,
                is_probe_pending: false,
            },
            replaced: false,
        }
    }

    /// Replaces the profile of the host.
    pub fn set_profile(&mut self, profile: Profile) {
        if profile != self.profile {
            self.profile = profile;
            self.template.profile_version += 1;
            self.is_profile_confirmed = false;
        }
    }

    /// Sets the number of the configuration in force at the host.
    ///
    /// # Panics
    /// Panics if the number decreases.
    pub fn set_config(&mut self, number: u64) {
        assert!(
            number >= self.template.config,
            "configuration of this host decreases from {} to {number}",
            self.template.config
        );
        self.template.config = number;
    }

    /// Marks the host as leaving, and makes the next heartbeat due at once.
    pub fn announce_leaving(&mut self) {
        self.template.leaving = true;
        self.heartbeat_due = Duration::ZERO;
    }

    /// The current relay.
    #[must_use]
    pub fn relay(&self) -> Option<&RelayAddress> {
        self.relays.get(self.current?)
    }

    /// Whether a relay is guaranteed to list this host at `now`.
    #[must_use]
    pub fn is_registered(&self, now: Duration) -> bool {
        self.registered_until.is_some_and(|t| now < t)
    }

    /// The latest time of the next call of [`HostLink::poll`].
    #[must_use]
    pub fn next_poll(&self) -> Duration {
        self.heartbeat_due
    }

    /// The actions due at `now`.
    pub fn poll(&mut self, now: Duration) -> Vec<LinkAction> {
        if self.replaced {
            return vec![LinkAction::Stop];
        }
        let mut actions = Vec::new();
        if let Some(to) = self.choose_relay(now) {
            self.connect_to(to, now);
            actions.push(LinkAction::ConnectTo(self.relays[to].clone()));
        }
        if self.current.is_none() || now < self.heartbeat_due {
            return actions;
        }
        self.heartbeat_due = now + self.timing.heartbeat_interval;
        actions.push(LinkAction::Heartbeat(self.next_heartbeat(now)));
        actions.extend(self.probe(now).map(LinkAction::Probe));
        actions
    }

    /// Index of the relay to connect to, if it should change.
    fn choose_relay(&self, now: Duration) -> Option<usize> {
        if self.relays.is_empty() {
            return None;
        }
        let Some(current) = self.current else {
            return Some(0);
        };
        if self.failback.answered >= FAILBACK_PROBES && current != 0 {
            return Some(0);
        }
        let is_silent = now >= self.last_contact + self.timing.relay_silent_after;
        (is_silent && self.relays.len() > 1).then_some((current + 1) % self.relays.len())
    }

    fn connect_to(&mut self, to: usize, now: Duration) {
        if self.current == Some(0) {
            let stay = now.saturating_sub(self.failback.since);
            let is_short_stay = stay < self.failback.wait * 4;
            self.failback.wait = match is_short_stay {
                true => (self.failback.wait * 2).min(self.timing.max_failback_after),
                false => self.timing.failback_after,
            };
        }
        if to == 0 || self.current == Some(0) {
            self.failback.since = now;
        }
        self.failback.answered = 0;
        self.failback.is_probe_pending = false;
        self.current = Some(to);
        self.template.attach += 1;
        self.is_profile_confirmed = false;
        self.last_contact = now;
        self.heartbeat_due = now;
        self.sent_times.clear();
    }

    fn next_heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.template.seq += 1;
        self.sent_times.push_back((self.template.seq, now));
        if self.sent_times.len() > MAX_SENT_TIMES {
            self.sent_times.pop_front();
        }
        let profile = (!self.is_profile_confirmed).then(|| self.profile.clone());
        Heartbeat {
            profile,
            ..self.template.clone()
        }
    }

    /// The preferred relay, if a probe of it is due.
    fn probe(&mut self, now: Duration) -> Option<RelayAddress> {
        let preferred = self.relays.first()?;
        let is_failed_over = self.current.is_some_and(|c| c != 0);
        let has_local_relay = preferred.domain == self.profile.domain;
        if !is_failed_over || !has_local_relay || now < self.failback.since + self.failback.wait {
            return None;
        }
        if self.failback.is_probe_pending {
            self.failback.answered = 0;
        }
        self.failback.is_probe_pending = true;
        Some(preferred.clone())
    }

    /// Handles the reply of the relay `from` to a probe.
    pub fn on_probe_reply(&mut self, from: &HostName) {
        let is_preferred = self.relays.first().is_some_and(|r| r.host == *from);
        if is_preferred && self.failback.is_probe_pending {
            self.failback.is_probe_pending = false;
            self.failback.answered += 1;
        }
    }

    /// Handles the reply of the relay `from` to a heartbeat.
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
                self.last_contact = now;
                self.is_profile_confirmed = *profile_version == Some(self.template.profile_version);
                let sent = self.sent_times.iter().find(|(s, _)| s == seq);
                let until = sent.map(|(_, t)| *t + self.timing.silent_after);
                self.registered_until = self.registered_until.max(until);
            }
        }
    }
}
