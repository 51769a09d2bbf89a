//! The view that a host has of the other hosts.

use std::collections::BTreeMap;

use coltsfootnotch_types::{HostName, PoolName, Role};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Contact;

/// Changes of a host's view, sent by its relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// The version that the delta applies to; zero for a full view.
    pub from: u64,
    /// The version after applying the delta.
    pub to: u64,
    /// Whether a full view lists every host: a relay that has just started has not received
    /// a heartbeat of each yet.
    pub settled: bool,
    /// Contacts that were added or have changed.
    pub upserts: Vec<Contact>,
    /// Hosts that were removed.
    pub removed: Vec<HostName>,
}

/// A delta that does not apply to the current version; the host must request a full view.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the view is at version {current}, but the delta applies to version {from}")]
pub struct ViewGap {
    /// The current version of the view.
    pub current: u64,
    /// The version that the delta applies to.
    pub from: u64,
}

/// The hosts that one host can connect to. The view is kept while no relay is reachable.
///
/// ```
/// use coltsfootnotch_membership::{View, ViewDelta};
/// let full = ViewDelta { from: 0, to: 4, settled: true, upserts: vec![], removed: vec![] };
/// let mut view = View::default();
/// assert_eq!(view.apply(full.clone())?, vec![]);
/// let later = ViewDelta { from: 6, to: 7, ..full };
/// assert!(view.apply(later).is_err(), "the delta from version 4 to 6 is missing");
/// # Ok::<(), coltsfootnotch_membership::ViewGap>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct View {
    version: u64,
    contacts: BTreeMap<HostName, Contact>,
}

impl View {
    /// Applies a delta; returns the hosts that were added, changed or removed.
    ///
    /// # Errors
    /// Returns a [`ViewGap`] if an earlier delta is missing; the view is then unchanged.
    pub fn apply(&mut self, delta: ViewDelta) -> Result<Vec<HostName>, ViewGap> {
        if delta.from != 0 && delta.from != self.version {
            let (current, from) = (self.version, delta.from);
            return Err(ViewGap { current, from });
        }
        let mut removed = delta.removed;
        if delta.from == 0 && delta.settled {
            let listed = |h: &HostName| delta.upserts.iter().any(|c| c.host == *h);
            let missing = self.contacts.keys().filter(|h| !listed(h));
            removed.extend(missing.cloned());
        }
        self.version = delta.to;
        let mut changed = Vec::new();
        for host in removed {
            if self.contacts.remove(&host).is_some() {
                changed.push(host);
            }
        }
        for contact in delta.upserts {
            if self.contacts.get(&contact.host) != Some(&contact) {
                changed.push(contact.host.clone());
                self.contacts.insert(contact.host.clone(), contact);
            }
        }
        Ok(changed)
    }

    /// The version of the last delta applied.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The contact of `host`.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&Contact> {
        self.contacts.get(host)
    }

    /// All contacts, ordered by host name.
    pub fn contacts(&self) -> impl Iterator<Item = &Contact> {
        self.contacts.values()
    }

    /// The sidecars that accept new work for `pool`.
    pub fn sidecars(&self, pool: &PoolName) -> impl Iterator<Item = &Contact> {
        self.contacts().filter(move |c| {
            let serves = c.serves.iter().any(|s| s.pool == *pool && !s.leaving);
            c.role == Role::Sidecar && !c.leaving && serves
        })
    }

    /// The entries.
    pub fn entries(&self) -> impl Iterator<Item = &Contact> {
        self.contacts().filter(|c| c.role == Role::Entry)
    }
}
