//! Runs one scenario, from the plan of its callers to the summary.

use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch_decide::fair::FairnessBound;
use coltsfootnotch_types::{ServiceUnits, Weight};

use super::caller::Caller;
use super::plan::{self, CallerPlan, FleetShape};
use super::recorder::Recorder;
use super::sampler::{POLL_INTERVAL, Sampler};
use super::scenario::Scenario;
use super::series::Sample;
use super::summary::{Summary, latencies};
use super::target::Target;
use super::verify::verify;

/// Stack size of a caller's thread.
const CALLER_STACK_BYTES: usize = 256 * 1024;

/// Options of a run.
#[derive(Debug, Clone, Copy)]
pub struct LoadOptions {
    /// The scenario to run.
    pub scenario: Scenario,
    /// How long callers send requests; answers in progress are then still read to their end.
    pub length: Duration,
    /// Seed of the callers' random numbers.
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadRun {
    /// Summary metrics.
    pub summary: Summary,
    /// Account names, in the order of [`Sample::service`].
    pub accounts: Vec<String>,
    /// Time series.
    pub samples: Vec<Sample>,
}

/// Runs a scenario against `target`; `progress` receives a line about once a second.
///
/// # Errors
/// Returns the system's error when a caller's thread can't be started.
pub fn run(
    target: &Target<'_>,
    opts: &LoadOptions,
    mut progress: impl FnMut(&str),
) -> std::io::Result<LoadRun> {
    let fleet_shape = FleetShape {
        entries: target.entries.len(),
        slots: target.slots() as usize,
    };
    let plans = plan::plan_callers(opts.scenario, &target.accounts, fleet_shape);
    let recorder = Recorder::new(&target.accounts, target.token_weights);
    let control_bytes_before = (target.control_bytes)();
    let mut sampler = Sampler::new(target, &recorder, opts.scenario, opts.length);
    let ends_at = sampler.started() + opts.length;
    let mut control_bytes_rate = 0.0;
    thread::scope(|scope| -> std::io::Result<()> {
        for (index, plan) in plans.iter().enumerate() {
            let mut caller = Caller::new(
                target,
                &recorder,
                plan,
                (index, opts.seed),
                (sampler.started(), ends_at),
            );
            thread::Builder::new()
                .name(format!("caller-{index}"))
                .stack_size(CALLER_STACK_BYTES)
                .spawn_scoped(scope, move || caller.run())?;
        }
        while Instant::now() < ends_at {
            sampler.poll(&mut progress);
            thread::sleep(POLL_INTERVAL);
        }
        let sent = (target.control_bytes)().saturating_sub(control_bytes_before);
        control_bytes_rate = sent as f64 / target.hosts.max(1) as f64 / opts.length.as_secs_f64();
        Ok(())
    })?;
    let Sampler {
        samples,
        usage,
        usage_while_waiting,
        most_waiting,
        ..
    } = sampler;
    let mut summary = summarize(target, opts, &recorder, &plans);
    summary.control_bytes_per_host_per_s = control_bytes_rate;
    summary.utilisation = usage.share();
    summary.utilisation_while_waiting = usage_while_waiting.share();
    summary.most_waiting = most_waiting;
    let (keys, not_run) = recorder.into_outcomes();
    let violations = verify(target, &keys, &not_run);
    summary.doubled_bookings = violations.doubled_bookings;
    summary.lost_bookings = violations.lost_bookings;
    summary.refused_but_run = violations.refused_but_run;
    let accounts = target
        .accounts
        .iter()
        .map(|account| account.name.to_string());
    Ok(LoadRun {
        summary,
        accounts: accounts.collect(),
        samples,
    })
}

/// Summary of the recorder and the stand-ins; [`run`] fills in the remaining fields.
fn summarize(
    target: &Target<'_>,
    opts: &LoadOptions,
    recorder: &Recorder<'_>,
    plans: &[CallerPlan],
) -> Summary {
    let counts = recorder.counts();
    let (wait_ms, first_token_ms) = recorder.with_latencies(latencies);
    let gap = recorder.largest_gap();
    let engines = target.engines.iter().map(|engine| engine.stats());
    let most_inside = engines.clone().map(|stats| stats.max_waiting).max();
    Summary {
        scenario: opts.scenario.to_string(),
        policy: target.policy.clone(),
        seed: opts.seed,
        seconds: opts.length.as_secs_f64(),
        hosts: target.hosts,
        callers: plans.len(),
        slots: target.slots(),
        fairness_gap_tokens: gap.as_ref().map_or(0, |(size, _)| *size),
        fairness_gap_between: gap.map(|(_, between)| between),
        fairness_bound_tokens: fairness_bound(target, plans),
        utilisation: 0.0,
        utilisation_while_waiting: 0.0,
        control_bytes_per_host_per_s: 0.0,
        wait_ms,
        first_token_ms,
        requests: counts.requests,
        whole_answers: counts.complete,
        refused_not_run: counts.refused_not_run,
        refused_but_run: 0,
        run_unknown: counts.run_unknown,
        failed_after_run: counts.failed_after_run,
        upstream_errors: counts.upstream_errors,
        untyped_errors: counts.untyped_errors,
        no_answer: counts.no_answer,
        wrong_answers: counts.wrong_answers,
        incomplete_answers: counts.incomplete_answers,
        doubled_bookings: 0,
        lost_bookings: 0,
        crashes: engines.map(|stats| stats.crashes).sum(),
        most_waiting: 0,
        most_waiting_inside: most_inside.unwrap_or(0),
        mean_wait_inside_ms: mean_wait_inside(target),
    }
}

fn mean_wait_inside(target: &Target<'_>) -> f64 {
    let stats = target.engines.iter().map(|engine| engine.stats());
    let waited: Duration = stats.clone().map(|stats| stats.total_wait).sum();
    let started: u64 = stats.map(|stats| stats.started).sum();
    1000.0 * waited.as_secs_f64() / started.max(1) as f64
}

/// Fairness bound in service units for the largest planned request and the smallest weight.
fn fairness_bound(target: &Target<'_>, plans: &[CallerPlan]) -> u64 {
    let weights = target.token_weights;
    let cost = |plan: &CallerPlan| {
        let prompt = u64::from(*plan.prompt_tokens.end());
        let answer = u64::from(*plan.answer_tokens.end());
        weights.service_units(prompt, answer)
    };
    let per_token = target
        .engines
        .iter()
        .map(|engine| engine.config().time_per_token);
    let fastest = per_token.min().unwrap_or(Duration::MAX).as_secs_f64();
    let slot_rate = (f64::from(weights.output) / fastest).ceil() as u64;
    let bound = FairnessBound {
        largest: plans.iter().map(cost).max().unwrap_or_default(),
        slots: target.slots(),
        slot_rate: ServiceUnits(slot_rate),
        staleness: target.staleness,
    };
    let smallest = target.accounts.iter().map(|account| account.weight).min();
    let smallest = smallest.unwrap_or(Weight::DEFAULT);
    bound.gap(smallest, smallest).to_units().0
}
