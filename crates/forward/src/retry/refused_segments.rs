//! Prompt segments that an entry refuses, and what it reports on suspects.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{CrashReport, CrashSuspects, SegmentGroup, SegmentReport};

use super::crash_evidence::{is_refused_since, segment_group};
use super::unconfirmed::Unconfirmed;
use crate::load::PromptSegment;

/// Time for which the first answer of a segment under suspicion is reported.
const WATCHED_FOR: Duration = Duration::from_secs(60);

/// Time for which an answer is remembered at least.
const RECENT_FOR: Duration = Duration::from_secs(30);

/// Most segments remembered for each such time.
const MAX_RECENT: usize = 10_000;

/// Most segments watched at once.
const MAX_WATCHED: usize = 10_000;

/// Segments that are refused in requests that have all of them.
#[derive(Debug, Clone)]
struct Group {
    segments: BTreeSet<u64>,
    last_crash: Duration,
}

/// The segments that an entry refuses, as control hosts identified them ([`CrashEvidence`]).
///
/// Groups are kept and reported here as well, so that they outlive the control hosts.
///
/// [`CrashEvidence`]: super::CrashEvidence
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::PromptSegment;
/// use coltsfootnotch_forward::retry::RefusedSegments;
/// use coltsfootnotch_wire::{SegmentGroup, SegmentReport};
/// let (now, mut refused) = (Duration::from_secs(1), RefusedSegments::default());
/// let group = SegmentGroup { segments: vec![7], crash_age_ms: 0 };
/// refused.apply(now, &SegmentReport { refused: vec![group], ..Default::default() });
/// assert!(refused.is_refused(now, &[PromptSegment { id: 7, tokens: 90 }]));
/// assert!(!refused.is_refused(now, &[PromptSegment { id: 8, tokens: 90 }]));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RefusedSegments {
    groups: Vec<Group>,
    /// Segments under suspicion, and since when.
    watched: HashMap<u64, Duration>,
    answered: BTreeSet<u64>,
    answered_services: BTreeSet<Arc<str>>,
    /// Segments answered in the current and in the previous period.
    recent: [HashSet<u64>; 2],
    /// When the current period began.
    recent_since: Duration,
    /// Segments that came under suspicion and were answered lately.
    sound: BTreeSet<u64>,
    suspects: Unconfirmed<CrashSuspects>,
}

impl RefusedSegments {
    /// Applies the report of a control host; returns the groups that were not refused before.
    pub fn apply(&mut self, now: Duration, report: &SegmentReport) -> Vec<Vec<u64>> {
        self.groups.retain(|g| is_refused_since(now, g.last_crash));
        for segment in &report.cleared {
            self.clear(*segment);
        }
        let new = report.refused.iter().filter(|group| self.merge(now, group));
        let new = new.map(|group| group.segments.clone()).collect();
        self.watch(now, &report.suspected);
        new
    }

    /// Whether requests with these segments are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, segments: &[PromptSegment]) -> bool {
        let has = |id: &u64| segments.iter().any(|segment| segment.id == *id);
        let mut groups = self.groups.iter();
        groups.any(|g| is_refused_since(now, g.last_crash) && g.segments.iter().all(has))
    }

    /// Records that an upstream ended while it ran a request of this entry that it had not begun to answer.
    pub fn record_crash(&mut self, suspects: CrashSuspects) {
        if !suspects.segments.is_empty() {
            self.suspects.push(suspects);
        }
    }

    /// Records that an upstream of the service began to answer a request with these segments.
    pub fn on_answer(&mut self, now: Duration, service: &Arc<str>, segments: &[PromptSegment]) {
        if !segments.is_empty() && !self.answered_services.contains(service) {
            self.answered_services.insert(service.clone());
        }
        if now.saturating_sub(self.recent_since) >= RECENT_FOR {
            self.recent.swap(0, 1);
            self.recent[0].clear();
            self.recent_since = now;
        }
        for segment in segments {
            if self.recent[0].len() < MAX_RECENT {
                self.recent[0].insert(segment.id);
            }
            if self.watched.remove(&segment.id).is_some() {
                self.answered.insert(segment.id);
            }
        }
    }

    /// Has crashes that were reported lately reported again, to another control host: the one before may not
    /// have passed them on.
    pub fn repeat_reports(&mut self, now: Duration) {
        self.suspects.repeat(now);
    }

    /// What was recorded since the last report, and all groups refused.
    pub fn report(&mut self, now: Duration) -> CrashReport {
        let services = std::mem::take(&mut self.answered_services).into_iter();
        let groups = self.groups.iter();
        let groups = groups.map(|g| segment_group(now, &g.segments, g.last_crash));
        CrashReport {
            crash_suspects: self.suspects.take(now),
            answered_services: services.map(|service| service.to_string()).collect(),
            answered_segments: std::mem::take(&mut self.answered).into_iter().collect(),
            sound_segments: std::mem::take(&mut self.sound).into_iter().collect(),
            refused_segments: groups.collect(),
        }
    }

    fn watch(&mut self, now: Duration, suspected: &[u64]) {
        if self.watched.len() + suspected.len() > MAX_WATCHED {
            self.watched
                .retain(|_, since| now.saturating_sub(*since) < WATCHED_FOR);
        }
        for segment in suspected {
            if self.recent.iter().any(|recent| recent.contains(segment)) {
                self.sound.insert(*segment);
            }
            if self.watched.len() < MAX_WATCHED {
                self.watched.insert(*segment, now);
            }
        }
    }

    fn clear(&mut self, segment: u64) {
        for group in &mut self.groups {
            group.segments.remove(&segment);
        }
        self.groups.retain(|group| !group.segments.is_empty());
    }

    /// Adds a group; returns whether it is new.
    fn merge(&mut self, now: Duration, group: &SegmentGroup) -> bool {
        let segments: BTreeSet<u64> = group.segments.iter().copied().collect();
        if segments.is_empty() {
            return false;
        }
        let last_crash = now.saturating_sub(Duration::from_millis(group.crash_age_ms));
        let known = self.groups.iter_mut().find(|g| g.segments == segments);
        if let Some(known) = known {
            known.last_crash = known.last_crash.max(last_crash);
            false
        } else {
            self.groups.push(Group {
                segments,
                last_crash,
            });
            true
        }
    }
}
