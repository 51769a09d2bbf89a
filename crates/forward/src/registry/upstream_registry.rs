//! The registry of announced upstreams.
//!
//! Announcements may be late, duplicated, reordered or forged. Three rules keep the registry
//! correct:
//!
//! - Of one identity the latest run counts, and within a run the highest sequence. A delayed
//!   announcement of a run that has crashed changes nothing.
//! - At one address only the run with the latest start counts: addresses are reused by upstreams of
//!   other services, and requests for the old service must not reach the new one.
//! - Departures are remembered, so that a late announcement does not bring the run back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Announcement, Stage, Upstream};

/// How long a departure is remembered; covers announcements held up by a partition for as long.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Longest expected delay of an announcement. After a departure that names no run, announcements
/// received within this time count as late ones of the departed run.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(5);

/// Time for which a version is remembered after its last upstream was heard of; longer than callers wait for a stream
/// that it began.
pub const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Most upstreams in the registry; bounds its memory against forged identities.
const MAX_UPSTREAMS: usize = 8_192;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// Nothing: it is out of date, or of a run that has ended.
    Stale,
    /// Only the time of last contact.
    Refreshed,
    /// The upstream is new, or its announcement differs from the previous one.
    Changed,
}

/// The upstreams that announced themselves.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate, Stage, UpstreamRegistry};
/// let announcement = Announcement {
///     id: "spec-1".into(),
///     born_ms: 5,
///     sequence: 1,
///     service: "spec".into(),
///     version: "v1".into(),
///     address: "127.0.0.1:80".parse()?,
///     domain: "colombo".into(),
///     slots: 64,
///     stage: Stage::Ready,
///     warming: Duration::ZERO,
/// };
/// let mut registry = UpstreamRegistry::default();
/// assert_eq!(registry.apply(Duration::ZERO, announcement.clone()), RegistryUpdate::Changed);
/// assert_eq!(registry.apply(Duration::ZERO, announcement), RegistryUpdate::Stale, "a duplicate");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct UpstreamRegistry {
    by_id: BTreeMap<Arc<str>, Upstream>,
    departures: BTreeMap<Arc<str>, Departure>,
    /// Versions of runs that are in the registry no more, by service, and when they were last.
    past_versions: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Duration>>,
}

/// The departure of an upstream; without a start time if no run was named.
#[derive(Debug, Clone, Copy)]
struct Departure {
    born_ms: Option<u64>,
    at: Duration,
}

impl UpstreamRegistry {
    /// Applies an announcement.
    pub fn apply(&mut self, now: Duration, announcement: Announcement) -> RegistryUpdate {
        if self.is_of_departed_run(now, &announcement) {
            return RegistryUpdate::Stale;
        }
        let current = self.by_id.get(&announcement.id);
        if current.is_some_and(|k| !is_later(&announcement, &k.announcement)) {
            return RegistryUpdate::Stale;
        }
        if current.is_none() && self.by_id.len() >= MAX_UPSTREAMS {
            return RegistryUpdate::Stale;
        }
        if self.has_later_run_at_address(&announcement) {
            return RegistryUpdate::Stale;
        }
        let update = match current {
            Some(current) if is_repeat(&current.announcement, &announcement) => {
                RegistryUpdate::Refreshed
            }
            _ => RegistryUpdate::Changed,
        };
        if let Some(previous) = current.map(|c| c.announcement.clone()) {
            self.record_past_version(now, &previous.service, &previous.version);
        }
        self.retire_earlier_at_address(&announcement);
        let upstream = Upstream {
            announcement,
            last_seen: now,
            may_have_restarted: false,
        };
        self.by_id
            .insert(upstream.announcement.id.clone(), upstream);
        update
    }

    /// Records a keep-alive of the upstream, numbered `sequence` within its run.
    pub fn refresh(&mut self, now: Duration, id: &str, born_ms: u64, sequence: u64) {
        let Some(current) = self.by_id.get_mut(id) else {
            return;
        };
        let is_current_run =
            current.announcement.born_ms == born_ms && current.announcement.stage != Stage::Left;
        if is_current_run && sequence > current.announcement.sequence {
            current.announcement.sequence = sequence;
            current.last_seen = now;
            current.may_have_restarted = false;
        }
    }

    /// Records that a connection to a run broke: it may have crashed, and another run may have its identity and
    /// address. Its next announcement ends the suspicion.
    pub fn mark_broken(&mut self, id: &str, born_ms: u64) {
        if let Some(current) = self.by_id.get_mut(id) {
            current.may_have_restarted |= current.announcement.born_ms == born_ms;
        }
    }

    /// Records that the upstream leaves, also if it is not in the registry: it may have announced
    /// itself to another host. Returns false if an earlier run than the current one is named.
    pub fn mark_left(&mut self, now: Duration, id: &str, born_ms: Option<u64>) -> bool {
        if let Some(current) = self.by_id.get_mut(id) {
            if born_ms.is_some_and(|born| born < current.announcement.born_ms) {
                return false;
            }
            current.announcement.stage = Stage::Left;
            current.last_seen = now;
        }
        if self.departures.len() < MAX_UPSTREAMS {
            self.departures
                .insert(id.into(), Departure { born_ms, at: now });
        }
        true
    }

    /// Upstreams that announced that they leave, with the start of the run where it was named.
    pub fn departed(&self) -> impl Iterator<Item = (&str, Option<u64>)> {
        self.departures
            .iter()
            .map(|(id, left)| (&**id, left.born_ms))
    }

    /// Whether an announcement belongs to a run that has left.
    fn is_of_departed_run(&self, now: Duration, announcement: &Announcement) -> bool {
        let Some(left) = self.departures.get(&announcement.id) else {
            return false;
        };
        match left.born_ms {
            Some(born) => announcement.born_ms <= born,
            None => now.saturating_sub(left.at) < MAX_ANNOUNCEMENT_DELAY,
        }
    }

    /// The upstream with the identity, in any stage.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.by_id.get(id)
    }

    /// All upstreams, including those that have left.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.by_id.values()
    }

    /// The upstreams of `service` that accept requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let is_ready = move |u: &&Upstream| {
            u.announcement.stage == Stage::Ready && &*u.announcement.service == service
        };
        self.by_id.values().filter(is_ready)
    }

    /// Removes upstreams without contact for `silence`, and departures past their retention.
    /// Returns the upstreams removed for silence.
    pub fn expire(&mut self, now: Duration, silence: Duration) -> Vec<Announcement> {
        self.departures
            .retain(|_, left| now.saturating_sub(left.at) < DEPARTURE_RETENTION);
        for versions in self.past_versions.values_mut() {
            versions.retain(|_, last| now.saturating_sub(*last) < VERSION_RETENTION);
        }
        self.past_versions
            .retain(|_, versions| !versions.is_empty());
        let mut silent = Vec::new();
        self.by_id.retain(|_, u| {
            let idle = now.saturating_sub(u.last_seen);
            if u.announcement.stage == Stage::Left {
                return idle < DEPARTURE_RETENTION;
            }
            if idle >= silence {
                silent.push(u.announcement.clone());
            }
            idle < silence
        });
        for announcement in &silent {
            self.record_past_version(now, &announcement.service, &announcement.version);
        }
        silent
    }

    /// The versions of the service's upstreams that were announced lately, each at least once.
    pub fn versions<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<str>> {
        let of_service = move |u: &&Upstream| &*u.announcement.service == service;
        let present = self.by_id.values().filter(of_service);
        let past = self.past_versions.get(service).into_iter();
        present
            .map(|u| &u.announcement.version)
            .chain(past.flat_map(BTreeMap::keys))
    }

    /// The version of the service's upstreams, if all that were announced lately have the same.
    #[must_use]
    pub fn sole_version(&self, service: &str) -> Option<Arc<str>> {
        let mut versions = self.versions(service);
        let first = versions.next()?;
        versions
            .all(|version| version == first)
            .then(|| first.clone())
    }

    /// Records that upstreams of a version ran until `now`, of which nothing more is known.
    pub fn record_past_version(&mut self, now: Duration, service: &Arc<str>, version: &Arc<str>) {
        let versions = self.past_versions.entry(service.clone()).or_default();
        versions.insert(version.clone(), now);
    }

    fn has_later_run_at_address(&self, announcement: &Announcement) -> bool {
        let same_address = |u: &&Upstream| {
            u.announcement.address == announcement.address && u.announcement.id != announcement.id
        };
        let mut at_address = self.by_id.values().filter(same_address);
        at_address.any(|u| u.announcement.born_ms > announcement.born_ms)
    }

    fn retire_earlier_at_address(&mut self, announcement: &Announcement) {
        for other in self.by_id.values_mut() {
            if other.announcement.address == announcement.address
                && other.announcement.id != announcement.id
            {
                other.announcement.stage = Stage::Left;
            }
        }
    }
}

/// Whether `announcement` supersedes `current` of the same identity.
fn is_later(announcement: &Announcement, current: &Announcement) -> bool {
    if announcement.born_ms != current.born_ms {
        return announcement.born_ms > current.born_ms;
    }
    // A run that is leaving never becomes ready again; announcements may be reordered.
    let advances = announcement.stage > current.stage;
    let goes_back = announcement.stage < current.stage;
    advances || (!goes_back && announcement.sequence > current.sequence)
}

/// Whether nothing but the sequence and the passing of the warm-up time differs.
fn is_repeat(current: &Announcement, announcement: &Announcement) -> bool {
    if announcement.warming > current.warming {
        return false;
    }
    let renumbered = Announcement {
        sequence: current.sequence,
        warming: current.warming,
        ..announcement.clone()
    };
    renumbered == *current
}
