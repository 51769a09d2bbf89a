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

/// Most upstreams in the registry; bounds its memory against forged identities.
const MAX_UPSTREAMS: usize = 8_192;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Nothing: it is out of date, or of a run that has ended.
    Stale,
    /// Only the time of last contact.
    Alive,
    /// The upstream is new, or its announcement differs from the previous one.
    Changed,
}

/// Every upstream that announced itself.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::book::{Announcement, News, Stage, UpstreamBook};
/// let said = Announcement {
///     id: "spec-1".into(),
///     born_ms: 5,
///     sequence: 1,
///     service: "spec".into(),
///     address: "127.0.0.1:80".parse()?,
///     domain: "colombo".into(),
///     slots: 64,
///     stage: Stage::Ready,
///     warming: Duration::ZERO,
/// };
/// let mut book = UpstreamBook::default();
/// assert_eq!(book.take(Duration::ZERO, said.clone()), News::Changed);
/// assert_eq!(book.take(Duration::ZERO, said), News::Stale, "a duplicate");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct UpstreamBook {
    by_id: BTreeMap<Arc<str>, Upstream>,
    left: BTreeMap<Arc<str>, Departure>,
}

/// The departure of an upstream; without a start time if no run was named.
#[derive(Debug, Clone, Copy)]
struct Departure {
    born_ms: Option<u64>,
    at: Duration,
}

impl UpstreamBook {
    /// Applies an announcement.
    pub fn take(&mut self, now: Duration, said: Announcement) -> News {
        if self.is_of_departed_run(now, &said) {
            return News::Stale;
        }
        let current = self.by_id.get(&said.id);
        if current.is_some_and(|k| !is_later(&said, &k.said)) {
            return News::Stale;
        }
        if current.is_none() && self.by_id.len() >= MAX_UPSTREAMS {
            return News::Stale;
        }
        if self.has_later_run_at_address(&said) {
            return News::Stale;
        }
        let news = match current {
            Some(current) if is_repeat(&current.said, &said) => News::Alive,
            _ => News::Changed,
        };
        self.retire_earlier_at_address(&said);
        let upstream = Upstream { said, heard: now };
        self.by_id.insert(upstream.said.id.clone(), upstream);
        news
    }

    /// Records a keep-alive of the upstream, numbered `sequence` within its run.
    pub fn sign(&mut self, now: Duration, id: &str, born_ms: u64, sequence: u64) {
        let Some(current) = self.by_id.get_mut(id) else {
            return;
        };
        let is_it = current.said.born_ms == born_ms && current.said.stage != Stage::Left;
        if is_it && sequence > current.said.sequence {
            current.said.sequence = sequence;
            current.heard = now;
        }
    }

    /// Records that the upstream leaves, also if it is not in the registry: it may have announced
    /// itself to another host. Returns false if an earlier run than the current one is named.
    pub fn leave(&mut self, now: Duration, id: &str, born_ms: Option<u64>) -> bool {
        if let Some(current) = self.by_id.get_mut(id) {
            if born_ms.is_some_and(|born| born < current.said.born_ms) {
                return false;
            }
            current.said.stage = Stage::Left;
            current.heard = now;
        }
        if self.left.len() < MAX_UPSTREAMS {
            self.left.insert(id.into(), Departure { born_ms, at: now });
        }
        true
    }

    /// Upstreams that announced that they leave, with the start of the run where it was named.
    pub fn left(&self) -> impl Iterator<Item = (&str, Option<u64>)> {
        self.left.iter().map(|(id, left)| (&**id, left.born_ms))
    }

    /// Whether an announcement belongs to a run that has left.
    fn is_of_departed_run(&self, now: Duration, said: &Announcement) -> bool {
        let Some(left) = self.left.get(&said.id) else {
            return false;
        };
        match left.born_ms {
            Some(born) => said.born_ms <= born,
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
        let is_ready =
            move |u: &&Upstream| u.said.stage == Stage::Ready && &*u.said.service == service;
        self.by_id.values().filter(is_ready)
    }

    /// Removes upstreams without contact for `silence`, and departures past their retention.
    /// Returns the upstreams removed for silence.
    pub fn expire(&mut self, now: Duration, silence: Duration) -> Vec<Announcement> {
        self.left
            .retain(|_, left| now.saturating_sub(left.at) < DEPARTURE_RETENTION);
        let mut silent = Vec::new();
        self.by_id.retain(|_, u| {
            let idle = now.saturating_sub(u.heard);
            if u.said.stage == Stage::Left {
                return idle < DEPARTURE_RETENTION;
            }
            if idle >= silence {
                silent.push(u.said.clone());
            }
            idle < silence
        });
        silent
    }

    fn has_later_run_at_address(&self, said: &Announcement) -> bool {
        let same_address = |u: &&Upstream| u.said.address == said.address && u.said.id != said.id;
        let mut at_address = self.by_id.values().filter(same_address);
        at_address.any(|u| u.said.born_ms > said.born_ms)
    }

    fn retire_earlier_at_address(&mut self, said: &Announcement) {
        for other in self.by_id.values_mut() {
            if other.said.address == said.address && other.said.id != said.id {
                other.said.stage = Stage::Left;
            }
        }
    }
}

/// Whether `announced` supersedes `current` of the same identity.
fn is_later(said: &Announcement, current: &Announcement) -> bool {
    if said.born_ms != current.born_ms {
        return said.born_ms > current.born_ms;
    }
    // A run that is leaving never becomes ready again; announcements may be reordered.
    let advances = said.stage > current.stage;
    let goes_back = said.stage < current.stage;
    advances || (!goes_back && said.sequence > current.sequence)
}

fn is_repeat(current: &Announcement, said: &Announcement) -> bool {
    let renumbered = Announcement {
        sequence: current.sequence,
        warming: current.warming,
        ..said.clone()
    };
    renumbered == *current
}
