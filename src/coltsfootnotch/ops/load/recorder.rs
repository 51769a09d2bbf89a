//! Records the outcomes and latencies that the callers of a run observe.
//!
//! Callers report each step of a request. From these steps the recorder derives which accounts have
//! waiting requests, independently of the fleet, and measures the fairness gap over the windows in
//! which two accounts are both backlogged.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coltsfootnotch_decide::fair::FairnessMeter;
use coltsfootnotch_manifest::TokenWeights;
use coltsfootnotch_types::ServiceUnits;
use coltsfootnotch_wire::Run;
use hdrhistogram::Histogram;

use super::client::Answer;
use super::target::LoadAccount;

/// A request counts as waiting after this long without its first token. Requests that start at once
/// take a stand-in engine a few milliseconds and must not make their account look backlogged.
const START_ALLOWANCE: Duration = Duration::from_millis(60);
/// Upper bound of the histograms, in microseconds.
const MAX_MICROS: u64 = 120_000_000;
/// Significant digits of the histograms; values are within 0.1%.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of one group of accounts, in microseconds.
pub(super) struct Latencies {
    /// From sending to the response head, which is sent when an upstream starts.
    pub(super) wait: Histogram<u64>,
    /// From sending to the first token.
    pub(super) first_token: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        // The bounds are constants within what the histogram accepts.
        let histogram =
            || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds");
        Self {
            wait: histogram(),
            first_token: histogram(),
        }
    }
}

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) requests: u64,
    pub(super) complete: u64,
    pub(super) refused_not_run: u64,
    pub(super) run_unknown: u64,
    pub(super) failed_after_run: u64,
    pub(super) upstream_errors: u64,
    pub(super) untyped_errors: u64,
    pub(super) no_answer: u64,
    pub(super) wrong_answers: u64,
    pub(super) incomplete_answers: u64,
}

/// Answers received for one booking key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeyOutcome {
    /// Whether at least one answer acknowledged the booking.
    pub(super) acknowledged: bool,
    /// Whether every answer carried `"run":"no"`.
    pub(super) only_not_run: bool,
}

struct State {
    counts: Counts,
    small: Latencies,
    large: Latencies,
    service: Vec<u64>,
    /// For each account, when its requests without a first token were sent, by request number.
    unstarted: Vec<BTreeMap<u64, Instant>>,
    meter: FairnessMeter,
    keys: HashMap<String, KeyOutcome>,
    refused_prompts: Vec<String>,
    next_number: u64,
}

/// Collects the observations of all callers.
pub(super) struct Recorder<'a> {
    accounts: &'a [LoadAccount],
    weights: TokenWeights,
    state: Mutex<State>,
}

impl<'a> Recorder<'a> {
    pub(super) fn new(accounts: &'a [LoadAccount], weights: TokenWeights) -> Self {
        let state = State {
            counts: Counts::default(),
            small: Latencies::new(),
            large: Latencies::new(),
            service: vec![0; accounts.len()],
            unstarted: vec![BTreeMap::new(); accounts.len()],
            meter: FairnessMeter::new(),
            keys: HashMap::new(),
            refused_prompts: Vec::new(),
            next_number: 0,
        };
        Self {
            accounts,
            weights,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request is sent for an account; returns its number.
    ///
    /// Only streamed requests count as backlog, since an unstreamed answer doesn't show when the
    /// request was started.
    pub(super) fn record_send(&self, account: usize, streamed: bool) -> u64 {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.counts.requests += 1;
        if streamed {
            state.unstarted[account].insert(number, Instant::now());
        }
        number
    }

    /// Records a response head received after `wait`.
    pub(super) fn record_head(&self, account: usize, wait: Duration) {
        let mut state = self.lock();
        let micros = micros(wait);
        self.latencies(&mut state, account)
            .wait
            .saturating_record(micros);
    }

    /// Records the first token of a streamed answer, received after `wait`.
    pub(super) fn record_first_token(&self, account: usize, number: u64, wait: Duration) {
        let mut state = self.lock();
        state.unstarted[account].remove(&number);
        let micros = micros(wait);
        self.latencies(&mut state, account)
            .first_token
            .saturating_record(micros);
    }

    /// Records tokens of prompt and answer as service of an account.
    pub(super) fn record_service(&self, account: usize, prompt: u32, answer: u32) {
        let mut state = self.lock();
        self.add_service(&mut state, account, prompt.into(), answer.into());
    }

    /// Records the outcome of a request; `correct` states whether a complete answer is the expected
    /// one.
    pub(super) fn record_answer(
        &self,
        account: usize,
        number: u64,
        answer: &Answer,
        correct: bool,
    ) {
        let mut state = self.lock();
        state.unstarted[account].remove(&number);
        let counts = &mut state.counts;
        match answer {
            Answer::Complete(_) if correct => counts.complete += 1,
            Answer::Complete(_) => counts.wrong_answers += 1,
            Answer::Truncated => counts.incomplete_answers += 1,
            Answer::Missing => counts.no_answer += 1,
            Answer::Failed(failure) => match failure.run {
                Some(Run::No) => counts.refused_not_run += 1,
                Some(Run::Unknown) => counts.run_unknown += 1,
                Some(Run::Yes) => counts.failed_after_run += 1,
                None if failure.from_upstream => counts.upstream_errors += 1,
                None => counts.untyped_errors += 1,
            },
        }
    }

    /// Records that the fleet refused this prompt with `"run":"no"`.
    pub(super) fn record_not_run(&self, prompt: String) {
        self.lock().refused_prompts.push(prompt);
    }

    /// Records an answer for a booking key.
    pub(super) fn record_key_answer(&self, key: &str, answer: &Answer) {
        let mut state = self.lock();
        let outcome = state.keys.entry(key.to_owned()).or_insert(KeyOutcome {
            acknowledged: false,
            only_not_run: true,
        });
        let not_run = matches!(answer, Answer::Failed(failure) if failure.run == Some(Run::No));
        outcome.only_not_run &= not_run;
        outcome.acknowledged |= matches!(answer, Answer::Complete(_));
    }

    /// Updates the fairness meter's backlogged accounts; returns the waiting requests of each
    /// account.
    pub(super) fn sample_backlog(&self) -> Vec<usize> {
        let state = &mut *self.lock();
        let mut waiting = Vec::with_capacity(self.accounts.len());
        for (account, unstarted) in self.accounts.iter().zip(&state.unstarted) {
            let is_waiting = |sent: &&Instant| sent.elapsed() >= START_ALLOWANCE;
            let count = unstarted.values().take_while(is_waiting).count();
            state
                .meter
                .set_backlogged(&account.name, account.weight, count > 0);
            waiting.push(count);
        }
        waiting
    }

    /// Cumulative service of each account, in service units.
    pub(super) fn service(&self) -> Vec<u64> {
        self.lock().service.clone()
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// The largest fairness gap so far, in service units at weight 1, with its two accounts.
    pub(super) fn largest_gap(&self) -> Option<(u64, [String; 2])> {
        let state = self.lock();
        let gap = state.meter.largest_gap()?;
        let (a, b) = &gap.between;
        Some((gap.size.to_units().0, [a.to_string(), b.to_string()]))
    }

    /// Passes the latencies of the small and of the large accounts to `read`.
    pub(super) fn with_latencies<T>(&self, read: impl FnOnce(&Latencies, &Latencies) -> T) -> T {
        let state = self.lock();
        read(&state.small, &state.large)
    }

    /// Outcomes by booking key, and the prompts refused with `"run":"no"`.
    pub(super) fn into_outcomes(self) -> (HashMap<String, KeyOutcome>, Vec<String>) {
        let state = self
            .state
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        (state.keys, state.refused_prompts)
    }

    fn latencies<'s>(&self, state: &'s mut State, account: usize) -> &'s mut Latencies {
        if self.accounts[account].large {
            &mut state.large
        } else {
            &mut state.small
        }
    }

    fn add_service(&self, state: &mut State, account: usize, input: u64, output: u64) {
        let ServiceUnits(units) = self.weights.service_units(input, output);
        state.service[account] += units;
        let LoadAccount { name, weight, .. } = &self.accounts[account];
        state
            .meter
            .record_service(name, *weight, ServiceUnits(units));
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
