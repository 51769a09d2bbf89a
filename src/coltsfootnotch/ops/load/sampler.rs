//! Polls a run: updates the fairness meter's backlogged accounts and collects the samples for the
//! report.

use std::time::{Duration, Instant};

use super::recorder::Recorder;
use super::scenario::Scenario;
use super::series::{Sample, Usage, share};
use super::slowdown::EngineSlowdown;
use super::target::Target;

/// Interval between polls of the backlog; well below the time that a request waits under load.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between samples of the time series.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Initial time that utilisation leaves out, while sidecars adapt their windows to the engines.
const WARM_UP: Duration = Duration::from_secs(1);

/// Sampler of one run.
pub(super) struct Sampler<'a> {
    target: &'a Target<'a>,
    recorder: &'a Recorder<'a>,
    scenario: Scenario,
    started: Instant,
    length: Duration,
    slots: u32,
    slowdown: EngineSlowdown,
    last_poll: (Instant, Duration),
    last_sample: (Instant, Duration),
    last_progress: Instant,
    pub(super) samples: Vec<Sample>,
    /// Utilisation after the warm-up.
    pub(super) usage: Usage,
    /// Utilisation after the warm-up while at least one request waited.
    pub(super) usage_while_waiting: Usage,
    pub(super) most_waiting: usize,
}

impl<'a> Sampler<'a> {
    pub(super) fn new(
        target: &'a Target<'a>,
        recorder: &'a Recorder<'a>,
        scenario: Scenario,
        length: Duration,
    ) -> Self {
        let now = Instant::now();
        let busy = target.busy_time();
        Self {
            target,
            recorder,
            scenario,
            started: now,
            length,
            slots: target.slots(),
            slowdown: EngineSlowdown::default(),
            last_poll: (now, busy),
            last_sample: (now, busy),
            last_progress: now,
            samples: Vec::new(),
            usage: Usage::default(),
            usage_while_waiting: Usage::default(),
            most_waiting: 0,
        }
    }

    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Polls once; `progress` receives a line about once a second.
    pub(super) fn poll(&mut self, progress: &mut impl FnMut(&str)) {
        let now = Instant::now();
        let elapsed = now - self.started;
        self.slowdown
            .update(self.scenario, self.target.engines, elapsed, self.length);
        let waiting: usize = self.recorder.sample_backlog().iter().sum();
        self.most_waiting = self.most_waiting.max(waiting);
        let busy = self.target.busy_time();
        self.record_usage(now, busy, waiting);
        if now - self.last_sample.0 >= SAMPLE_INTERVAL {
            self.take_sample(now, busy, waiting);
        }
        if now - self.last_progress >= PROGRESS_INTERVAL {
            self.last_progress = now;
            progress(&self.progress_line(elapsed, waiting));
        }
    }

    fn record_usage(&mut self, now: Instant, busy: Duration, waiting: usize) {
        let (previous, previous_busy) = std::mem::replace(&mut self.last_poll, (now, busy));
        if previous - self.started < WARM_UP {
            return;
        }
        let used = busy.saturating_sub(previous_busy);
        let available = (now - previous) * self.slots;
        self.usage.add(used, available);
        if waiting > 0 {
            self.usage_while_waiting.add(used, available);
        }
    }

    fn take_sample(&mut self, now: Instant, busy: Duration, waiting: usize) {
        let (previous, previous_busy) = std::mem::replace(&mut self.last_sample, (now, busy));
        let available = (now - previous) * self.slots;
        self.samples.push(Sample {
            elapsed: now - self.started,
            service: self.recorder.service(),
            waiting,
            utilisation: share(busy.saturating_sub(previous_busy), available),
        });
    }

    fn progress_line(&self, elapsed: Duration, waiting: usize) -> String {
        let counts = self.recorder.counts();
        let gap = self.recorder.largest_gap().map_or(0, |(gap, _)| gap);
        let utilisation = self.samples.last().map_or(0.0, |s| s.utilisation);
        format!(
            "{:>4.0}s  requests {:>7}  whole {:>7}  waiting {:>5}  utilisation {:>5.1}%  gap {}",
            elapsed.as_secs_f64(),
            counts.requests,
            counts.complete,
            waiting,
            100.0 * utilisation,
            gap,
        )
    }
}
