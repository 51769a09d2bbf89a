//! Sum of the load reports that a control host receives.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::mem;
use std::time::Duration;

use coltsfootnotch_wire::{
    AccountDemand, CrashReport, EntryLoadReport, RefusedContent, UpstreamUsage,
};

use super::sums::{add_account, add_counters, add_in_flight};

/// Age from which a sender's last report no longer counts: it has ended or is cut off. Reports come
/// every 100 ms, so many in a row were lost.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// The last report of a sender.
#[derive(Debug, Clone)]
struct LastReport {
    at: Duration,
    entries: u32,
    in_flight: Vec<UpstreamUsage>,
}

/// Load reports of entries, or of other control hosts that sum those of their entries. `K` identifies
/// a sender.
///
/// Requests at an upstream are taken from each sender's last report; counters (service, failures)
/// are summed until [`FleetLoad::take_totals`].
#[derive(Debug, Clone)]
pub struct FleetLoad<K> {
    senders: HashMap<K, LastReport>,
    upstreams: BTreeMap<String, UpstreamUsage>,
    accounts: BTreeMap<String, AccountDemand>,
    /// Ages of the last crashes of the contents that are refused, in milliseconds.
    refused: BTreeMap<u64, u64>,
    /// The parts of the reports that are lists of events.
    events: EntryLoadReport,
}

impl<K> Default for FleetLoad<K> {
    fn default() -> Self {
        Self {
            senders: HashMap::new(),
            upstreams: BTreeMap::new(),
            accounts: BTreeMap::new(),
            refused: BTreeMap::new(),
            events: EntryLoadReport::default(),
        }
    }
}

impl<K: Eq + Hash> FleetLoad<K> {
    /// Records a report of `entries` entries.
    pub fn record(&mut self, now: Duration, from: K, entries: u32, load: EntryLoadReport) {
        for used in &load.upstreams {
            add_counters(&mut self.upstreams, used);
        }
        for used in &load.accounts {
            add_account(&mut self.accounts, used);
        }
        self.events.segments.extend(load.segments);
        self.events.aborts.extend(load.aborts);
        self.events.cleared.extend(load.cleared);
        for RefusedContent {
            content,
            crash_age_ms,
        } in load.refused
        {
            let age = self.refused.entry(content).or_insert(crash_age_ms);
            *age = crash_age_ms.min(*age);
        }
        add_crashes(&mut self.events.crashes, load.crashes);
        let report = LastReport {
            at: now,
            entries,
            in_flight: load.upstreams,
        };
        self.senders.insert(from, report);
    }

    /// Removes the requests in flight of a sender whose connection has closed or that reports to another
    /// host. What it has counted stays.
    pub fn remove(&mut self, from: &K) {
        self.senders.remove(from);
    }

    /// Number of entries with a recent report.
    #[must_use]
    pub fn entries(&self, now: Duration) -> u32 {
        let live = self.senders.values().filter(|sender| is_live(now, sender));
        live.fold(0, |sum: u32, sender| sum.saturating_add(sender.entries))
    }

    /// Totals of all senders; the counters start anew.
    pub fn take_totals(&mut self, now: Duration) -> EntryLoadReport {
        self.senders.retain(|_, sender| is_live(now, sender));
        let mut upstreams = mem::take(&mut self.upstreams);
        for used in self.senders.values().flat_map(|sender| &sender.in_flight) {
            add_in_flight(&mut upstreams, used);
        }
        let refused = mem::take(&mut self.refused).into_iter();
        let refused = refused.map(|(content, crash_age_ms)| RefusedContent {
            content,
            crash_age_ms,
        });
        EntryLoadReport {
            refused: refused.collect(),
            upstreams: upstreams.into_values().collect(),
            accounts: mem::take(&mut self.accounts).into_values().collect(),
            ..mem::take(&mut self.events)
        }
    }
}

fn is_live(now: Duration, sender: &LastReport) -> bool {
    now.saturating_sub(sender.at) < STALE_AFTER
}

/// Adds a report on crashes. Services and refused groups are the same in most reports, and count once.
fn add_crashes(total: &mut CrashReport, report: CrashReport) {
    total.crash_suspects.extend(report.crash_suspects);
    total.answered_segments.extend(report.answered_segments);
    total.sound_segments.extend(report.sound_segments);
    for service in report.answered_services {
        if !total.answered_services.contains(&service) {
            total.answered_services.push(service);
        }
    }
    for group in report.refused_segments {
        let known = total
            .refused_segments
            .iter_mut()
            .find(|known| known.segments == group.segments);
        match known {
            Some(known) => known.crash_age_ms = known.crash_age_ms.min(group.crash_age_ms),
            None => total.refused_segments.push(group),
        }
    }
}
