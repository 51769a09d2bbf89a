//! The limit of one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use super::sample::Round;
use super::thresholds::{
    FAILURE_PARTS, FIRST_LIMIT, FIRST_REST, GROW_BELOW, GROWTH_PARTS, MAX_LIMIT, MAX_REST,
    MIN_FAILURES, MIN_LIMIT, OPEN_PARTS, ROUND_FIRSTS, STEP_PARTS, TROUBLE_ABOVE,
};
use super::{RunEnd, WindowTargets};

/// The number of requests one upstream may hold, found from the times it keeps.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::window::{ConcurrencyWindow, RunEnd, WindowTargets};
/// let mut window = ConcurrencyWindow::new(WindowTargets::model());
/// let started = Duration::from_secs(1);
/// window.on_start(started, false);
/// window.on_first(started, started + Duration::from_millis(300));
/// window.on_end(started, started + Duration::from_secs(2), RunEnd::Finished);
/// assert_eq!(window.free(), window.limit());
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    targets: WindowTargets,
    limit: u32,
    in_flight: u32,
    /// How much the limit grows next; `None` while it still doubles.
    step: Option<u32>,
    /// The limit before the last growth, while the round that tries the growth goes on.
    grown_from: Option<u32>,
    /// Rounds that the limit still rests, and how many it rests after the next failed step.
    rest: u32,
    next_rest: u32,
    round: Round,
    round_began: Duration,
    /// Runs without a first token, by the time they started.
    awaiting_first: BTreeMap<Duration, u32>,
    last_token: Duration,
    fell_at: Option<Duration>,
    engine_queues: bool,
}

impl ConcurrencyWindow {
    /// A window that has found nothing yet.
    #[must_use]
    pub fn new(targets: WindowTargets) -> Self {
        Self {
            targets,
            limit: FIRST_LIMIT,
            in_flight: 0,
            step: None,
            grown_from: None,
            rest: 0,
            next_rest: FIRST_REST,
            round: Round::default(),
            round_began: Duration::ZERO,
            awaiting_first: BTreeMap::new(),
            last_token: Duration::ZERO,
            fell_at: None,
            engine_queues: false,
        }
    }

    /// Aims at other times from now on, as a configuration may state; what was found so far stays.
    pub fn aim_at(&mut self, targets: WindowTargets) {
        self.targets = targets;
    }

    /// How many requests the upstream may hold now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// How many it holds.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// How many more it may be sent; zero while it holds more than a limit that fell.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.in_flight)
    }

    /// Counts a run that starts; `more_waits` says whether other work waits for this upstream.
    pub fn on_start(&mut self, now: Duration, more_waits: bool) {
        self.in_flight += 1;
        *self.awaiting_first.entry(now).or_default() += 1;
        if self.in_flight >= self.limit && more_waits {
            self.round.wanted_more = true;
        }
    }

    /// Counts the first token of a run that started at `started`.
    pub fn on_first(&mut self, started: Duration, now: Duration) {
        self.last_token = now;
        self.forget_awaiting(started);
        if started >= self.round_began {
            self.round.add_first(now.saturating_sub(started));
            self.try_end_round(now);
        }
    }

    /// Counts the time between two tokens of a run.
    pub fn on_gap(&mut self, gap: Duration, now: Duration) {
        self.last_token = now;
        self.round.add_gap(gap);
    }

    /// Counts the end of a run that started at `started`.
    ///
    /// # Panics
    /// If more runs end than have started.
    pub fn on_end(&mut self, started: Duration, now: Duration, end: RunEnd) {
        assert!(self.in_flight > 0, "a run that ends has started");
        self.in_flight -= 1;
        self.forget_awaiting(started);
        // An engine that dies fails all its runs at once. They are one trouble: only a run that
        // started after the last fall says that the lower limit is still too high.
        let since_fall = self.fell_at.is_none_or(|fell_at| started > fell_at);
        if end == RunEnd::Failed && since_fall {
            self.round.failures += 1;
            let held = self.in_flight + self.round.failures;
            if self.round.failures >= (held / FAILURE_PARTS).max(MIN_FAILURES) {
                self.fall(now);
            }
        }
    }

    /// Takes in the engine's own report that `queued` requests wait inside it, taken at `taken`.
    ///
    /// Reports come late, so one from before the last change is not believed, and one that is
    /// believed only holds back growth: it never lowers the limit.
    pub fn on_load_report(&mut self, taken: Duration, queued: u32) {
        if taken >= self.round_began {
            self.engine_queues = queued > 0;
        }
    }

    /// Looks for runs that wait too long for a first token; call it a few times a second.
    ///
    /// An engine that hangs sends no times at all. Without this check its limit would stay.
    pub fn on_tick(&mut self, now: Duration) {
        let patience = self.targets.first.mul_f64(TROUBLE_ABOVE);
        let of_round = self.awaiting_first.range(self.round_began..).next();
        let oldest = of_round.map_or(now, |(started, _)| *started);
        // One run that waits behind long ones is no trouble while the engine yields tokens.
        let silent_since = oldest.max(self.last_token);
        if now.saturating_sub(silent_since) > patience {
            self.fall(now);
        } else {
            self.try_end_round(now);
        }
    }

    /// Ends the round once enough of its runs are judged and few are open.
    ///
    /// After a growth the runs that find a slot are the first to answer. Judging by them alone would
    /// double the limit again while the rest still wait inside the engine; so runs that have waited
    /// past the target count as they stand, and the others are waited for.
    fn try_end_round(&mut self, now: Duration) {
        let late = now.saturating_sub(self.targets.first);
        let mut open = 0;
        let mut waited = Vec::new();
        for (started, count) in self.awaiting_first.range(self.round_began..) {
            if *started <= late {
                let time = now.saturating_sub(*started);
                waited.extend(std::iter::repeat_n(time, *count as usize));
            } else {
                open += *count as usize;
            }
        }
        let judged = self.round.firsts() + waited.len();
        if judged >= ROUND_FIRSTS && open <= judged / OPEN_PARTS {
            waited
                .into_iter()
                .for_each(|time| self.round.add_first(time));
            self.end_round(now);
        }
    }

    fn forget_awaiting(&mut self, started: Duration) {
        if let Some(count) = self.awaiting_first.get_mut(&started) {
            *count -= 1;
            if *count == 0 {
                self.awaiting_first.remove(&started);
            }
        }
    }

    fn end_round(&mut self, now: Duration) {
        let pressure = self.pressure();
        let may_grow = self.round.wanted_more && !self.engine_queues;
        if pressure > 1.0 {
            self.shrink(pressure, now);
            return;
        }
        if self.grown_from.take().is_some() {
            self.next_rest = FIRST_REST;
        }
        if pressure >= GROW_BELOW || !may_grow {
            self.set_limit(self.limit, now);
        } else if self.rest > 0 {
            self.rest -= 1;
            self.set_limit(self.limit, now);
        } else {
            self.grow(now);
        }
    }

    /// Grows: doubled at first, then by steps that double as long as they succeed.
    fn grow(&mut self, now: Duration) {
        let most = (self.limit / GROWTH_PARTS).max(1);
        let more = match self.step {
            Some(step) => step.min(most),
            None => self.limit,
        };
        self.step = self.step.map(|_| 2 * more);
        let before = self.limit;
        self.set_limit(before + more, now);
        self.grown_from = Some(before);
    }

    /// Takes back the last growth if it was too much, else steps down or, in trouble, falls.
    fn shrink(&mut self, pressure: f64, now: Duration) {
        let Some(before) = self.grown_from else {
            if pressure > TROUBLE_ABOVE {
                self.fall(now);
            } else {
                let down = (self.limit / STEP_PARTS).max(1);
                self.rest_after_failure(now, self.limit - down);
            }
            return;
        };
        self.rest_after_failure(now, before);
        // A step that overshot by far says little about the next smaller one.
        let overshot = self.step.is_none_or(|step| step > 2);
        self.rest = if overshot { 0 } else { self.rest };
        self.step = Some(if overshot {
            (before / GROWTH_PARTS / 2).max(1)
        } else {
            1
        });
    }

    fn rest_after_failure(&mut self, now: Duration, limit: u32) {
        self.set_limit(limit, now);
        self.step = Some(1);
        self.rest = self.next_rest;
        self.next_rest = (self.next_rest * 2).min(MAX_REST);
    }

    /// The larger of both medians, each as a multiple of its target.
    fn pressure(&self) -> f64 {
        let first = self.round.median_first();
        let first = first.map_or(0.0, |time| ratio(time, self.targets.first));
        let gap = self.round.median_gap().zip(self.targets.gap);
        let gap = gap.map_or(0.0, |(time, target)| ratio(time, target));
        first.max(gap)
    }

    fn fall(&mut self, now: Duration) {
        // Half of what is really held: an upstream that fails far below its limit has shown that
        // the limit means nothing.
        let held = self.limit.min(self.in_flight + self.round.failures);
        self.set_limit(held / 2, now);
        self.fell_at = Some(now);
        self.step = Some((self.limit / GROWTH_PARTS).max(1));
    }

    fn set_limit(&mut self, limit: u32, now: Duration) {
        self.limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        self.round = Round::default();
        self.round_began = now;
        self.engine_queues = false;
        self.grown_from = None;
    }
}

fn ratio(time: Duration, target: Duration) -> f64 {
    time.as_secs_f64() / target.as_secs_f64()
}
