//! What a relay has sent to one host of its directory.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{DomainName, HostName, Role};

use crate::{Contact, Directory, HostRecord, ViewDelta};

/// The directory as one host gets it, over one connection.
///
/// Start a new feed for each connection: the first delta is the whole view.
#[derive(Debug, Clone)]
pub struct ViewFeed {
    host: HostName,
    domain: DomainName,
    role: Role,
    version: u64,
    seen: Option<u64>,
    settled: bool,
    sent: BTreeMap<HostName, Contact>,
}

impl ViewFeed {
    /// A feed for `host` with `role` in `domain` that has got nothing yet.
    #[must_use]
    pub fn new(host: HostName, domain: DomainName, role: Role) -> Self {
        Self {
            host,
            domain,
            role,
            version: 0,
            seen: None,
            settled: false,
            sent: BTreeMap::new(),
        }
    }

    /// What to send now, if anything changed that concerns the host.
    pub fn next(&mut self, now: Duration, directory: &Directory) -> Option<ViewDelta> {
        let is_first = self.seen.is_none();
        let settles = directory.is_settled(now) && !self.settled;
        if self.seen == Some(directory.version()) && !settles {
            return None;
        }
        self.seen = Some(directory.version());
        self.settled |= settles;
        let view = self.select(directory);
        // Once the relay has settled, the whole view goes out again, so that the host drops what it
        // had kept from before the relay was restarted.
        let is_whole = is_first || settles;
        let known = |c: &Contact| !is_whole && self.sent.get(&c.host) == Some(c);
        let upserts: Vec<_> = view.values().filter(|c| !known(c)).cloned().collect();
        let gone = self.sent.keys().filter(|h| !view.contains_key(*h));
        let removed: Vec<_> = gone.cloned().collect();
        if upserts.is_empty() && removed.is_empty() && !is_whole {
            return None;
        }
        let from = if is_whole { 0 } else { self.version };
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

    /// The part of the directory that concerns the host.
    fn select(&self, directory: &Directory) -> BTreeMap<HostName, Contact> {
        let remote = directory.selection().remote(&self.host);
        let remote = remote.filter_map(|h| directory.get(h));
        let near = directory.hosts().filter(|r| self.is_near(r));
        near.chain(remote)
            .filter_map(Contact::from_record)
            .map(|c| (c.host.clone(), c))
            .collect()
    }

    /// Whether a host is known for its own sake: every relay, and of the same failure domain the
    /// hosts with the other role.
    fn is_near(&self, record: &HostRecord) -> bool {
        let Some(profile) = &record.profile else {
            return false;
        };
        let works_with_it = match self.role {
            Role::Entry => profile.role == Role::Sidecar,
            Role::Sidecar => profile.role == Role::Entry,
            Role::Control | Role::Operator => true,
        };
        profile.role == Role::Control || (works_with_it && profile.domain == self.domain)
    }
}
