//! Concurrency limit of one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use super::round::Round;
use super::thresholds::{
    FAILURE_DIVISOR, FIRST_HOLD, GROW_BELOW, GROWTH_DIVISOR, INITIAL_LIMIT, MAX_HOLD, MAX_LIMIT,
    MIN_FAILURES, MIN_LIMIT, OVERLOAD_ABOVE, PENDING_DIVISOR, ROUND_SAMPLES, STEP_DOWN_DIVISOR,
};
use super::{RunEnd, WindowTargets};

/// Adaptive limit on the requests in flight on one upstream, from its measured latencies.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::window::{ConcurrencyWindow, RunEnd, WindowTargets};
/// let mut window = ConcurrencyWindow::new(WindowTargets::model());
/// let started = Duration::from_secs(1);
/// window.on_start(started, false);
/// window.on_first_token(started, started + Duration::from_millis(300));
/// window.on_end(started, started + Duration::from_secs(2), RunEnd::Finished);
/// assert_eq!(window.free(), window.limit());
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    targets: WindowTargets,
    limit: u32,
    in_flight: u32,
    /// Size of the next growth; `None` while the limit doubles.
    step: Option<u32>,
    /// Limit before the last growth, during the round that tests the growth.
    grown_from: Option<u32>,
    /// Remaining rounds without growth.
    hold: u32,
    /// Rounds without growth after the next reverted growth.
    next_hold: u32,
    round: Round,
    round_started: Duration,
    /// Runs without a first token, by the time they started.
    pending_runs: BTreeMap<Duration, u32>,
    last_token: Duration,
    halved_at: Option<Duration>,
    engine_has_queue: bool,
}

impl ConcurrencyWindow {
    /// A window with the initial limit.
    #[must_use]
    pub fn new(targets: WindowTargets) -> Self {
        Self {
            targets,
            limit: INITIAL_LIMIT,
            in_flight: 0,
            step: None,
            grown_from: None,
            hold: 0,
            next_hold: FIRST_HOLD,
            round: Round::default(),
            round_started: Duration::ZERO,
            pending_runs: BTreeMap::new(),
            last_token: Duration::ZERO,
            halved_at: None,
            engine_has_queue: false,
        }
    }

    /// Sets the targets; the current limit is kept.
    pub fn set_targets(&mut self, targets: WindowTargets) {
        self.targets = targets;
    }

    /// Current limit on the requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of requests that may be added; zero while a reduced limit is exceeded.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.in_flight)
    }

    /// Counts a run that starts; `more_waiting` says whether further requests wait for this
    /// upstream.
    pub fn on_start(&mut self, now: Duration, more_waiting: bool) {
        self.in_flight += 1;
        *self.pending_runs.entry(now).or_default() += 1;
        if self.in_flight >= self.limit && more_waiting {
            self.round.reached_limit = true;
        }
    }

    /// Records the first token of a run that started at `started`.
    pub fn on_first_token(&mut self, started: Duration, now: Duration) {
        self.last_token = now;
        self.remove_pending(started);
        if started >= self.round_started {
            self.round.add_first_token(now.saturating_sub(started));
            self.try_end_round(now);
        }
    }

    /// Records the time between two tokens of a run.
    pub fn on_token_gap(&mut self, gap: Duration, now: Duration) {
        self.last_token = now;
        self.round.add_token_gap(gap);
    }

    /// Counts the end of a run that started at `started`.
    ///
    /// # Panics
    /// If no run is in flight.
    pub fn on_end(&mut self, started: Duration, now: Duration, end: RunEnd) {
        assert!(self.in_flight > 0, "a run ended without a start");
        self.in_flight -= 1;
        self.remove_pending(started);
        // A crash of the engine fails all runs at once and must halve the limit only once, so only
        // runs that started after the last reduction count.
        let since_halved = self.halved_at.is_none_or(|halved_at| started > halved_at);
        if end == RunEnd::Failed && since_halved {
            self.round.failures += 1;
            let started_runs = self.in_flight + self.round.failures;
            if self.round.failures >= (started_runs / FAILURE_DIVISOR).max(MIN_FAILURES) {
                self.halve(now);
            }
        }
    }

    /// Applies the engine's report that `queued` requests waited inside it at `taken`.
    ///
    /// Reports may be late: one from before the last change of the limit is ignored, and a newer
    /// one prevents growth but does not lower the limit.
    pub fn on_load_report(&mut self, taken: Duration, queued: u32) {
        if taken >= self.round_started {
            self.engine_has_queue = queued > 0;
        }
    }

    /// Checks for runs without a first token; meant to be called a few times per second.
    ///
    /// Reduces the limit of an engine that hangs and so yields no measurements.
    pub fn on_tick(&mut self, now: Duration) {
        let timeout = self.targets.first_token.mul_f64(OVERLOAD_ABOVE);
        let first_of_round = self.pending_runs.range(self.round_started..).next();
        let oldest = first_of_round.map_or(now, |(started, _)| *started);
        // A run may wait behind long ones while the engine yields tokens.
        let no_token_since = oldest.max(self.last_token);
        if now.saturating_sub(no_token_since) > timeout {
            self.halve(now);
        } else {
            self.try_end_round(now);
        }
    }

    /// Ends the round once enough of its runs are measured and few are pending.
    ///
    /// After a growth, runs that get a slot at once answer first and are too favourable a sample.
    /// So pending runs above the target count with their wait so far, and the round waits for the
    /// others.
    fn try_end_round(&mut self, now: Duration) {
        let late = now.saturating_sub(self.targets.first_token);
        let mut pending = 0;
        let mut late_waits = Vec::new();
        for (started, count) in self.pending_runs.range(self.round_started..) {
            if *started <= late {
                let time = now.saturating_sub(*started);
                late_waits.extend(std::iter::repeat_n(time, *count as usize));
            } else {
                pending += *count as usize;
            }
        }
        let measured = self.round.first_token_count() + late_waits.len();
        if measured >= ROUND_SAMPLES && pending <= measured / PENDING_DIVISOR {
            late_waits
                .into_iter()
                .for_each(|time| self.round.add_first_token(time));
            self.end_round(now);
        }
    }

    fn remove_pending(&mut self, started: Duration) {
        if let Some(count) = self.pending_runs.get_mut(&started) {
            *count -= 1;
            if *count == 0 {
                self.pending_runs.remove(&started);
            }
        }
    }

    fn end_round(&mut self, now: Duration) {
        let latency_ratio = self.latency_ratio();
        let may_grow = self.round.reached_limit && !self.engine_has_queue;
        if latency_ratio > 1.0 {
            self.shrink(latency_ratio, now);
            return;
        }
        if self.grown_from.take().is_some() {
            self.next_hold = FIRST_HOLD;
        }
        if latency_ratio >= GROW_BELOW || !may_grow {
            self.set_limit(self.limit, now);
        } else if self.hold > 0 {
            self.hold -= 1;
            self.set_limit(self.limit, now);
        } else {
            self.grow(now);
        }
    }

    /// Doubles the limit at first, then raises it by steps that double while they succeed.
    fn grow(&mut self, now: Duration) {
        let max_step = (self.limit / GROWTH_DIVISOR).max(1);
        let more = match self.step {
            Some(step) => step.min(max_step),
            None => self.limit,
        };
        self.step = self.step.map(|_| 2 * more);
        let before = self.limit;
        self.set_limit(before + more, now);
        self.grown_from = Some(before);
    }

    /// Reverts the last growth if there is one, else steps down or, on overload, halves the limit.
    fn shrink(&mut self, latency_ratio: f64, now: Duration) {
        let Some(before) = self.grown_from else {
            if latency_ratio > OVERLOAD_ABOVE {
                self.halve(now);
            } else {
                let down = (self.limit / STEP_DOWN_DIVISOR).max(1);
                self.hold_at(now, self.limit - down);
            }
            return;
        };
        self.hold_at(now, before);
        // A large step that overshot may be followed by a smaller one without a hold.
        let overshot_far = self.step.is_none_or(|step| step > 2);
        self.hold = if overshot_far { 0 } else { self.hold };
        self.step = Some(if overshot_far {
            (before / GROWTH_DIVISOR / 2).max(1)
        } else {
            1
        });
    }

    fn hold_at(&mut self, now: Duration, limit: u32) {
        self.set_limit(limit, now);
        self.step = Some(1);
        self.hold = self.next_hold;
        self.next_hold = (self.next_hold * 2).min(MAX_HOLD);
    }

    /// The larger of both medians, each divided by its target.
    fn latency_ratio(&self) -> f64 {
        let first = self.round.median_first_token();
        let first = first.map_or(0.0, |time| ratio(time, self.targets.first_token));
        let gap = self.round.median_token_gap().zip(self.targets.token_gap);
        let gap = gap.map_or(0.0, |(time, target)| ratio(time, target));
        first.max(gap)
    }

    fn halve(&mut self, now: Duration) {
        // With fewer runs in flight than the limit, the capacity is below the limit as well.
        let in_use = self.limit.min(self.in_flight + self.round.failures);
        self.set_limit(in_use / 2, now);
        self.halved_at = Some(now);
        self.step = Some((self.limit / GROWTH_DIVISOR).max(1));
    }

    fn set_limit(&mut self, limit: u32, now: Duration) {
        self.limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        self.round = Round::default();
        self.round_started = now;
        self.engine_has_queue = false;
        self.grown_from = None;
    }
}

fn ratio(time: Duration, target: Duration) -> f64 {
    time.as_secs_f64() / target.as_secs_f64()
}
