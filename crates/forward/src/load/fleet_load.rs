//! The reports of all entries, added up at a control host.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use coltsfootnotch_wire::{AccountUse, BreakWord, LoadWord, PartUse, UpstreamUse};

/// Age at which what an entry last reported no longer counts: it has ended, or is cut off. Reports
/// come each 100 ms, so many in a row were lost.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// What happened since a period began, kept per entry so that each is told only of the others.
#[derive(Debug, Clone, Default)]
struct Period {
    upstreams: BTreeMap<String, UpstreamUse>,
    accounts: BTreeMap<String, AccountUse>,
    parts: Vec<PartUse>,
    broken: Vec<BreakWord>,
    mended: Vec<u64>,
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

    /// What all entries together have and did in this period.
    #[must_use]
    pub fn totals(&self, now: Duration) -> Totals {
        let mut totals = Totals::default();
        for entry in self.entries.values().filter(|e| is_live(now, e)) {
            totals.add(entry);
        }
        totals
    }

    /// What all entries but `receiver` have and did in this period. The totals are made once for all
    /// receivers: adding up the others for each would grow with the square of the entries, and took a
    /// control host of 300 entries and 2,700 engines all its time.
    #[must_use]
    pub fn without(&self, now: Duration, totals: &Totals, receiver: &K) -> LoadWord {
        let own = self.entries.get(receiver).filter(|e| is_live(now, e));
        let others = self.entries.iter().filter(|(key, _)| *key != receiver);
        let others: Vec<_> = others.map(|(_, e)| e).filter(|e| is_live(now, e)).collect();
        let parts = others.iter().flat_map(|e| &e.period.parts);
        let broken = others.iter().flat_map(|e| &e.period.broken);
        let mended = others.iter().flat_map(|e| &e.period.mended);
        let (upstreams, accounts) = totals.less(own);
        LoadWord {
            upstreams,
            accounts,
            parts: parts.cloned().collect(),
            broken: broken.copied().collect(),
            mended: mended.copied().collect(),
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

/// What all entries together have and did in a period.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    upstreams: BTreeMap<String, UpstreamUse>,
    accounts: BTreeMap<String, AccountUse>,
}

impl Totals {
    fn add(&mut self, entry: &Entry) {
        for used in entry.period.upstreams.values() {
            add_seen(upstream_of(&mut self.upstreams, &used.id), used);
        }
        for used in entry.period.accounts.values() {
            add_account(&mut self.accounts, used);
        }
        for used in &entry.standing {
            let total = upstream_of(&mut self.upstreams, &used.id);
            total.waiting_tokens += used.waiting_tokens;
            total.running += used.running;
            total.held_tokens += used.held_tokens;
        }
    }

    /// The totals less one entry's own part, without what is nothing then.
    fn less(&self, own: Option<&Entry>) -> (Vec<UpstreamUse>, Vec<AccountUse>) {
        let mut part = Self::default();
        own.into_iter().for_each(|entry| part.add(entry));
        let upstreams = self.upstreams.values().map(|total| {
            let own = part.upstreams.get(&total.id);
            own.map_or_else(|| total.clone(), |own| less_use(total, own))
        });
        let accounts = self.accounts.values().map(|total| {
            let own = part.accounts.get(&total.account);
            AccountUse {
                account: total.account.clone(),
                asked: total.asked - own.map_or(0, |o| o.asked),
                admitted: total.admitted - own.map_or(0, |o| o.admitted),
            }
        });
        let is_use = |used: &UpstreamUse| {
            let nothing = UpstreamUse {
                id: used.id.clone(),
                ..UpstreamUse::default()
            };
            *used != nothing
        };
        let accounts = accounts.filter(|a| a.asked > 0 || a.admitted > 0);
        (upstreams.filter(is_use).collect(), accounts.collect())
    }
}

fn less_use(total: &UpstreamUse, own: &UpstreamUse) -> UpstreamUse {
    UpstreamUse {
        id: total.id.clone(),
        waiting_tokens: total.waiting_tokens - own.waiting_tokens,
        running: total.running - own.running,
        held_tokens: total.held_tokens - own.held_tokens,
        took_ms: total.took_ms - own.took_ms,
        expected_ms: total.expected_ms - own.expected_ms,
        failed: total.failed - own.failed,
        succeeded: total.succeeded - own.succeeded,
    }
}

fn upstream_of<'a>(all: &'a mut BTreeMap<String, UpstreamUse>, id: &str) -> &'a mut UpstreamUse {
    let fresh = || UpstreamUse {
        id: id.to_owned(),
        ..UpstreamUse::default()
    };
    all.entry(id.to_owned()).or_insert_with(fresh)
}

fn add_seen(total: &mut UpstreamUse, used: &UpstreamUse) {
    total.took_ms += used.took_ms;
    total.expected_ms += used.expected_ms;
    total.failed += used.failed;
    total.succeeded += used.succeeded;
}

fn add_account(all: &mut BTreeMap<String, AccountUse>, used: &AccountUse) {
    let fresh = || AccountUse {
        account: used.account.clone(),
        asked: 0,
        admitted: 0,
    };
    let total = all.entry(used.account.clone()).or_insert_with(fresh);
    total.asked += used.asked;
    total.admitted += used.admitted;
}

impl Period {
    fn add(&mut self, load: &LoadWord) {
        for used in &load.upstreams {
            add_seen(upstream_of(&mut self.upstreams, &used.id), used);
        }
        for used in &load.accounts {
            add_account(&mut self.accounts, used);
        }
        self.parts.extend(load.parts.iter().cloned());
        self.broken.extend(&load.broken);
        self.mended.extend(&load.mended);
    }
}
