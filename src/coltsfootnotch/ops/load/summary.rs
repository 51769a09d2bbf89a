//! Summary metrics of a run, serialized as one JSON object.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::recorder::Latencies;

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Number of measurements.
    pub count: u64,
}

/// A latency of the small and of the large accounts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SmallAndLarge {
    /// Small accounts.
    pub small: Percentiles,
    /// Large accounts.
    pub large: Percentiles,
}

/// Summary metrics of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: String,
    /// Scheduling policy of the fleet.
    pub policy: String,
    /// Seed of the callers' random numbers.
    pub seed: u64,
    /// Length of the run in seconds, without draining the last answers.
    pub seconds: f64,
    /// Number of hosts of the fleet.
    pub hosts: usize,
    /// Number of callers.
    pub callers: usize,
    /// Slots of all engines.
    pub slots: u32,
    /// Largest change of the difference in service per weight between two accounts over a window
    /// in which both were backlogged, in service units (tokens times their weights) at weight 1.
    pub fairness_gap_tokens: u64,
    /// The accounts with that gap.
    pub fairness_gap_between: Option<[String; 2]>,
    /// Upper bound of the gap for two accounts of the smallest weight, in the same units.
    pub fairness_bound_tokens: u64,
    /// Share of the engines' slot time in use after the first second, from 0 to 1.
    pub utilisation: f64,
    /// As `utilisation`, only while at least one request waited.
    pub utilisation_while_waiting: f64,
    /// Mean bytes per second that a host sent to other hosts, answers excluded.
    pub control_bytes_per_host_per_s: f64,
    /// From sending to the response head.
    pub wait_ms: SmallAndLarge,
    /// From sending to the first token.
    pub first_token_ms: SmallAndLarge,
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete and correct answer.
    pub whole_answers: u64,
    /// Requests refused with `"run":"no"`.
    pub refused_not_run: u64,
    /// Requests and bookings that ran despite this answer.
    pub refused_but_run: u64,
    /// Requests that failed with `"run":"unknown"`.
    pub run_unknown: u64,
    /// Requests that failed with `"run":"yes"`.
    pub failed_after_run: u64,
    /// Errors of an upstream that the fleet passed on.
    pub upstream_errors: u64,
    /// Errors of the fleet that did not state whether the request was run.
    pub untyped_errors: u64,
    /// Requests without an answer.
    pub no_answer: u64,
    /// Complete answers that did not match the request.
    pub wrong_answers: u64,
    /// Answers that ended early without an error.
    pub incomplete_answers: u64,
    /// Keys booked more than once.
    pub doubled_bookings: u64,
    /// Keys that were acknowledged but not booked.
    pub lost_bookings: u64,
    /// Crashes of the stand-in engines.
    pub crashes: u64,
    /// Maximum number of requests waiting at the same time.
    pub most_waiting: usize,
    /// Maximum number of requests waiting inside one engine, where the fleet can't reorder them.
    pub most_waiting_inside: u32,
    /// Mean time that requests waited for a slot inside their engine, in milliseconds.
    pub mean_wait_inside_ms: f64,
}

impl Summary {
    /// Whether the run had no wrong, incomplete or untyped answer, no doubled or lost booking, and
    /// no refused request that ran.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        let faults = [
            self.wrong_answers,
            self.incomplete_answers,
            self.doubled_bookings,
            self.lost_bookings,
            self.refused_but_run,
            self.untyped_errors,
        ];
        faults.iter().all(|count| *count == 0)
    }
}

/// Percentiles in milliseconds of a histogram in microseconds.
pub(super) fn percentiles(micros: &Histogram<u64>) -> Percentiles {
    let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
        count: micros.len(),
    }
}

/// Wait and time to first token of the small and the large accounts.
pub(super) fn latencies(small: &Latencies, large: &Latencies) -> (SmallAndLarge, SmallAndLarge) {
    let wait = SmallAndLarge {
        small: percentiles(&small.wait),
        large: percentiles(&large.wait),
    };
    let first_token = SmallAndLarge {
        small: percentiles(&small.first_token),
        large: percentiles(&large.first_token),
    };
    (wait, first_token)
}
