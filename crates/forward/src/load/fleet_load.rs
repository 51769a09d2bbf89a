//! The reports of all entries, added up at a control host.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use coltsfootnotch_wire::{AccountUse, LoadWord, PartUse, UpstreamUse};

/// Age at which what an entry last reported no longer counts: it has ended, or is cut off. Reports
/// come each 100 ms, so many in a row were lost.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// What happened since a period began, kept per entry so that each is told only of the others.
#[derive(Debug, Clone, Default)]
struct Period {
    upstreams: BTreeMap<String, UpstreamUse>,
    accounts: BTreeMap<String, AccountUse>,
    parts: Vec<PartUse>,
    broken: Vec<u64>,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    heard: Duration,
    standing: Vec<UpstreamUse>,
    period: Period,
}

/// The reports of all entries. `K` names a connection to an entry.
///
/// What stands (requests at an upstream) is taken from each entry's last report; what happened
/// (service, failures) is added up until [`FleetLoad::next_period`].
#[derive(Debug, Clone)]
pub struct FleetLoad<K> {
    entries: HashMap<K, Entry>,
}

impl<K> Default for FleetLoad<K> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> FleetLoad<K> {
    /// Takes a report.
    pub fn take(&mut self, now: Duration, from: K, load: LoadWord) {
        let entry = self.entries.entry(from).or_default();
        entry.heard = now;
        entry.period.add(&load);
        entry.standing = load.upstreams;
    }

    /// The connection is gone.
    pub fn forget(&mut self, from: &K) {
        self.entries.remove(from);
    }

    /// Entries that reported lately.
    #[must_use]
    pub fn entries(&self, now: Duration) -> u32 {
        let live = self.entries.values().filter(|e| is_live(now, e));
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// What all entries but `receiver` have and did in this period.
    #[must_use]
    pub fn without(&self, now: Duration, receiver: &K) -> LoadWord {
        let mut sum = Period::default();
        let others = self.entries.iter().filter(|(key, _)| *key != receiver);
        for (_, entry) in others.filter(|(_, e)| is_live(now, e)) {
            sum.merge(&entry.period);
            for used in &entry.standing {
                let total = sum.upstream(&used.id);
                total.waiting_tokens += used.waiting_tokens;
                total.running += used.running;
                total.held_tokens += used.held_tokens;
            }
        }
        LoadWord {
            upstreams: sum.upstreams.into_values().collect(),
            accounts: sum.accounts.into_values().collect(),
            parts: sum.parts,
            broken: sum.broken,
        }
    }

    /// Begins a new period, after every entry was told of the last.
    pub fn next_period(&mut self, now: Duration) {
        self.entries.retain(|_, e| is_live(now, e));
        for entry in self.entries.values_mut() {
            entry.period = Period::default();
        }
    }
}

fn is_live(now: Duration, entry: &Entry) -> bool {
    now.saturating_sub(entry.heard) < STALE_AFTER
}

impl Period {
    fn upstream(&mut self, id: &str) -> &mut UpstreamUse {
        let fresh = || UpstreamUse {
            id: id.to_owned(),
            ..UpstreamUse::default()
        };
        self.upstreams.entry(id.to_owned()).or_insert_with(fresh)
    }

    fn add(&mut self, load: &LoadWord) {
        for used in &load.upstreams {
            self.add_seen(used);
        }
        for used in &load.accounts {
            self.add_account(used);
        }
        self.parts.extend(load.parts.iter().cloned());
        self.broken.extend(&load.broken);
    }

    fn merge(&mut self, other: &Self) {
        for used in other.upstreams.values() {
            self.add_seen(used);
        }
        for used in other.accounts.values() {
            self.add_account(used);
        }
        self.parts.extend(other.parts.iter().cloned());
        self.broken.extend(&other.broken);
    }

    fn add_seen(&mut self, used: &UpstreamUse) {
        let total = self.upstream(&used.id);
        total.took_ms += used.took_ms;
        total.expected_ms += used.expected_ms;
        total.failed += used.failed;
        total.succeeded += used.succeeded;
    }

    fn add_account(&mut self, used: &AccountUse) {
        let total = self.accounts.entry(used.account.clone());
        let total = total.or_insert_with(|| AccountUse {
            account: used.account.clone(),
            asked: 0,
            admitted: 0,
        });
        total.asked += used.asked;
        total.admitted += used.admitted;
    }
}
