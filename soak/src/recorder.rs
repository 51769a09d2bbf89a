//! Records what clients, upstreams and operators observe and reports violated invariants.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::client::is_near_timeout;

/// Time within which a request and the close of its connection may cross on their way.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// An invariant of the fleet that the soak checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum Invariant {
    /// A client receives the complete answer to its own request.
    #[display("right answer")]
    CorrectAnswer,
    /// A request that isn't repeatable runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// A request that was refused as not run never runs.
    #[display("refused means not run")]
    RefusedNotRun,
    /// A stream delivers each event exactly once and in order.
    #[display("streams in order")]
    StreamOrder,
    /// A configuration read is never older than the last accepted one.
    #[display("configuration never goes back")]
    ConfigMonotonic,
    /// A revoked key stops working.
    #[display("revoked keys stop")]
    KeyRevoked,
    /// An upstream receives no new requests once its drain has reached the routers.
    #[display("leaving upstreams are left alone")]
    NoWorkAfterDrain,
    /// An upstream receives no requests from a router that it asked for none for a time.
    #[display("pauses are kept")]
    NoWorkDuringPause,
    /// A graceful stop interrupts no request in progress, and leaves none unread for long.
    #[display("planned stops cut nothing")]
    GracefulStop,
    /// Requests are served again after the last fault.
    #[display("recovery")]
    Recovery,
    /// A router holds no more than its memory.
    #[display("routers stay within their memory")]
    WithinMemory,
    /// No process exits without a signal.
    #[display("no process ends by itself")]
    NoUnexpectedExit,
}

/// A violated invariant.
#[derive(Debug, Clone, Display)]
#[display("{at:.3?} {invariant}: {what}")]
pub struct Finding {
    /// Time since the start of the run.
    pub at: Duration,
    /// The violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub what: String,
}

/// The outcome of a request as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The complete answer was received.
    Served,
    /// Refused as not run.
    Refused,
    /// Answered with another error.
    Failed,
    /// The connection failed, or ended before the answer was complete.
    Cut,
}

#[derive(Debug, Clone, Default)]
struct Request {
    repeatable: bool,
    /// Whether its key is valid, so that the fleet must serve it.
    must_serve: bool,
    runs: u32,
    refused: bool,
    /// Whether an upstream has cut its response short.
    is_cut: bool,
    /// Whether an upstream has sent a response without stating its end.
    is_unstated: bool,
}

/// Counts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Served requests.
    pub served: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests answered with another error.
    pub failed: u64,
    /// Requests whose connection failed or was cut.
    pub cut: u64,
    /// Requests on kept connections that a stopping router closed without a response after they had been sent.
    pub unread: u64,
    /// Accepted configurations.
    pub accepted: u64,
    /// Configuration reads.
    pub read_back: u64,
    /// Responses to clients that resumed a stream.
    pub resumed: u64,
}

#[derive(Debug, Default)]
struct Observations {
    requests: HashMap<String, Request>,
    findings: Vec<Finding>,
    counts: Counts,
    /// Outcomes of requests sent after the last fault ended.
    recovery_outcomes: HashMap<RequestOutcome, u64>,
}

/// Observations of a run, shared between clones.
#[derive(Debug, Clone)]
pub struct Recorder {
    start: Instant,
    /// Requests sent from this time on count towards recovery.
    recovery_from: Duration,
    observations: Arc<Mutex<Observations>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Creates an empty recorder.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            recovery_from: Duration::MAX,
            observations: Arc::default(),
        }
    }

    /// Returns a clone that counts requests sent from `from` on towards recovery.
    #[must_use]
    pub fn with_recovery_from(&self, from: Duration) -> Self {
        Self {
            recovery_from: from,
            ..self.clone()
        }
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violated invariant.
    pub fn report(&self, invariant: Invariant, what: impl Into<String>) {
        let finding = Finding {
            at: self.now(),
            invariant,
            what: what.into(),
        };
        self.observations().findings.push(finding);
    }

    /// Records that a client sends a request; `must_serve` says whether its key is valid.
    pub fn record_sent(&self, id: &str, repeatable: bool, must_serve: bool) {
        let request = Request {
            repeatable,
            must_serve,
            ..Request::default()
        };
        self.observations().requests.insert(id.to_owned(), request);
    }

    /// Records that an upstream starts to run a request, and checks that it may.
    pub fn record_run(&self, id: &str, upstream: &str) {
        let mut observations = self.observations();
        let Some(request) = observations.requests.get_mut(id) else {
            drop(observations);
            return self.report(
                Invariant::CorrectAnswer,
                format!("{upstream} runs {id:?}, which no client sent"),
            );
        };
        request.runs += 1;
        let (repeated, refused) = (request.runs > 1, request.refused);
        let runs_once = !request.repeatable;
        drop(observations);
        if runs_once && repeated {
            self.report(
                Invariant::AtMostOnce,
                format!("{id} runs again, at {upstream}"),
            );
        }
        if runs_once && refused {
            self.report(
                Invariant::RefusedNotRun,
                format!("{id} was refused and runs at {upstream}"),
            );
        }
    }

    /// Records that an upstream sends a response to a request without stating its end.
    pub fn record_unstated(&self, id: &str) {
        if let Some(request) = self.observations().requests.get_mut(id) {
            request.is_unstated = true;
        }
    }

    /// Returns whether an upstream has sent a response to the request without stating its end.
    #[must_use]
    pub fn is_unstated(&self, id: &str) -> bool {
        let observations = self.observations();
        observations.requests.get(id).is_some_and(|r| r.is_unstated)
    }

    /// Records that an upstream cuts its response to a request short.
    pub fn record_cut(&self, id: &str) {
        if let Some(request) = self.observations().requests.get_mut(id) {
            request.is_cut = true;
        }
    }

    /// Returns whether an upstream has cut its response to the request short.
    #[must_use]
    pub fn is_cut(&self, id: &str) -> bool {
        let observations = self.observations();
        observations.requests.get(id).is_some_and(|r| r.is_cut)
    }

    /// Returns whether any upstream has started to run the request.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        self.observations()
            .requests
            .get(id)
            .is_some_and(|r| r.runs > 0)
    }

    /// Records the outcome of a request that was sent at `sent`.
    pub fn record_outcome(&self, id: &str, sent: Duration, outcome: RequestOutcome) {
        let mut observations = self.observations();
        let counts = &mut observations.counts;
        match outcome {
            RequestOutcome::Served => counts.served += 1,
            RequestOutcome::Refused => counts.refused += 1,
            RequestOutcome::Failed => counts.failed += 1,
            RequestOutcome::Cut => counts.cut += 1,
        }
        let must_serve = observations.requests.get(id).is_some_and(|r| r.must_serve);
        if must_serve && sent >= self.recovery_from {
            *observations.recovery_outcomes.entry(outcome).or_default() += 1;
        }
        let Some(request) = observations.requests.get_mut(id) else {
            return;
        };
        request.refused |= outcome == RequestOutcome::Refused;
        let violated =
            outcome == RequestOutcome::Refused && request.runs > 0 && !request.repeatable;
        drop(observations);
        if violated {
            self.report(
                Invariant::RefusedNotRun,
                format!("{id} ran and is refused as not run"),
            );
        }
    }

    /// Records that a router that was being stopped, and not disturbed otherwise, closed a kept connection without a
    /// response, `waited` after a whole request was sent on it. It may arrive between the last read and the close of
    /// any server, so only one that had time to be read violates the invariant.
    pub fn record_unread(&self, router: usize, waited: Duration) {
        self.observations().counts.unread += 1;
        if waited > CROSSING_TIME && !is_near_timeout(waited) {
            let what = format!("router {router} closes a connection {waited:?} after a request");
            self.report(Invariant::GracefulStop, what);
        }
    }

    /// Counts a response that goes on with a stream.
    pub fn record_resumed(&self) {
        self.observations().counts.resumed += 1;
    }

    /// Counts an accepted configuration.
    pub fn record_accepted(&self) {
        self.observations().counts.accepted += 1;
    }

    /// Counts a configuration read.
    pub fn record_read_back(&self) {
        self.observations().counts.read_back += 1;
    }

    /// Returns the share of requests served after the last fault, and the number of those requests.
    #[must_use]
    pub fn recovery(&self) -> (f64, u64) {
        let observations = self.observations();
        let all: u64 = observations.recovery_outcomes.values().sum();
        let served = observations
            .recovery_outcomes
            .get(&RequestOutcome::Served)
            .copied()
            .unwrap_or(0);
        (served as f64 / all.max(1) as f64, all)
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.observations().counts
    }

    /// Returns the violated invariants so far.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        self.observations().findings.clone()
    }
}
