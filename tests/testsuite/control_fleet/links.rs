//! Connections between simulated control hosts.

use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a connection is given up, as in the daemon.
const SILENCE_MS: u64 = 2_000;

/// A connection between two processes.
struct Link {
    /// When the ends last heard each other, in milliseconds.
    heard_ms: u64,
    /// The runs of the processes at its ends; later processes of the hosts can't use it.
    runs: (u64, u64),
}

/// Connections between simulated control hosts, and ways on which nothing arrives.
#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<(usize, usize), Link>,
    cut: BTreeSet<(usize, usize)>,
}

/// A host as seen by its connections.
#[derive(Clone, Copy)]
pub(crate) struct End {
    pub(crate) place: usize,
    /// The run of its process; none while it does nothing.
    pub(crate) run: Option<u64>,
}

impl Links {
    /// Makes a connection where there is none that works; whether it did.
    pub(crate) fn connect(&mut self, now_ms: u64, a: End, b: End) -> bool {
        let Some(runs) = self.reach(a, b) else {
            return false;
        };
        let heard_ms = now_ms;
        let before = self.links.insert(key(a, b), Link { heard_ms, runs });
        before.is_none_or(|link| link.runs != runs)
    }

    /// Whether messages pass between two processes.
    pub(crate) fn works(&self, a: End, b: End) -> bool {
        let link = self.links.get(&key(a, b));
        link.is_some_and(|link| self.reach(a, b) == Some(link.runs))
    }

    /// Notes whether the ends hear each other; whether the connection is given up now.
    pub(crate) fn watch(&mut self, now_ms: u64, a: End, b: End) -> bool {
        let works = self.works(a, b);
        let Some(link) = self.links.get_mut(&key(a, b)) else {
            return false;
        };
        if works {
            link.heard_ms = now_ms;
        }
        now_ms >= link.heard_ms + SILENCE_MS && self.drop_link(a.place, b.place)
    }

    /// Ends a connection; whether there was one.
    pub(crate) fn drop_link(&mut self, a: usize, b: usize) -> bool {
        self.links.remove(&(a.min(b), a.max(b))).is_some()
    }

    /// Nothing arrives from `from` at `to`.
    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Ends the cuts around a host.
    pub(crate) fn heal(&mut self, place: usize) {
        self.cut.retain(|(from, to)| *from != place && *to != place);
    }

    /// Whether anything arrives from `from` at `to`.
    pub(crate) fn is_open(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// The runs of two processes that hear each other.
    fn reach(&self, a: End, b: End) -> Option<(u64, u64)> {
        let (low, high) = if a.place < b.place { (a, b) } else { (b, a) };
        let open = self.is_open(a.place, b.place) && self.is_open(b.place, a.place);
        let runs = (low.run?, high.run?);
        open.then_some(runs)
    }
}

fn key(a: End, b: End) -> (usize, usize) {
    (a.place.min(b.place), a.place.max(b.place))
}
