//! The figures of a run, as one JSON object.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::recorder::Times;

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half of the requests took at most this long.
    pub p50: f64,
    /// 95 in 100 requests took at most this long.
    pub p95: f64,
    /// 99 in 100 requests took at most this long.
    pub p99: f64,
    /// Requests measured.
    pub count: u64,
}

/// A time of the small accounts beside that of the large ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SmallAndLarge {
    /// Small accounts.
    pub small: Percentiles,
    /// Large accounts.
    pub large: Percentiles,
}

/// Everything that a run measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The pattern of load.
    pub scenario: String,
    /// The policy that the fleet chose by.
    pub policy: String,
    /// Seed of the callers.
    pub seed: u64,
    /// Length of the run, without what it took to drain.
    pub seconds: f64,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Callers.
    pub callers: usize,
    /// Slots of the engines.
    pub slots: u32,
    /// Largest change of the difference in service per weight between two accounts over a window
    /// in which both were backlogged, in service units (tokens times their weights) at weight 1.
    pub fairness_gap_tokens: u64,
    /// The accounts with that gap.
    pub fairness_gap_between: Option<[String; 2]>,
    /// What the gap may come to, for two accounts of the smallest weight played.
    pub fairness_bound_tokens: u64,
    /// Share of the engines' slot time in use after the first second.
    pub utilisation: f64,
    /// The same over the time in which at least one request waited.
    pub utilisation_while_waiting: f64,
    /// Bytes that a host sent other hosts each second, answers excluded.
    pub control_bytes_per_host_per_s: f64,
    /// From sending to the head of the answer.
    pub wait_ms: SmallAndLarge,
    /// From sending to the first token.
    pub first_token_ms: SmallAndLarge,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered whole and right.
    pub whole_answers: u64,
    /// Requests refused with `"run":"no"`.
    pub refused_not_run: u64,
    /// Requests of these that ran all the same.
    pub refused_but_run: u64,
    /// Requests that failed with `"run":"unknown"`.
    pub run_unknown: u64,
    /// Requests that failed with `"run":"yes"`.
    pub failed_after_run: u64,
    /// Errors of the upstream itself, passed on.
    pub upstream_errors: u64,
    /// Errors of the fleet that did not say whether the request was run.
    pub untyped_errors: u64,
    /// Requests without any answer.
    pub no_answer: u64,
    /// Whole answers that were not the one to the request.
    pub wrong_answers: u64,
    /// Answers that ended early without an error.
    pub incomplete_answers: u64,
    /// Keys booked more than once.
    pub doubled_bookings: u64,
    /// Keys whose caller was told that they were booked, and that were not.
    pub lost_bookings: u64,
    /// Crashes of the stand-in engines.
    pub crashes: u64,
    /// Most requests that waited at once.
    pub most_waiting: usize,
    /// Most requests that ever waited inside one engine, where nothing can order them.
    pub most_waiting_inside: u32,
    /// Mean time that requests waited inside their engine for a slot, in milliseconds.
    pub mean_wait_inside_ms: f64,
}

impl Summary {
    /// Whether every answer was whole and right and no claim of the fleet was false.
    #[must_use]
    pub fn all_right(&self) -> bool {
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

/// The percentiles of a histogram of microseconds.
pub(super) fn percentiles(micros: &Histogram<u64>) -> Percentiles {
    let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
        count: micros.len(),
    }
}

/// Waits and times to the first token of the small and the large accounts.
pub(super) fn times(small: &Times, large: &Times) -> (SmallAndLarge, SmallAndLarge) {
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
