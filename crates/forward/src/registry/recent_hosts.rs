//! Control hosts that upstreams may have announced themselves to lately.

use std::collections::BTreeMap;
use std::time::Duration;

use super::VERSION_RETENTION;

/// The other control hosts, by member identity, with the time at which each was connected last.
///
/// A host that lost its disk comes back as another member, and so counts twice for a time: what it knew is lost.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::registry::RecentHosts;
/// let at = Duration::from_secs;
/// let mut hosts = RecentHosts::default();
/// hosts.update(at(0), ["a", "b"], ["a"]);
/// assert!(hosts.recent(at(0)).eq(&["a", "b"]), "b may have run until now");
/// hosts.update(at(70), ["a", "b"], ["a"]);
/// assert!(hosts.recent(at(70)).eq(&["a"]));
/// ```
#[derive(Debug, Clone)]
pub struct RecentHosts<M> {
    /// When each was connected last; that of a member that was never connected is when it became known.
    last_seen: BTreeMap<M, Duration>,
}

impl<M> Default for RecentHosts<M> {
    fn default() -> Self {
        Self {
            last_seen: BTreeMap::new(),
        }
    }
}

impl<M: Ord> RecentHosts<M> {
    /// Records the members of the group, and the hosts that are connected now, whether members or not.
    pub fn update(
        &mut self,
        now: Duration,
        members: impl IntoIterator<Item = M>,
        connected: impl IntoIterator<Item = M>,
    ) {
        for member in members {
            self.last_seen.entry(member).or_insert(now);
        }
        for host in connected {
            self.last_seen.insert(host, now);
        }
    }

    /// The hosts that were connected within the retention period of versions.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = &M> {
        let is_recent = move |seen: &Duration| now.saturating_sub(*seen) < VERSION_RETENTION;
        let recent = self
            .last_seen
            .iter()
            .filter(move |(_, seen)| is_recent(seen));
        recent.map(|(host, _)| host)
    }
}
