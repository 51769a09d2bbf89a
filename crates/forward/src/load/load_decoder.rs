//! Decoding of totals that are sent as changes.

use std::collections::{BTreeMap, HashMap};

use coltsfootnotch_wire::{AccountDemand, EntryLoadReport, LoadChanges, SegmentRecord};

use super::InFlight;

/// Restores totals from changes, of one sender and in the order in which they were encoded.
#[derive(Debug, Clone, Default)]
pub struct LoadDecoder {
    upstreams: HashMap<u32, String>,
    accounts: HashMap<u32, String>,
    in_flight: BTreeMap<u32, InFlight>,
    has_whole: bool,
}

impl LoadDecoder {
    /// Applies changes and returns the totals; none before all rows were received once. Rows with a number
    /// that was not named are left out.
    pub fn apply(&mut self, changes: LoadChanges) -> Option<EntryLoadReport> {
        if changes.is_whole {
            *self = Self::default();
            self.has_whole = true;
        }
        if !self.has_whole {
            return None;
        }
        self.upstreams.extend(changes.upstream_names);
        self.accounts.extend(changes.account_names);
        let mut rows = BTreeMap::new();
        for used in changes.upstreams {
            let in_flight = InFlight::from(&used);
            if in_flight == InFlight::default() {
                self.in_flight.remove(&used.id);
            } else {
                self.in_flight.insert(used.id, in_flight);
            }
            if !used.is_unused() {
                rows.insert(used.id, used);
            }
        }
        for (number, in_flight) in &self.in_flight {
            let row = rows.entry(*number);
            row.or_insert_with(|| in_flight.usage(*number));
        }
        let upstreams = rows.values().filter_map(|used| {
            let id = self.upstreams.get(&used.id)?;
            Some(used.with_id(id.clone()))
        });
        let accounts = changes.accounts.into_iter().filter_map(|used| {
            Some(AccountDemand {
                account: self.accounts.get(&used.account)?.clone(),
                requested: used.requested,
                admitted: used.admitted,
            })
        });
        let segments = changes.segments.into_iter().filter_map(|record| {
            Some(SegmentRecord {
                upstream: self.upstreams.get(&record.upstream)?.clone(),
                segment: record.segment,
                tokens: record.tokens,
            })
        });
        Some(EntryLoadReport {
            upstreams: upstreams.collect(),
            accounts: accounts.collect(),
            segments: segments.collect(),
            aborts: changes.aborts,
            cleared: changes.cleared,
            refused: changes.refused,
            ..EntryLoadReport::default()
        })
    }
}
