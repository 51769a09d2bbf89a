//! The directory updates that a relay sends to one host.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{DomainName, HostName, Role};

use crate::{Contact, Directory, HostRecord, ViewDelta};

/// Computes the deltas of one host's view over one connection.
///
/// Each connection needs a new feed, whose first delta is the full view.
#[derive(Debug, Clone)]
pub struct ViewFeed {
    host: HostName,
    domain: DomainName,
    role: Role,
    version: u64,
    directory_version: Option<u64>,
    settled: bool,
    sent: BTreeMap<HostName, Contact>,
}

impl ViewFeed {
    /// Creates a feed for `host` with `role` in `domain` that has sent nothing yet.
    #[must_use]
    pub fn new(host: HostName, domain: DomainName, role: Role) -> Self {
        Self {
            host,
            domain,
            role,
            version: 0,
            directory_version: None,
            settled: false,
            sent: BTreeMap::new(),
        }
    }

    /// The delta to send at `now`, if the view of the host has changed.
    pub fn next(&mut self, now: Duration, directory: &Directory) -> Option<ViewDelta> {
        let is_first = self.directory_version.is_none();
        let becomes_settled = directory.is_settled(now) && !self.settled;
        if self.directory_version == Some(directory.version()) && !becomes_settled {
            return None;
        }
        self.directory_version = Some(directory.version());
        self.settled |= becomes_settled;
        let view = self.select(directory);
        // The full view is sent again once the relay has settled, so that the host drops contacts
        // that it has kept since before the relay restarted.
        let is_full = is_first || becomes_settled;
        let is_sent = |c: &Contact| !is_full && self.sent.get(&c.host) == Some(c);
        let upserts: Vec<_> = view.values().filter(|c| !is_sent(c)).cloned().collect();
        let missing = self.sent.keys().filter(|h| !view.contains_key(*h));
        let removed: Vec<_> = missing.cloned().collect();
        if upserts.is_empty() && removed.is_empty() && !is_full {
            return None;
        }
        let from = if is_full { 0 } else { self.version };
        self.version += 1;
        self.sent = view;
        Some(ViewDelta {
            from,
            to: self.version,
            settled: self.settled,
            upserts,
            removed,
        })
    }

    /// The contacts of the host.
    fn select(&self, directory: &Directory) -> BTreeMap<HostName, Contact> {
        let remote = directory.selection().remote(&self.host);
        let remote = remote.filter_map(|h| directory.get(h));
        let direct = directory.hosts().filter(|r| self.is_direct(r));
        direct
            .chain(remote)
            .filter_map(Contact::from_record)
            .map(|c| (c.host.clone(), c))
            .collect()
    }

    /// Whether a host is always a contact: every relay, and the hosts of the counterpart role in
    /// the same failure domain.
    fn is_direct(&self, record: &HostRecord) -> bool {
        let Some(profile) = &record.profile else {
            return false;
        };
        let is_counterpart = match self.role {
            Role::Entry => profile.role == Role::Sidecar,
            Role::Sidecar => profile.role == Role::Entry,
            Role::Control | Role::Operator => true,
        };
        profile.role == Role::Control || (is_counterpart && profile.domain == self.domain)
    }
}
