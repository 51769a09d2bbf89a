//! Aggregation of all entries' load reports at a control host.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use coltsfootnotch_wire::{
    AbortRecord, AccountDemand, CrashSuspects, EntryLoadReport, SegmentGroup, SegmentRecord,
    UpstreamUsage,
};

/// Age from which an entry's last report no longer counts: it has ended or is cut off. Reports come
/// every 100 ms in a small fleet, so many in a row were lost.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Events since the start of a period, per entry so that each receives only those of the others.
#[derive(Debug, Clone, Default)]
struct Period {
    upstreams: BTreeMap<String, UpstreamUsage>,
    accounts: BTreeMap<String, AccountDemand>,
    segments: Vec<SegmentRecord>,
    aborts: Vec<AbortRecord>,
    cleared: Vec<u64>,
    crash_suspects: Vec<CrashSuspects>,
    answered_services: Vec<String>,
    answered_segments: Vec<u64>,
    sound_segments: Vec<u64>,
    refused_segments: Vec<SegmentGroup>,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    last_seen: Duration,
    in_flight: Vec<UpstreamUsage>,
    period: Period,
}

/// The load reports of all entries. `K` identifies a connection to an entry.
///
/// Requests at an upstream are taken from each entry's last report; counters (service, failures)
/// are summed until [`FleetLoad::start_period`].
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
    /// Records a report.
    pub fn record(&mut self, now: Duration, from: K, load: EntryLoadReport) {
        let entry = self.entries.entry(from).or_default();
        entry.last_seen = now;
        entry.period.add(&load);
        entry.in_flight = load.upstreams;
    }

    /// Removes the entry of a closed connection.
    pub fn remove(&mut self, from: &K) {
        self.entries.remove(from);
    }

    /// Number of entries with a recent report.
    #[must_use]
    pub fn entries(&self, now: Duration) -> u32 {
        let live = self.entries.values().filter(|e| is_live(now, e));
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Totals of all entries in this period.
    #[must_use]
    pub fn totals(&self, now: Duration) -> Totals {
        let mut totals = Totals::default();
        for entry in self.entries.values().filter(|e| is_live(now, e)) {
            totals.add(entry);
        }
        totals
    }

    /// Totals of all entries but `receiver` in this period, given `totals` computed once for all
    /// receivers: summing the others for each receiver is quadratic in the number of entries, and took
    /// all the time of a control host of 300 entries and 2,700 engines.
    #[must_use]
    pub fn excluding(&self, now: Duration, totals: &Totals, receiver: &K) -> EntryLoadReport {
        let excluded = self.entries.get(receiver).filter(|e| is_live(now, e));
        let others = self.entries.iter().filter(|(key, _)| *key != receiver);
        let others: Vec<_> = others.map(|(_, e)| e).filter(|e| is_live(now, e)).collect();
        let segments = others.iter().flat_map(|e| &e.period.segments);
        let aborts = others.iter().flat_map(|e| &e.period.aborts);
        let cleared = others.iter().flat_map(|e| &e.period.cleared);
        let suspects = others.iter().flat_map(|e| &e.period.crash_suspects);
        let services = others.iter().flat_map(|e| &e.period.answered_services);
        let answered = others.iter().flat_map(|e| &e.period.answered_segments);
        let sound = others.iter().flat_map(|e| &e.period.sound_segments);
        let refused = others.iter().flat_map(|e| &e.period.refused_segments);
        let (upstreams, accounts) = totals.subtract_entry(excluded);
        EntryLoadReport {
            upstreams,
            accounts,
            segments: segments.cloned().collect(),
            aborts: aborts.copied().collect(),
            cleared: cleared.copied().collect(),
            crash_suspects: suspects.cloned().collect(),
            answered_services: services.cloned().collect(),
            answered_segments: answered.copied().collect(),
            sound_segments: sound.copied().collect(),
            refused_segments: refused.cloned().collect(),
        }
    }

    /// Starts a new period, after the last one was sent to every entry.
    pub fn start_period(&mut self, now: Duration) {
        self.entries.retain(|_, e| is_live(now, e));
        for entry in self.entries.values_mut() {
            entry.period = Period::default();
        }
    }
}

fn is_live(now: Duration, entry: &Entry) -> bool {
    now.saturating_sub(entry.last_seen) < STALE_AFTER
}

/// Totals of all entries in a period.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    upstreams: BTreeMap<String, UpstreamUsage>,
    accounts: BTreeMap<String, AccountDemand>,
}

impl Totals {
    /// Demand and admitted service units of each account.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountDemand> {
        self.accounts.values()
    }

    fn add(&mut self, entry: &Entry) {
        for used in entry.period.upstreams.values() {
            add_counters(upstream_entry(&mut self.upstreams, &used.id), used);
        }
        for used in entry.period.accounts.values() {
            add_account(&mut self.accounts, used);
        }
        for used in &entry.in_flight {
            let total = upstream_entry(&mut self.upstreams, &used.id);
            total.waiting_tokens += used.waiting_tokens;
            total.running += used.running;
            total.held_tokens += used.held_tokens;
        }
    }

    /// The totals without those of `excluded`, and without zero rows.
    fn subtract_entry(&self, excluded: Option<&Entry>) -> (Vec<UpstreamUsage>, Vec<AccountDemand>) {
        let mut excluded_totals = Self::default();
        excluded
            .into_iter()
            .for_each(|entry| excluded_totals.add(entry));
        let upstreams = self.upstreams.values().map(|total| {
            let excluded = excluded_totals.upstreams.get(&total.id);
            excluded.map_or_else(|| total.clone(), |excluded| subtract(total, excluded))
        });
        let accounts = self.accounts.values().map(|total| {
            let excluded = excluded_totals.accounts.get(&total.account);
            AccountDemand {
                account: total.account.clone(),
                requested: total.requested - excluded.map_or(0, |o| o.requested),
                admitted: total.admitted - excluded.map_or(0, |o| o.admitted),
            }
        });
        let is_used = |used: &UpstreamUsage| {
            let unused = UpstreamUsage {
                id: used.id.clone(),
                ..UpstreamUsage::default()
            };
            *used != unused
        };
        let accounts = accounts.filter(|a| a.requested > 0 || a.admitted > 0);
        (upstreams.filter(is_used).collect(), accounts.collect())
    }
}

fn subtract(total: &UpstreamUsage, excluded: &UpstreamUsage) -> UpstreamUsage {
    UpstreamUsage {
        id: total.id.clone(),
        waiting_tokens: total.waiting_tokens - excluded.waiting_tokens,
        running: total.running - excluded.running,
        held_tokens: total.held_tokens - excluded.held_tokens,
        elapsed_ms: total.elapsed_ms - excluded.elapsed_ms,
        expected_ms: total.expected_ms - excluded.expected_ms,
        failed: total.failed - excluded.failed,
        succeeded: total.succeeded - excluded.succeeded,
    }
}

fn upstream_entry<'a>(
    all: &'a mut BTreeMap<String, UpstreamUsage>,
    id: &str,
) -> &'a mut UpstreamUsage {
    let empty = || UpstreamUsage {
        id: id.to_owned(),
        ..UpstreamUsage::default()
    };
    all.entry(id.to_owned()).or_insert_with(empty)
}

fn add_counters(total: &mut UpstreamUsage, used: &UpstreamUsage) {
    total.elapsed_ms += used.elapsed_ms;
    total.expected_ms += used.expected_ms;
    total.failed += used.failed;
    total.succeeded += used.succeeded;
}

/// Adds what an account asked for and got to the sums of all accounts.
///
/// ```
/// use std::collections::BTreeMap;
/// use coltsfootnotch_forward::load::add_account;
/// use coltsfootnotch_wire::AccountDemand;
/// let used = AccountDemand { account: "bistro".to_owned(), requested: 4, admitted: 3 };
/// let mut all = BTreeMap::new();
/// add_account(&mut all, &used);
/// add_account(&mut all, &used);
/// assert_eq!(all["bistro"].requested, 8);
/// ```
pub fn add_account(all: &mut BTreeMap<String, AccountDemand>, used: &AccountDemand) {
    let empty = || AccountDemand {
        account: used.account.clone(),
        requested: 0,
        admitted: 0,
    };
    let total = all.entry(used.account.clone()).or_insert_with(empty);
    total.requested += used.requested;
    total.admitted += used.admitted;
}

impl Period {
    fn add(&mut self, load: &EntryLoadReport) {
        for used in &load.upstreams {
            add_counters(upstream_entry(&mut self.upstreams, &used.id), used);
        }
        for used in &load.accounts {
            add_account(&mut self.accounts, used);
        }
        self.segments.extend(load.segments.iter().cloned());
        self.aborts.extend(&load.aborts);
        self.cleared.extend(&load.cleared);
        self.crash_suspects
            .extend(load.crash_suspects.iter().cloned());
        self.answered_services
            .extend(load.answered_services.iter().cloned());
        self.answered_segments.extend(&load.answered_segments);
        self.sound_segments.extend(&load.sound_segments);
        self.refused_segments.clone_from(&load.refused_segments);
    }
}
