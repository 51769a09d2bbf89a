//! Choice of the control host that answers a forwarding entry and aggregates the reports of all
//! entries.
//!
//! Entries with different control hosts see each other's load half a second late and overfill the
//! same engines. All entries therefore use the first host by name that is connected and able to
//! answer, whatever the order of connections. One that does not answer is replaced by the next by
//! name.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The connected control hosts and the one in use. `K` identifies a connection.
///
/// ```
/// use coltsfootnotch_forward::control_host::ControlHostSelector;
/// let mut selector = ControlHostSelector::default();
/// selector.add_link("b", 1);
/// selector.add_link("a", 2);
/// assert_eq!(selector.selected(), Some(2));
/// selector.on_timeout();
/// assert_eq!(selector.selected(), Some(1), "the next by name");
/// ```
#[derive(Debug, Clone)]
pub struct ControlHostSelector<K> {
    links: BTreeMap<K, Arc<str>>,
    selected: Option<K>,
}

impl<K> Default for ControlHostSelector<K> {
    fn default() -> Self {
        Self {
            links: BTreeMap::new(),
            selected: None,
        }
    }
}

impl<K: Copy + Ord> ControlHostSelector<K> {
    /// Adds the connection to a control host. Returns whether the host in use changed.
    pub fn add_link(&mut self, host: &str, link: K) -> bool {
        self.links.insert(link, host.into());
        let is_earlier = match self.selected.and_then(|link| self.links.get(&link)) {
            Some(selected) => host < &**selected,
            None => true,
        };
        if is_earlier {
            self.selected = Some(link);
        }
        is_earlier
    }

    /// Removes a connection that was closed or whose host cannot answer. Returns whether the host
    /// in use changed.
    pub fn remove_link(&mut self, link: K) -> bool {
        self.links.remove(&link);
        let was_selected = self.selected == Some(link);
        if was_selected {
            self.selected = self.first();
        }
        was_selected
    }

    /// The host in use did not answer: changes to the next by name, after the last to the first.
    pub fn on_timeout(&mut self) {
        let Some(timed_out) = self.selected else {
            return;
        };
        let name = |link: K| self.links.get(&link).map(|host| (&**host, link));
        let later = self
            .links
            .keys()
            .copied()
            .filter(|k| name(*k) > name(timed_out));
        let next = later.min_by_key(|k| name(*k));
        self.selected = next.or_else(|| self.first());
    }

    /// The connection to the host in use.
    #[must_use]
    pub fn selected(&self) -> Option<K> {
        self.selected
    }

    /// The connections to the other hosts.
    pub fn others(&self) -> impl Iterator<Item = K> {
        let links = self.links.keys().copied();
        links.filter(|link| self.selected != Some(*link))
    }

    fn first(&self) -> Option<K> {
        let first = self.links.iter().min_by_key(|(link, host)| (*host, *link));
        first.map(|(link, _)| *link)
    }
}
