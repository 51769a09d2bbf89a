//! What one host knows of the others.

use std::collections::BTreeMap;

use coltsfootnotch_types::{HostName, PoolName, Role};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Contact;

/// Changes of a host's view, from its relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// The version that it starts from; zero for the whole view.
    pub from: u64,
    /// The version that it leads to.
    pub to: u64,
    /// Whether a whole view lists every host: a relay that has just started does not know all yet.
    pub settled: bool,
    /// Hosts that are new or have changed.
    pub upserts: Vec<Contact>,
    /// Hosts that are gone.
    pub removed: Vec<HostName>,
}

/// A delta that does not continue the view; ask the relay for the whole view.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a view at version {current} got a delta from version {from}")]
pub struct ViewGap {
    /// The version at hand.
    pub current: u64,
    /// The version that the delta starts from.
    pub from: u64,
}

/// What one host knows of the others. It is kept while no relay can be reached.
///
/// ```
/// use coltsfootnotch_membership::{View, ViewDelta};
/// let whole = ViewDelta { from: 0, to: 4, settled: true, upserts: vec![], removed: vec![] };
/// let mut view = View::default();
/// assert_eq!(view.apply(whole.clone())?, vec![]);
/// let later = ViewDelta { from: 6, to: 7, ..whole };
/// assert!(view.apply(later).is_err(), "a delta between was lost");
/// # Ok::<(), coltsfootnotch_membership::ViewGap>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct View {
    version: u64,
    contacts: BTreeMap<HostName, Contact>,
}

impl View {
    /// Takes in a delta; returns the hosts that are new, changed or gone.
    ///
    /// # Errors
    /// Returns a [`ViewGap`] when a delta before this one was lost; the view is then unchanged.
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

    /// The version reached.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One host.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&Contact> {
        self.contacts.get(host)
    }

    /// Every host.
    pub fn contacts(&self) -> impl Iterator<Item = &Contact> {
        self.contacts.values()
    }

    /// The sidecars that take new work for `pool`.
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
