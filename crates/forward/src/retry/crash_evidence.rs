//! Which prompt segments crash upstreams, from the reports of all entries.
//!
//! A crash ends everything that an upstream runs, so each segment of a request that had no event yet becomes a
//! suspect. An answer that begins clears the segments of its prompt. The segment that crashes upstreams is in
//! every crash and never cleared; others are so by chance for a short time only. Three rules keep sound
//! segments from being refused:
//!
//! - Crashes without an answer of the service between them count once: a domain that loses power, or a service
//!   that is gone, shows nothing about segments.
//! - A segment whose crashes are all among those of another one is explained by that. Segments with the same
//!   crashes can't be told apart, so only requests with all of them are refused; the sound ones among them are
//!   cleared by requests without the others.
//! - Crashes of one upstream alone count less, since it may crash by itself, and those of segments that were
//!   answered lately, before or after a crash, count less as well.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_wire::{CrashReport, CrashSuspects, SegmentGroup, SegmentReport};

/// Separate crashes from which a segment is refused.
const MIN_CRASHES: usize = 3;
/// The same for a segment that crashed [`MANY_UPSTREAMS`]: it may take down all of them before there is another
/// answer.
const MIN_CRASHES_AT_MANY: usize = 2;
const MANY_UPSTREAMS: usize = 5;
/// The same for a segment that was answered lately.
const MIN_CRASHES_IF_ANSWERED: usize = 6;
/// Further crashes that it takes if all were of one upstream.
const MORE_AT_ONE_UPSTREAM: usize = 2;

/// Report periods after a crash from which answers that are reported were given after it, and within which all
/// entries have reported it.
const SEPARATION_PERIODS: u32 = 2;

/// Time for which an answer makes a segment unlikely to be a cause.
const ANSWERED_FOR: Duration = Duration::from_secs(60);
/// Time after the last crash for which crashes count against a segment.
const SUSPECT_FOR: Duration = Duration::from_secs(600);
/// Time for which a segment is refused after its last crash. Bounded, so that one that is sound again, as after
/// an upgrade of the upstreams, is accepted.
const REFUSED_FOR: Duration = Duration::from_secs(600);
/// Time after a clearance in which entries may still report the segment as refused.
const REPORT_DELAY: Duration = Duration::from_secs(5);

/// Most crashed runs that are told apart for a segment.
const MAX_RUNS: usize = 32;
/// Most segments under suspicion; a crash of a large engine adds some hundred.
const MAX_SEGMENTS: usize = 10_000;

/// The crashes that count against a segment.
#[derive(Debug, Clone, Default)]
struct Suspicion {
    /// The runs that crashed, and when that was reported.
    runs: BTreeMap<u64, Duration>,
    upstreams: BTreeSet<u64>,
    /// When crashes were reported that had an answer of the service between them.
    separate: Vec<Duration>,
    last: Duration,
}

/// Segments that are refused in requests that have all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Identified {
    segments: BTreeSet<u64>,
    last_crash: Duration,
}

/// Evidence on segments that crash upstreams, kept by control hosts.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::CrashEvidence;
/// use coltsfootnotch_wire::{CrashReport, CrashSuspects};
/// let mut evidence = CrashEvidence::default();
/// for run in 0..3 {
///     let now = Duration::from_secs(run);
///     let crash = CrashSuspects { run, upstream: run, service: "spec".into(), segments: vec![7] };
///     let report = CrashReport {
///         answered_services: vec!["spec".into()],
///         crash_suspects: vec![crash],
///         ..Default::default()
///     };
///     evidence.on_report(now, Duration::from_millis(100), &report);
/// }
/// let report = evidence.take_report(Duration::from_millis(2_200), Duration::from_millis(100));
/// assert_eq!(report.refused[0].segments, [7]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    by_segment: HashMap<u64, Suspicion>,
    /// When a segment was last known to be answered.
    answered: HashMap<u64, Duration>,
    /// When an answer was last reported, by service.
    last_answer: HashMap<String, Duration>,
    identified: Vec<Identified>,
    last_crash: Option<Duration>,
    /// Crashes reported until then have been judged.
    judged_until: Duration,
    newly_suspected: BTreeSet<u64>,
    newly_cleared: BTreeSet<u64>,
}

impl CrashEvidence {
    /// Records a report of an entry, or of the entries of another control host. What an entry knows is
    /// reported within `period`.
    pub fn on_report(&mut self, now: Duration, period: Duration, report: &CrashReport) {
        for service in &report.answered_services {
            self.last_answer.insert(service.clone(), now);
        }
        for segment in &report.sound_segments {
            self.answered.insert(*segment, now);
        }
        for segment in &report.answered_segments {
            self.clear(now, *segment);
        }
        for group in &report.refused_segments {
            self.merge(now, group);
        }
        for suspects in &report.crash_suspects {
            self.record(now, period * SEPARATION_PERIODS, suspects);
            self.last_crash = Some(now);
        }
    }

    /// What entries are told each `period`: what has changed since the last call, and all groups of segments to
    /// refuse.
    pub fn take_report(&mut self, now: Duration, period: Duration) -> SegmentReport {
        // Crashes that not all entries may have reported yet are left out.
        let settled = now.saturating_sub(period * SEPARATION_PERIODS);
        if self.last_crash.is_some_and(|at| at > self.judged_until) {
            self.identify(now, settled);
            self.judged_until = settled;
        }
        let identified = self.identified.iter();
        let current = identified.filter(|g| is_refused_since(now, g.last_crash));
        let refused = current.map(|g| segment_group(now, &g.segments, g.last_crash));
        SegmentReport {
            refused: refused.collect(),
            suspected: std::mem::take(&mut self.newly_suspected)
                .into_iter()
                .collect(),
            cleared: std::mem::take(&mut self.newly_cleared)
                .into_iter()
                .collect(),
        }
    }

    fn record(&mut self, now: Duration, separation: Duration, suspects: &CrashSuspects) {
        self.make_room(now);
        let last_answer = self.last_answer.get(&suspects.service).copied();
        for segment in &suspects.segments {
            if self.by_segment.len() >= MAX_SEGMENTS && !self.by_segment.contains_key(segment) {
                continue;
            }
            let suspicion = self.by_segment.entry(*segment).or_default();
            self.newly_suspected.insert(*segment);
            suspicion.add(now, suspects, separation, last_answer);
        }
    }

    /// Forgets suspicions that have expired, if there are many.
    fn make_room(&mut self, now: Duration) {
        let is_current = |last: Duration| now.saturating_sub(last) < SUSPECT_FOR;
        if self.by_segment.len() >= MAX_SEGMENTS {
            self.by_segment.retain(|_, s| is_current(s.last));
        }
        if self.answered.len() >= MAX_SEGMENTS {
            self.answered
                .retain(|_, at| now.saturating_sub(*at) < ANSWERED_FOR);
        }
    }

    /// Records that an upstream began to answer a request with the segment.
    fn clear(&mut self, now: Duration, segment: u64) {
        self.by_segment.remove(&segment);
        self.answered.insert(segment, now);
        self.newly_cleared.insert(segment);
        self.newly_suspected.remove(&segment);
        for group in &mut self.identified {
            group.segments.remove(&segment);
        }
        self.identified.retain(|group| !group.segments.is_empty());
    }

    /// Adopts a group that an entry refuses: this host may have been started since it was identified.
    fn merge(&mut self, now: Duration, group: &SegmentGroup) {
        let is_cleared = |segment: &u64| {
            let at = self.answered.get(segment);
            at.is_some_and(|at| now.saturating_sub(*at) < REPORT_DELAY)
        };
        if group.segments.is_empty() || group.segments.iter().any(is_cleared) {
            return;
        }
        let last_crash = now.saturating_sub(Duration::from_millis(group.crash_age_ms));
        self.insert(group.segments.iter().copied().collect(), last_crash);
    }

    fn insert(&mut self, segments: BTreeSet<u64>, last_crash: Duration) {
        let known = self.identified.iter_mut().find(|g| g.segments == segments);
        if let Some(known) = known {
            known.last_crash = known.last_crash.max(last_crash);
        } else {
            self.identified.push(Identified {
                segments,
                last_crash,
            });
        }
    }

    /// Looks for segments that explain the crashes reported until `settled` and that nothing else does.
    fn identify(&mut self, now: Duration, settled: Duration) {
        let suspicions = self.by_segment.iter();
        let causes = suspicions.filter(|(segment, s)| {
            s.separate_until(settled) >= self.crashes_needed(now, **segment, s)
        });
        let causes: Vec<_> = causes
            .filter(|(_, s)| !self.is_explained(s, settled))
            .map(|(_, s)| (self.with_same_crashes(s, settled), s.last))
            .collect();
        for (segments, last_crash) in causes {
            self.insert(segments, last_crash);
        }
    }

    fn crashes_needed(&self, now: Duration, segment: u64, suspicion: &Suspicion) -> usize {
        let answered = self.answered.get(&segment);
        let was_answered = answered.is_some_and(|at| now.saturating_sub(*at) < ANSWERED_FOR);
        let needed = if was_answered {
            MIN_CRASHES_IF_ANSWERED
        } else if suspicion.upstreams.len() >= MANY_UPSTREAMS {
            MIN_CRASHES_AT_MANY
        } else {
            MIN_CRASHES
        };
        if suspicion.upstreams.len() < 2 {
            needed + MORE_AT_ONE_UPSTREAM
        } else {
            needed
        }
    }

    /// Whether another segment was in all of these crashes and in more.
    fn is_explained(&self, suspicion: &Suspicion, settled: Duration) -> bool {
        let mut others = self.by_segment.values();
        others.any(|other| other.has_all(suspicion, settled) && !suspicion.has_all(other, settled))
    }

    fn with_same_crashes(&self, suspicion: &Suspicion, settled: Duration) -> BTreeSet<u64> {
        let same = self.by_segment.iter().filter(|(_, other)| {
            other.has_all(suspicion, settled) && suspicion.has_all(other, settled)
        });
        same.map(|(segment, _)| *segment).collect()
    }
}

impl Suspicion {
    fn add(
        &mut self,
        now: Duration,
        suspects: &CrashSuspects,
        separation: Duration,
        last_answer: Option<Duration>,
    ) {
        if now.saturating_sub(self.last) >= SUSPECT_FOR {
            *self = Self::default();
        }
        if self.runs.len() >= MAX_RUNS || self.runs.contains_key(&suspects.run) {
            return;
        }
        self.runs.insert(suspects.run, now);
        self.upstreams.insert(suspects.upstream);
        let has_answer_since =
            |crash: &Duration| last_answer.is_some_and(|at| at >= *crash + separation);
        if self.separate.last().is_none_or(has_answer_since) {
            self.separate.push(now);
        }
        self.last = now;
    }

    /// Number of separate crashes that were reported until `settled`.
    fn separate_until(&self, settled: Duration) -> usize {
        self.separate.iter().filter(|at| **at <= settled).count()
    }

    /// Whether the segment was in all crashes of the other one that were reported until `settled`.
    fn has_all(&self, other: &Self, settled: Duration) -> bool {
        let mut runs = other.runs.iter().filter(|(_, at)| **at <= settled);
        runs.all(|(run, _)| self.runs.contains_key(run))
    }
}

/// Whether a group with this last crash is refused.
pub(super) fn is_refused_since(now: Duration, last_crash: Duration) -> bool {
    now.saturating_sub(last_crash) < REFUSED_FOR
}

/// A group as it is reported to other hosts, which have no common clock.
pub(super) fn segment_group<'a>(
    now: Duration,
    segments: impl IntoIterator<Item = &'a u64>,
    last_crash: Duration,
) -> SegmentGroup {
    let age = now.saturating_sub(last_crash).as_millis();
    SegmentGroup {
        segments: segments.into_iter().copied().collect(),
        crash_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
    }
}
