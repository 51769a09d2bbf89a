//! What the callers of a run have seen, collected as it happens.
//!
//! Callers report each step of a request. From these steps the recorder knows at any time which
//! accounts have work that waits, without asking the fleet, and measures the fairness gap over the
//! windows in which two accounts are both backlogged.

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

/// A request counts as waiting once it has gone this long without its first token. A request that
/// is served at once takes a stand-in engine a few milliseconds to start; without the allowance an
/// account that nothing holds back would look backlogged.
const START_ALLOWANCE: Duration = Duration::from_millis(60);
/// Longest time that the histograms hold, in microseconds.
const MAX_MICROS: u64 = 120_000_000;
/// Significant digits of the histograms: within 0.1%.
const DIGITS: u8 = 3;

/// Times of one group of accounts, in microseconds.
pub(super) struct Times {
    /// From sending to the head of the answer, which comes when an upstream starts.
    pub(super) wait: Histogram<u64>,
    /// From sending to the first token.
    pub(super) first_token: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        // The bounds are constants within what the histogram accepts.
        let histogram = || Histogram::new_with_max(MAX_MICROS, DIGITS).expect("valid bounds");
        Self {
            wait: histogram(),
            first_token: histogram(),
        }
    }
}

/// How many requests ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) requests: u64,
    pub(super) whole: u64,
    pub(super) refused_not_run: u64,
    pub(super) run_unknown: u64,
    pub(super) failed_after_run: u64,
    pub(super) upstream_errors: u64,
    pub(super) untyped_errors: u64,
    pub(super) no_answer: u64,
    pub(super) wrong_answers: u64,
    pub(super) incomplete_answers: u64,
}

/// What a booking's callers were told about one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeyFate {
    /// At least one answer said that it was booked.
    pub(super) acknowledged: bool,
    /// Every answer said that it was not run.
    pub(super) only_not_run: bool,
}

struct State {
    counts: Counts,
    small: Times,
    large: Times,
    service: Vec<u64>,
    /// Requests without a first token, by number.
    unstarted: Vec<BTreeMap<u64, Instant>>,
    meter: FairnessMeter,
    keys: HashMap<String, KeyFate>,
    not_run: Vec<String>,
    next: u64,
}

/// Collects what all callers see.
pub(super) struct Recorder<'a> {
    accounts: &'a [LoadAccount],
    weights: TokenWeights,
    state: Mutex<State>,
}

impl<'a> Recorder<'a> {
    pub(super) fn new(accounts: &'a [LoadAccount], weights: TokenWeights) -> Self {
        let state = State {
            counts: Counts::default(),
            small: Times::new(),
            large: Times::new(),
            service: vec![0; accounts.len()],
            unstarted: vec![BTreeMap::new(); accounts.len()],
            meter: FairnessMeter::new(),
            keys: HashMap::new(),
            not_run: Vec::new(),
            next: 0,
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

    /// A request is being sent for an account; returns its number.
    ///
    /// Only a streamed answer shows when it begins, so only streamed requests count as backlog: an
    /// answer in one piece would look as if it waited until its end.
    pub(super) fn send(&self, account: usize, streamed: bool) -> u64 {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.counts.requests += 1;
        if streamed {
            state.unstarted[account].insert(number, Instant::now());
        }
        number
    }

    /// The head of an answer came after `wait`.
    pub(super) fn head(&self, account: usize, wait: Duration) {
        let mut state = self.lock();
        let micros = micros(wait);
        self.times(&mut state, account)
            .wait
            .saturating_record(micros);
    }

    /// The first token of a streamed answer came after `wait`.
    pub(super) fn first_token(&self, account: usize, number: u64, wait: Duration) {
        let mut state = self.lock();
        state.unstarted[account].remove(&number);
        let micros = micros(wait);
        self.times(&mut state, account)
            .first_token
            .saturating_record(micros);
    }

    /// An account was served so many tokens of prompt and answer.
    pub(super) fn served(&self, account: usize, prompt: u32, answer: u32) {
        let mut state = self.lock();
        self.serve(&mut state, account, prompt.into(), answer.into());
    }

    /// A request has ended; `correct` says whether a whole answer was the one expected.
    pub(super) fn end(&self, account: usize, number: u64, answer: &Answer, correct: bool) {
        let mut state = self.lock();
        state.unstarted[account].remove(&number);
        let counts = &mut state.counts;
        match answer {
            Answer::Whole(_) if correct => counts.whole += 1,
            Answer::Whole(_) => counts.wrong_answers += 1,
            Answer::Cut => counts.incomplete_answers += 1,
            Answer::None => counts.no_answer += 1,
            Answer::Failed(failure) => match failure.run {
                Some(Run::No) => counts.refused_not_run += 1,
                Some(Run::Unknown) => counts.run_unknown += 1,
                Some(Run::Yes) => counts.failed_after_run += 1,
                None if failure.of_upstream => counts.upstream_errors += 1,
                None => counts.untyped_errors += 1,
            },
        }
    }

    /// The fleet said that this prompt was not run.
    pub(super) fn not_run(&self, prompt: String) {
        self.lock().not_run.push(prompt);
    }

    /// An answer came for a booking's key.
    pub(super) fn key_answer(&self, key: &str, answer: &Answer) {
        let mut state = self.lock();
        let fate = state.keys.entry(key.to_owned()).or_insert(KeyFate {
            acknowledged: false,
            only_not_run: true,
        });
        let not_run = matches!(answer, Answer::Failed(failure) if failure.run == Some(Run::No));
        fate.only_not_run &= not_run;
        fate.acknowledged |= matches!(answer, Answer::Whole(_));
    }

    /// Tells the meter which accounts are backlogged now; returns how many requests wait in each.
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

    /// Service of each account so far, in units.
    pub(super) fn service(&self) -> Vec<u64> {
        self.lock().service.clone()
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// The largest fairness gap so far in units at weight 1, and between whom.
    pub(super) fn gap(&self) -> Option<(u64, [String; 2])> {
        let state = self.lock();
        let gap = state.meter.largest_gap()?;
        let (a, b) = &gap.between;
        Some((gap.size.to_units().0, [a.to_string(), b.to_string()]))
    }

    /// Gives the times of the small and of the large accounts to `read`.
    pub(super) fn with_times<T>(&self, read: impl FnOnce(&Times, &Times) -> T) -> T {
        let state = self.lock();
        read(&state.small, &state.large)
    }

    /// What callers were told of bookings, and prompts that they were told did not run.
    pub(super) fn into_claims(self) -> (HashMap<String, KeyFate>, Vec<String>) {
        let state = self
            .state
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        (state.keys, state.not_run)
    }

    fn times<'s>(&self, state: &'s mut State, account: usize) -> &'s mut Times {
        if self.accounts[account].large {
            &mut state.large
        } else {
            &mut state.small
        }
    }

    fn serve(&self, state: &mut State, account: usize, input: u64, output: u64) {
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
