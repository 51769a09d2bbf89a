//! What an entry knows of one sidecar.

use std::collections::{BTreeMap, HashMap, HashSet};

use coltsfootnotch_types::prelude::*;

/// Most prefix digests remembered for one sidecar; bounds memory when evictions are not reported.
const MAX_PREFIXES: usize = 4096;

/// One sidecar, while the connection to it is up.
#[derive(Debug)]
pub struct SidecarView {
    /// The run of its process; attempts name it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Free slots by pool, as last heard, less what was offered since.
    pub free: BTreeMap<PoolName, u32>,
    prefixes: HashSet<u64>,
    told: HashMap<(PoolName, AccountName), u32>,
}

impl SidecarView {
    /// A sidecar that was just connected to and has been told nothing.
    #[must_use]
    pub fn new(incarnation: Incarnation, domain: DomainName) -> Self {
        Self {
            incarnation,
            domain,
            free: BTreeMap::new(),
            prefixes: HashSet::new(),
            told: HashMap::new(),
        }
    }

    /// Whether it has said that it serves the pool.
    #[must_use]
    pub fn serves(&self, pool: &PoolName) -> bool {
        self.free.contains_key(pool)
    }

    /// Takes in prefixes that its upstreams have cached.
    pub fn learn_prefixes(&mut self, digests: &[u64]) {
        if self.prefixes.len() + digests.len() > MAX_PREFIXES {
            self.prefixes.clear();
        }
        self.prefixes.extend(digests);
    }

    /// Whether one of its upstreams probably has the prefix cached.
    #[must_use]
    pub fn has_prefix(&self, digest: u64) -> bool {
        self.prefixes.contains(&digest)
    }

    /// Notes that it is told `count`; whether that is worth a message.
    ///
    /// Only a change of the power of two is told: a sidecar chooses by who waits and roughly how
    /// much, and one message per arrival would cost more than all other control traffic.
    pub fn tell(&mut self, pool: &PoolName, account: &AccountName, count: u32) -> bool {
        let key = (pool.clone(), account.clone());
        let before = self.told.get(&key).copied().unwrap_or(0);
        if magnitude(before) == magnitude(count) {
            return false;
        }
        if count == 0 {
            self.told.remove(&key);
        } else {
            self.told.insert(key, count);
        }
        true
    }
}

fn magnitude(count: u32) -> u32 {
    u32::BITS - count.leading_zeros()
}
