//! Connections between simulated control hosts.

use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a connection is closed, as in the daemon.
const SILENCE_MS: u64 = 2_000;

/// A connection between two processes.
struct Link {
    /// Time of the last contact, in milliseconds.
    last_contact_ms: u64,
    /// The runs of the processes at its endpoints; later runs can't use it.
    runs: (u64, u64),
}

/// Connections between simulated control hosts, and network partitions.
#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<(usize, usize), Link>,
    cut: BTreeSet<(usize, usize)>,
}

/// A host as the endpoint of connections.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub(crate) place: usize,
    /// The run of its process; none while it is paused or stopped.
    pub(crate) run: Option<u64>,
}

impl Links {
    /// Opens a connection unless one is up; returns whether it did.
    pub(crate) fn connect(&mut self, now_ms: u64, a: Endpoint, b: Endpoint) -> bool {
        let Some(runs) = self.runs_if_reachable(a, b) else {
            return false;
        };
        let last_contact_ms = now_ms;
        let before = self.links.insert(
            key(a, b),
            Link {
                last_contact_ms,
                runs,
            },
        );
        before.is_none_or(|link| link.runs != runs)
    }

    /// Whether messages are delivered between two processes.
    pub(crate) fn is_up(&self, a: Endpoint, b: Endpoint) -> bool {
        let link = self.links.get(&key(a, b));
        link.is_some_and(|link| self.runs_if_reachable(a, b) == Some(link.runs))
    }

    /// Records contact between the endpoints; returns whether the connection times out now.
    pub(crate) fn check(&mut self, now_ms: u64, a: Endpoint, b: Endpoint) -> bool {
        let is_up = self.is_up(a, b);
        let Some(link) = self.links.get_mut(&key(a, b)) else {
            return false;
        };
        if is_up {
            link.last_contact_ms = now_ms;
        }
        now_ms >= link.last_contact_ms + SILENCE_MS && self.drop_link(a.place, b.place)
    }

    /// Closes a connection; returns whether there was one.
    pub(crate) fn drop_link(&mut self, a: usize, b: usize) -> bool {
        self.links.remove(&(a.min(b), a.max(b))).is_some()
    }

    /// Drops all messages from `from` to `to`.
    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Ends all partitions of a host.
    pub(crate) fn heal(&mut self, place: usize) {
        self.cut.retain(|(from, to)| *from != place && *to != place);
    }

    /// Whether messages from `from` reach `to`.
    pub(crate) fn is_open(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// The runs of two processes that can reach each other.
    fn runs_if_reachable(&self, a: Endpoint, b: Endpoint) -> Option<(u64, u64)> {
        let (low, high) = if a.place < b.place { (a, b) } else { (b, a) };
        let open = self.is_open(a.place, b.place) && self.is_open(b.place, a.place);
        let runs = (low.run?, high.run?);
        open.then_some(runs)
    }
}

fn key(a: Endpoint, b: Endpoint) -> (usize, usize) {
    (a.place.min(b.place), a.place.max(b.place))
}
