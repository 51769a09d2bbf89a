//! Load of every upstream, as seen by this entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{EntryLoadReport, SegmentRecord, UpstreamUsage};

use super::{PromptSegment, UpstreamLoad};

/// Load of every upstream as seen by this entry, by identity and run.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoads {
    by_id: BTreeMap<Arc<str>, (u64, UpstreamLoad)>,
    unreported: Vec<SegmentRecord>,
}

impl UpstreamLoads {
    /// The upstream's load; a new run starts with none.
    pub fn entry(&mut self, id: &Arc<str>, born_ms: u64) -> &mut UpstreamLoad {
        let (born, load) = self.by_id.entry(id.clone()).or_default();
        if *born != born_ms {
            *born = born_ms;
            *load = UpstreamLoad::default();
        }
        load
    }

    /// The upstream's load, if `born_ms` is its current run.
    pub fn get_mut(&mut self, id: &str, born_ms: u64) -> Option<&mut UpstreamLoad> {
        let (born, load) = self.by_id.get_mut(id)?;
        (*born == born_ms).then_some(load)
    }

    /// The upstream's load, if `born_ms` is its current run.
    #[must_use]
    pub fn get(&self, id: &str, born_ms: u64) -> Option<&UpstreamLoad> {
        let (born, load) = self.by_id.get(id)?;
        (*born == born_ms).then_some(load)
    }

    /// Records the shared segments of a prompt that was sent, of which the upstream caches up to
    /// `capacity` tokens.
    pub fn record_segments(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        segments: &[PromptSegment],
        capacity: u64,
    ) {
        let Some((_, load)) = self.by_id.get_mut(id) else {
            return;
        };
        for segment in segments {
            if load.cached.record(now, *segment, capacity) {
                self.unreported.push(SegmentRecord {
                    upstream: id.to_string(),
                    segment: segment.id,
                    tokens: segment.tokens,
                });
            }
        }
    }

    /// Applies the totals of the other entries; `capacity` gives the cache size of an upstream in
    /// tokens.
    pub fn apply_remote(
        &mut self,
        now: Duration,
        report: &EntryLoadReport,
        capacity: impl Fn(&str) -> u64,
    ) {
        for (_, load) in self.by_id.values_mut() {
            load.clear_remote();
        }
        for used in &report.upstreams {
            if let Some((_, load)) = self.by_id.get_mut(used.id.as_str()) {
                load.apply_remote(now, used);
            }
        }
        for used in &report.segments {
            if let Some((_, load)) = self.by_id.get_mut(used.upstream.as_str()) {
                let segment = PromptSegment {
                    id: used.segment,
                    tokens: used.tokens,
                };
                load.cached.record(now, segment, capacity(&used.upstream));
            }
        }
    }

    /// Number of requests of this entry at all upstreams.
    ///
    /// ```
    /// use coltsfootnotch_forward::load::UpstreamLoads;
    /// assert_eq!(UpstreamLoads::default().local_running(), 0);
    /// ```
    #[must_use]
    pub fn local_running(&self) -> u64 {
        let loads = self.by_id.values();
        loads
            .map(|(_, load)| u64::from(load.local_in_flight().running))
            .sum()
    }

    /// The report of this period; starts a new one.
    pub fn report(&mut self) -> (Vec<UpstreamUsage>, Vec<SegmentRecord>) {
        let all = self.by_id.iter_mut();
        let uses = all.filter_map(|(id, (_, load))| load.report(id)).collect();
        (uses, std::mem::take(&mut self.unreported))
    }

    /// Removes upstreams that `keep` rejects and that have no request of this entry.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_id
            .retain(|id, (_, load)| keep(id) || load.local_in_flight().running > 0);
    }
}
