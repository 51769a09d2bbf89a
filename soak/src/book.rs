//! What callers, upstreams and operators saw, and the promises that it breaks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;

/// A promise of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum Promise {
    /// An answer is that of the request, and whole.
    #[display("right answer")]
    RightAnswer,
    /// A request that may not be repeated runs once at most.
    #[display("at most once")]
    AtMostOnce,
    /// A request that was refused as not run does not run.
    #[display("refused means not run")]
    RefusedNotRun,
    /// A stream has each of its events once, in order.
    #[display("streams in order")]
    StreamOrder,
    /// What was accepted is never older when read back.
    #[display("configuration never goes back")]
    ConfigKept,
    /// A key that was taken away stops working.
    #[display("revoked keys stop")]
    KeyRevoked,
    /// An upstream that leaves gets no new work.
    #[display("leaving upstreams are left alone")]
    LeftAlone,
    /// A planned stop cuts off no request that is being worked on.
    #[display("planned stops cut nothing")]
    NothingCut,
    /// After the last fault requests are served again.
    #[display("recovery")]
    Recovery,
    /// Processes do not end by themselves.
    #[display("no process ends by itself")]
    KeepsRunning,
}

/// A broken promise.
#[derive(Debug, Clone, Display)]
#[display("{at:.3?} {promise}: {what}")]
pub struct Finding {
    /// When, from the start of the run.
    pub at: Duration,
    /// Which promise.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ended {
    /// Its whole answer came.
    Served,
    /// It was refused as not run.
    Refused,
    /// Another failure was answered.
    Failed,
    /// The connection ended without a whole answer, or could not be had.
    Cut,
}

#[derive(Debug, Clone, Default)]
struct Request {
    repeatable: bool,
    /// Whether its key holds, so that it is to be served.
    owed: bool,
    runs: u32,
    refused: bool,
}

/// Counts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were served, refused, failed and cut.
    pub served: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Failed otherwise.
    pub failed: u64,
    /// Cut off.
    pub cut: u64,
    /// Configurations that were accepted.
    pub accepted: u64,
    /// Configurations that were read back.
    pub read_back: u64,
}

#[derive(Debug, Default)]
struct Pages {
    requests: HashMap<String, Request>,
    findings: Vec<Finding>,
    counts: Counts,
    /// Ends of requests that were sent after the last fault was over.
    calm: HashMap<Ended, u64>,
}

/// What everybody saw. Clones share it.
#[derive(Debug, Clone)]
pub struct Book {
    start: Instant,
    /// From when requests count for the recovery.
    calm_from: Duration,
    pages: Arc<Mutex<Pages>>,
}

impl Default for Book {
    fn default() -> Self {
        Self::new()
    }
}

impl Book {
    /// An empty book.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            calm_from: Duration::MAX,
            pages: Arc::default(),
        }
    }

    /// The same book, with requests sent later than `from` to be served.
    #[must_use]
    pub fn counting_from(&self, from: Duration) -> Self {
        Self {
            calm_from: from,
            ..self.clone()
        }
    }

    /// Time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn pages(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn find(&self, promise: Promise, what: impl Into<String>) {
        let finding = Finding {
            at: self.now(),
            promise,
            what: what.into(),
        };
        self.pages().findings.push(finding);
    }

    /// A caller sends a request; `owed` when its key holds, so that it is to be served.
    pub fn sent(&self, id: &str, repeatable: bool, owed: bool) {
        let request = Request {
            repeatable,
            owed,
            ..Request::default()
        };
        self.pages().requests.insert(id.to_owned(), request);
    }

    /// An upstream begins to run a request.
    pub fn ran(&self, id: &str, upstream: &str) {
        let mut pages = self.pages();
        let Some(request) = pages.requests.get_mut(id) else {
            drop(pages);
            return self.find(
                Promise::RightAnswer,
                format!("{upstream} runs {id:?}, which nobody sent"),
            );
        };
        request.runs += 1;
        let (again, refused) = (request.runs > 1, request.refused);
        let once = !request.repeatable;
        drop(pages);
        if once && again {
            self.find(
                Promise::AtMostOnce,
                format!("{id} runs again, at {upstream}"),
            );
        }
        if once && refused {
            self.find(
                Promise::RefusedNotRun,
                format!("{id} was refused and runs at {upstream}"),
            );
        }
    }

    /// Whether an upstream has begun to run the request.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        self.pages().requests.get(id).is_some_and(|r| r.runs > 0)
    }

    /// A request that was sent at `sent` has ended for its caller.
    pub fn ended(&self, id: &str, sent: Duration, ended: Ended) {
        let mut pages = self.pages();
        let counts = &mut pages.counts;
        match ended {
            Ended::Served => counts.served += 1,
            Ended::Refused => counts.refused += 1,
            Ended::Failed => counts.failed += 1,
            Ended::Cut => counts.cut += 1,
        }
        let owed = pages.requests.get(id).is_some_and(|r| r.owed);
        if owed && sent >= self.calm_from {
            *pages.calm.entry(ended).or_default() += 1;
        }
        let Some(request) = pages.requests.get_mut(id) else {
            return;
        };
        request.refused |= ended == Ended::Refused;
        let broken = ended == Ended::Refused && request.runs > 0 && !request.repeatable;
        drop(pages);
        if broken {
            self.find(
                Promise::RefusedNotRun,
                format!("{id} ran and is refused as not run"),
            );
        }
    }

    /// A configuration was accepted.
    pub fn accepted(&self) {
        self.pages().counts.accepted += 1;
    }

    /// A configuration was read back.
    pub fn read_back(&self) {
        self.pages().counts.read_back += 1;
    }

    /// Share of the requests that were served after the last fault, and their number.
    #[must_use]
    pub fn recovery(&self) -> (f64, u64) {
        let pages = self.pages();
        let all: u64 = pages.calm.values().sum();
        let served = pages.calm.get(&Ended::Served).copied().unwrap_or(0);
        (served as f64 / all.max(1) as f64, all)
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.pages().counts
    }

    /// The broken promises so far.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        self.pages().findings.clone()
    }
}
