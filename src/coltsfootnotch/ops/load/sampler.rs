//! Watches a run: tells the fairness meter who is backlogged, and keeps the samples for the page.

use std::time::{Duration, Instant};

use super::disturb::Disturbance;
use super::recorder::Recorder;
use super::scenario::Scenario;
use super::series::{Sample, Usage, share};
use super::target::Target;

/// Time between looks at the backlog; well below the time that a request waits under load.
pub(super) const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time between kept samples.
const SAMPLE_EVERY: Duration = Duration::from_millis(200);
/// Time between progress lines.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);
/// Start of the run that utilisation leaves out: sidecars still find out how much engines hold.
const WARM_UP: Duration = Duration::from_secs(1);

/// The watch over one run.
pub(super) struct Sampler<'a> {
    target: &'a Target<'a>,
    recorder: &'a Recorder<'a>,
    scenario: Scenario,
    started: Instant,
    length: Duration,
    slots: u32,
    disturbance: Disturbance,
    looked: (Instant, Duration),
    sampled: (Instant, Duration),
    progressed: Instant,
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
        let busy = target.busy();
        Self {
            target,
            recorder,
            scenario,
            started: now,
            length,
            slots: target.slots(),
            disturbance: Disturbance::default(),
            looked: (now, busy),
            sampled: (now, busy),
            progressed: now,
            samples: Vec::new(),
            usage: Usage::default(),
            usage_while_waiting: Usage::default(),
            most_waiting: 0,
        }
    }

    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Looks once; `progress` gets a line about once a second.
    pub(super) fn look(&mut self, progress: &mut impl FnMut(&str)) {
        let now = Instant::now();
        let elapsed = now - self.started;
        self.disturbance
            .step(self.scenario, self.target.engines, elapsed, self.length);
        let waiting: usize = self.recorder.sample_backlog().iter().sum();
        self.most_waiting = self.most_waiting.max(waiting);
        let busy = self.target.busy();
        self.count_usage(now, busy, waiting);
        if now - self.sampled.0 >= SAMPLE_EVERY {
            self.sample(now, busy, waiting);
        }
        if now - self.progressed >= PROGRESS_EVERY {
            self.progressed = now;
            progress(&self.progress_line(elapsed, waiting));
        }
    }

    fn count_usage(&mut self, now: Instant, busy: Duration, waiting: usize) {
        let (then, busy_then) = std::mem::replace(&mut self.looked, (now, busy));
        if then - self.started < WARM_UP {
            return;
        }
        let used = busy.saturating_sub(busy_then);
        let offered = (now - then) * self.slots;
        self.usage.add(used, offered);
        if waiting > 0 {
            self.usage_while_waiting.add(used, offered);
        }
    }

    fn sample(&mut self, now: Instant, busy: Duration, waiting: usize) {
        let (then, busy_then) = std::mem::replace(&mut self.sampled, (now, busy));
        let offered = (now - then) * self.slots;
        self.samples.push(Sample {
            at: now - self.started,
            service: self.recorder.service(),
            waiting,
            utilisation: share(busy.saturating_sub(busy_then), offered),
        });
    }

    fn progress_line(&self, elapsed: Duration, waiting: usize) -> String {
        let counts = self.recorder.counts();
        let gap = self.recorder.gap().map_or(0, |(gap, _)| gap);
        let utilisation = self.samples.last().map_or(0.0, |s| s.utilisation);
        format!(
            "{:>4.0}s  requests {:>7}  whole {:>7}  waiting {:>5}  utilisation {:>5.1}%  gap {}",
            elapsed.as_secs_f64(),
            counts.requests,
            counts.whole,
            waiting,
            100.0 * utilisation,
            gap,
        )
    }
}
