//! Encoding of successive totals as changes.

use std::collections::BTreeMap;

use coltsfootnotch_wire::{
    AccountDemand, EntryLoadReport, LoadChanges, SegmentRecord, UpstreamUsage,
};

use super::InFlight;
use super::name_numbers::NameNumbers;

/// Most names that have a number; beyond it all numbers are assigned anew, so that upstreams that are gone
/// take no memory for ever.
const MAX_NAMES: usize = 16_384;

/// Encodes successive totals as changes, the same for all receivers.
///
/// ```
/// use coltsfootnotch_forward::load::{LoadDecoder, LoadEncoder};
/// use coltsfootnotch_wire::{EntryLoadReport, UpstreamUsage};
/// let used = UpstreamUsage { id: "spec-1".to_owned(), running: 3, ..Default::default() };
/// let totals = EntryLoadReport { upstreams: vec![used], ..Default::default() };
/// let (mut encoder, mut decoder) = (LoadEncoder::default(), LoadDecoder::default());
/// let first = encoder.encode(&totals);
/// assert_eq!(decoder.apply(first).unwrap().upstreams, totals.upstreams);
/// let second = encoder.encode(&totals);
/// assert!(second.upstreams.is_empty(), "nothing has changed");
/// assert_eq!(decoder.apply(second).unwrap().upstreams, totals.upstreams);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadEncoder {
    upstreams: NameNumbers,
    accounts: NameNumbers,
    /// Requests in flight as they were last encoded, other than none.
    in_flight: BTreeMap<u32, InFlight>,
    has_encoded: bool,
}

impl LoadEncoder {
    /// The changes since the last call.
    pub fn encode(&mut self, totals: &EntryLoadReport) -> LoadChanges {
        if self.upstreams.count().max(self.accounts.count()) > MAX_NAMES {
            *self = Self::default();
        }
        let known = (self.upstreams.count(), self.accounts.count());
        let is_whole = !std::mem::replace(&mut self.has_encoded, true);
        let upstreams = self.changed_rows(&totals.upstreams);
        let accounts = totals.accounts.iter().map(|used| AccountDemand {
            account: self.accounts.get(&used.account),
            requested: used.requested,
            admitted: used.admitted,
        });
        let accounts = accounts.collect();
        let segments = totals.segments.iter().map(|record| SegmentRecord {
            upstream: self.upstreams.get(&record.upstream),
            segment: record.segment,
            tokens: record.tokens,
        });
        LoadChanges {
            is_whole,
            upstreams,
            accounts,
            segments: segments.collect(),
            upstream_names: self.upstreams.since(known.0),
            account_names: self.accounts.since(known.1),
            aborts: totals.aborts.clone(),
            cleared: totals.cleared.clone(),
            refused: totals.refused.clone(),
        }
    }

    /// The same as `changes`, the result of the last call of [`Self::encode`], for a receiver that has
    /// nothing yet.
    #[must_use]
    pub fn whole(&self, changes: &LoadChanges) -> LoadChanges {
        let changed: BTreeMap<u32, &UpstreamUsage<u32>> = changes
            .upstreams
            .iter()
            .map(|used| (used.id, used))
            .collect();
        let unchanged = self
            .in_flight
            .iter()
            .filter(|(number, _)| !changed.contains_key(number));
        let unchanged = unchanged.map(|(number, in_flight)| in_flight.usage(*number));
        LoadChanges {
            is_whole: true,
            upstream_names: self.upstreams.since(0),
            account_names: self.accounts.since(0),
            upstreams: changes.upstreams.iter().cloned().chain(unchanged).collect(),
            ..changes.clone()
        }
    }

    /// The rows that differ from the last ones or have counters. An upstream without a row has nothing in
    /// flight.
    fn changed_rows(&mut self, rows: &[UpstreamUsage]) -> Vec<UpstreamUsage<u32>> {
        let mut last = std::mem::take(&mut self.in_flight);
        let mut changed = Vec::new();
        for used in rows {
            let number = self.upstreams.get(&used.id);
            let in_flight = InFlight::from(used);
            let is_same = last.remove(&number).unwrap_or_default() == in_flight;
            if in_flight != InFlight::default() {
                self.in_flight.insert(number, in_flight);
            }
            if !is_same || has_counters(used) {
                changed.push(used.with_id(number));
            }
        }
        changed.extend(last.keys().map(|number| InFlight::default().usage(*number)));
        changed
    }
}

fn has_counters(used: &UpstreamUsage) -> bool {
    used.elapsed_ms > 0 || used.expected_ms > 0 || used.failed > 0 || used.succeeded > 0
}
