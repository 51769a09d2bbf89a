//! Every upstream that announced itself, and what of it still holds.
//!
//! Announcements are late, doubled, overtaken and forged. Three rules keep the book right:
//!
//! - Of one identity the later run holds, and within a run the higher sequence. An announcement that
//!   a partition held up, of a run that has crashed since, changes nothing.
//! - At one address only the run with the latest start holds: addresses are given to upstreams of
//!   other services after a while, and work for the old service must not reach the new one.
//! - Leaving is remembered, so that a late announcement does not bring the run back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Announcement, Stage, Upstream};

/// How long it is remembered that a run has left. Announcements have been seen seconds late; a
/// minute covers a partition of that length.
const REMEMBER_LEFT: Duration = Duration::from_secs(60);

/// How long announcements may be late. Where leaving names no run, one that comes within this time is
/// taken for a late one of the run that left.
const LATE_WORDS: Duration = Duration::from_secs(5);

/// Most upstreams kept. Six hundred are planned for; more than ten times that are made up.
const MAX_UPSTREAMS: usize = 8_192;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Nothing: it is late, or of a run that has ended.
    Stale,
    /// Only that the upstream lives.
    Alive,
    /// The upstream is new, or says something else than before.
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
/// assert_eq!(book.take(Duration::ZERO, said), News::Stale, "the same once more");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct UpstreamBook {
    by_id: BTreeMap<Arc<str>, Upstream>,
    left: BTreeMap<Arc<str>, Leaving>,
}

/// That an upstream has left.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    born_ms: Option<u64>,
    at: Duration,
}

impl UpstreamBook {
    /// Takes an announcement in.
    pub fn take(&mut self, now: Duration, said: Announcement) -> News {
        if self.has_left(now, &said) {
            return News::Stale;
        }
        let known = self.by_id.get(&said.id);
        if known.is_some_and(|k| !is_later(&said, &k.said)) {
            return News::Stale;
        }
        if known.is_none() && self.by_id.len() >= MAX_UPSTREAMS {
            return News::Stale;
        }
        if self.has_later_at_address(&said) {
            return News::Stale;
        }
        let news = match known {
            Some(known) if same_but_for_number(&known.said, &said) => News::Alive,
            _ => News::Changed,
        };
        self.end_earlier_at_address(&said);
        let upstream = Upstream { said, heard: now };
        self.by_id.insert(upstream.said.id.clone(), upstream);
        news
    }

    /// The upstream with the identity still lives, by its announcement `sequence` of the run.
    pub fn sign(&mut self, now: Duration, id: &str, born_ms: u64, sequence: u64) {
        let Some(known) = self.by_id.get_mut(id) else {
            return;
        };
        let is_it = known.said.born_ms == born_ms && known.said.stage != Stage::Left;
        if is_it && sequence > known.said.sequence {
            known.said.sequence = sequence;
            known.heard = now;
        }
    }

    /// The upstream leaves by its own word, also one that was never heard of: it may have announced
    /// itself elsewhere. Whether that holds; it does not for an earlier run than the known.
    pub fn leave(&mut self, now: Duration, id: &str, born_ms: Option<u64>) -> bool {
        if let Some(known) = self.by_id.get_mut(id) {
            if born_ms.is_some_and(|born| born < known.said.born_ms) {
                return false;
            }
            known.said.stage = Stage::Left;
            known.heard = now;
        }
        if self.left.len() < MAX_UPSTREAMS {
            self.left.insert(id.into(), Leaving { born_ms, at: now });
        }
        true
    }

    /// Who has left by its own word, with the run where it was named.
    pub fn left(&self) -> impl Iterator<Item = (&str, Option<u64>)> {
        self.left.iter().map(|(id, left)| (&**id, left.born_ms))
    }

    /// Whether an announcement is of a run that has left.
    fn has_left(&self, now: Duration, said: &Announcement) -> bool {
        let Some(left) = self.left.get(&said.id) else {
            return false;
        };
        match left.born_ms {
            Some(born) => said.born_ms <= born,
            None => now.saturating_sub(left.at) < LATE_WORDS,
        }
    }

    /// The upstream with the identity, whatever its stage.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.by_id.get(id)
    }

    /// All upstreams, those that have left included.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.by_id.values()
    }

    /// The upstreams of `service` that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let is_ready =
            move |u: &&Upstream| u.said.stage == Stage::Ready && &*u.said.service == service;
        self.by_id.values().filter(is_ready)
    }

    /// Drops upstreams that were not heard of for `silence`, and runs that left long ago. Returns
    /// those that fell silent.
    pub fn expire(&mut self, now: Duration, silence: Duration) -> Vec<Announcement> {
        self.left
            .retain(|_, left| now.saturating_sub(left.at) < REMEMBER_LEFT);
        let mut silent = Vec::new();
        self.by_id.retain(|_, u| {
            let quiet = now.saturating_sub(u.heard);
            if u.said.stage == Stage::Left {
                return quiet < REMEMBER_LEFT;
            }
            if quiet >= silence {
                silent.push(u.said.clone());
            }
            quiet < silence
        });
        silent
    }

    fn has_later_at_address(&self, said: &Announcement) -> bool {
        let same_place = |u: &&Upstream| u.said.address == said.address && u.said.id != said.id;
        let mut there = self.by_id.values().filter(same_place);
        there.any(|u| u.said.born_ms > said.born_ms)
    }

    fn end_earlier_at_address(&mut self, said: &Announcement) {
        for other in self.by_id.values_mut() {
            if other.said.address == said.address && other.said.id != said.id {
                other.said.stage = Stage::Left;
            }
        }
    }
}

/// Whether `said` comes after `known` of the same identity. A run that left stays so.
fn is_later(said: &Announcement, known: &Announcement) -> bool {
    if said.born_ms != known.born_ms {
        return said.born_ms > known.born_ms;
    }
    // Who is leaving never becomes ready again within the run; the word may overtake itself.
    let advances = said.stage > known.stage;
    let goes_back = said.stage < known.stage;
    advances || (!goes_back && said.sequence > known.sequence)
}

fn same_but_for_number(known: &Announcement, said: &Announcement) -> bool {
    let renumbered = Announcement {
        sequence: known.sequence,
        warming: known.warming,
        ..said.clone()
    };
    renumbered == *known
}
