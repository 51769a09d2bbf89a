//! What an entry knows of one sidecar.

use std::collections::{BTreeMap, HashMap};

use coltsfootnotch_types::prelude::*;

/// One sidecar, while the connection to it is up.
#[derive(Debug)]
pub struct SidecarView {
    /// The run of its process; attempts name it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its name where upstreams are chosen: it stands for those beside it.
    pub route: UpstreamName,
    /// The pools that it serves.
    pub pools: BTreeMap<PoolName, PoolView>,
}

/// A pool at one sidecar.
#[derive(Debug, Default)]
pub struct PoolView {
    /// Free slots, as last heard, less what was offered since.
    pub free: u32,
    /// Slots in all, as last heard.
    pub usable: u32,
    /// What the sidecar was told to wait, by account.
    told: HashMap<AccountName, u32>,
}

impl SidecarView {
    /// A sidecar that was just connected to and has been told nothing.
    ///
    /// # Panics
    /// Never: names of hosts and of upstreams obey the same rules.
    #[must_use]
    pub fn new(host: &HostName, incarnation: Incarnation, domain: DomainName) -> Self {
        let route = UpstreamName::new(host.as_str()).expect("names have the same rules");
        Self {
            incarnation,
            domain,
            route,
            pools: BTreeMap::new(),
        }
    }

    /// Whether it has said that it serves the pool.
    #[must_use]
    pub fn serves(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }
}

impl PoolView {
    /// Notes that it is told `count`; whether that is worth a message.
    ///
    /// Only a change of the power of two is told: a sidecar chooses by who waits and roughly how
    /// much, and one message per arrival would cost more than all other control traffic.
    pub fn tell(&mut self, account: &AccountName, count: u32) -> bool {
        let before = self.told.get(account).copied().unwrap_or(0);
        if magnitude(before) == magnitude(count) {
            return false;
        }
        self.tell_anyway(account, count);
        true
    }

    /// Notes that it is told `count`, whatever it was told before.
    pub fn tell_anyway(&mut self, account: &AccountName, count: u32) {
        if count == 0 {
            self.told.remove(account);
        } else {
            self.told.insert(account.clone(), count);
        }
    }

    /// Whether it believes that something waits here.
    #[must_use]
    pub fn believes_waiting(&self) -> bool {
        !self.told.is_empty()
    }
}

fn magnitude(count: u32) -> u32 {
    u32::BITS - count.leading_zeros()
}
