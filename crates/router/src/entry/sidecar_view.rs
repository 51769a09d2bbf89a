//! What an entry knows of one sidecar.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;

/// Time between two messages of waits to a sidecar that is full. It adds to the age of what hosts know
/// of waiting work, half of it in the mean: less than the service counters' own age.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// Factor by which a count must change to be told. A pull too many costs one small message; a pull
/// too few at a time costs a round trip, and only when several slots come free at once.
const WORTH_TELLING: u32 = 4;

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
    /// Accounts of which it may have to be told anew.
    changed: BTreeSet<AccountName>,
    /// When it was last told.
    told_at: Duration,
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
    /// Notes that what waits of an account has changed, to be told when that is due.
    pub fn note_changed(&mut self, account: &AccountName) {
        self.changed.insert(account.clone());
    }

    /// Whether changes are to be told now.
    ///
    /// At once to a sidecar that can use them: it has a free slot, or knows of nothing to pull when
    /// one comes free. A full one that knows of waiting work hears them together, once in a while:
    /// told one by one they were nine tenths of all control traffic.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        let can_use = self.free > 0 || self.told.is_empty();
        !self.changed.is_empty() && (can_use || now >= self.told_at + TELL_EVERY)
    }

    /// Takes the accounts that have changed, which are told now.
    pub fn take_changed(&mut self, now: Duration) -> BTreeSet<AccountName> {
        self.told_at = now;
        std::mem::take(&mut self.changed)
    }

    /// Notes that it is told `count`; whether that is worth a message.
    ///
    /// Only whether something waits, and a change by a factor of [`WORTH_TELLING`], is told: a
    /// sidecar chooses by who waits, and needs the count only so as not to pull far too much. With
    /// more free slots than it knows requests it hears of each, or it would fill them one by one.
    pub fn tell(&mut self, account: &AccountName, count: u32) -> bool {
        let before = self.told.get(account).copied().unwrap_or(0);
        let grown = count >= before.saturating_mul(WORTH_TELLING);
        let shrunk = count.saturating_mul(WORTH_TELLING) <= before;
        let fillable = count > before && before < self.free;
        let same = count == before || !(grown || shrunk || fillable);
        if !same {
            self.tell_anyway(account, count);
        }
        !same
    }

    /// Notes that it is told `count`, whatever it was told before.
    pub fn tell_anyway(&mut self, account: &AccountName, count: u32) {
        if count == 0 {
            self.told.remove(account);
        } else {
            self.told.insert(account.clone(), count);
        }
    }
}
