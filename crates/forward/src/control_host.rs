//! Choice of the control host that answers a forwarding entry and sums its reports.
//!
//! If all entries of a large fleet use the same host, it spends all of its time on them and their
//! reports become old. Entries therefore spread over the hosts: each ranks them by a hash that
//! differs between entries, those of its own failure domain first, which keeps most traffic inside
//! the domain. A host that does not answer is replaced by the next in the order. Its entries return to
//! it when it connects again, and try it again after a while: no host answers during an election,
//! which would otherwise leave all entries at other hosts, outside their domains.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::place::distance;

/// Rank of a control host at an entry; the least one is preferred.
type Rank = (bool, u64, Arc<str>);

/// The connected control hosts and the one in use. `K` identifies a connection.
///
/// ```
/// use coltsfootnotch_forward::control_host::ControlHostSelector;
/// let mut selector = ControlHostSelector::new("colombo", 7);
/// selector.add_link("a", "gampaha", 1);
/// selector.add_link("b", "colombo", 2);
/// assert_eq!(selector.selected(), Some(2), "of its own failure domain");
/// selector.on_timeout();
/// assert_eq!(selector.selected(), Some(1), "the next");
/// ```
#[derive(Debug, Clone)]
pub struct ControlHostSelector<K> {
    domain: Arc<str>,
    key: u64,
    links: BTreeMap<K, Rank>,
    selected: Option<K>,
}

impl<K: Copy + Ord> ControlHostSelector<K> {
    /// Creates the selector of an entry in `domain`, without connections; `key` differs between entries.
    #[must_use]
    pub fn new(domain: &str, key: u64) -> Self {
        Self {
            domain: domain.into(),
            key,
            links: BTreeMap::new(),
            selected: None,
        }
    }

    /// Adds the connection to a control host in `domain`, unless it is known. Returns whether the host in
    /// use changed.
    pub fn add_link(&mut self, host: &str, domain: &str, link: K) -> bool {
        if self.links.contains_key(&link) {
            return false;
        }
        // Positive numbers have the order of their bits.
        let order = distance(self.key, host).to_bits();
        let rank = (domain != &*self.domain, order, Arc::from(host));
        let selected = self.selected.and_then(|link| self.links.get(&link));
        let is_preferred = selected.is_none_or(|selected| rank < *selected);
        self.links.insert(link, rank);
        if is_preferred {
            self.selected = Some(link);
        }
        is_preferred
    }

    /// Removes a connection that was closed. Returns whether the host in use changed.
    pub fn remove_link(&mut self, link: K) -> bool {
        self.links.remove(&link);
        let was_selected = self.selected == Some(link);
        if was_selected {
            self.selected = self.first();
        }
        was_selected
    }

    /// The host in use did not answer: changes to the next in the order, after the last to the first.
    pub fn on_timeout(&mut self) {
        let Some(timed_out) = self.selected else {
            return;
        };
        let rank = |link: K| self.links.get(&link).map(|rank| (rank, link));
        let links = self.links.keys().copied();
        let later = links.filter(|link| rank(*link) > rank(timed_out));
        let next = later.min_by_key(|link| rank(*link));
        self.selected = next.or_else(|| self.first());
    }

    /// Changes to the first host in the order. Returns whether another one was in use.
    pub fn return_to_first(&mut self) -> bool {
        let first = self.first();
        std::mem::replace(&mut self.selected, first) != first
    }

    /// The connection to the host in use.
    #[must_use]
    pub fn selected(&self) -> Option<K> {
        self.selected
    }

    fn first(&self) -> Option<K> {
        let first = self.links.iter().min_by_key(|(link, rank)| (*rank, *link));
        first.map(|(link, _)| *link)
    }
}
