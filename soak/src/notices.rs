//! Checks that routers send upstreams no requests that these asked not to get.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::disturbances::Disturbances;
use crate::recorder::{Invariant, Recorder};

/// Time after a refusal in which requests may still arrive that were sent before it; the platform's bound.
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Most requests that may arrive later, in the pause that the upstream asked for; the platform's bound.
const MAX_DURING_PAUSE: u32 = 2;
/// Time until no new request may arrive at an upstream that leaves; the platform's default bound.
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// A pause that an upstream asked a router for.
#[derive(Debug, Clone, Copy)]
struct Pause {
    asked_at: Duration,
    end: Duration,
    arrived: u32,
}

/// A run of an upstream, and a router.
type Pair = (String, usize);

#[derive(Debug, Default)]
struct Observed {
    /// Router and time of each request of a client.
    sent: HashMap<String, (usize, Duration)>,
    pauses: HashMap<Pair, Pause>,
    /// When the router first passed on a response that states that the upstream leaves.
    leaving_passed_on: HashMap<Pair, Duration>,
}

/// What upstreams asked of each router, shared between clones.
#[derive(Debug, Clone)]
pub struct Notices {
    observed: Arc<Mutex<Observed>>,
    recorder: Recorder,
    disturbances: Disturbances,
}

impl Notices {
    /// Creates a check without observations.
    #[must_use]
    pub fn new(recorder: Recorder, disturbances: Disturbances) -> Self {
        Self {
            observed: Arc::default(),
            recorder,
            disturbances,
        }
    }

    fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a client sends a request to a router at `now`.
    pub fn record_sent(&self, now: Duration, id: &str, router: usize) {
        self.observed().sent.insert(id.to_owned(), (router, now));
    }

    /// Records that a run of the upstream with the given number refuses a request at `now` and asks for no more
    /// for `time`.
    pub fn record_refusal(
        &self,
        now: Duration,
        id: &str,
        run: &str,
        upstream: usize,
        time: Duration,
    ) {
        let mut observed = self.observed();
        let Some((router, sent_at)) = observed.sent.get(id).copied() else {
            return;
        };
        // A blocked path delivers what it held up once it is open again. The router may have given up on the
        // request and closed its connection, so that it never receives the refusal.
        if self.disturbances.was_cut_off(upstream, sent_at) {
            return;
        }
        let new = Pause {
            asked_at: now,
            end: now,
            arrived: 0,
        };
        let pause = observed
            .pauses
            .entry((run.to_owned(), router))
            .or_insert(new);
        if pause.end <= now {
            *pause = new;
        }
        pause.end = pause.end.max(now + time);
    }

    /// Records that a client received a response at `now` which states that the run of an upstream leaves.
    pub fn record_leaving(&self, now: Duration, id: &str, run: &str) {
        let mut observed = self.observed();
        let Some((router, _)) = observed.sent.get(id).copied() else {
            return;
        };
        let pair = (run.to_owned(), router);
        observed.leaving_passed_on.entry(pair).or_insert(now);
    }

    /// Checks a request that reaches a run of the upstream with the given number at `now`.
    pub fn check_arrival(&self, now: Duration, id: &str, run: &str, upstream: usize) {
        let mut observed = self.observed();
        let Some((router, sent_at)) = observed.sent.get(id).copied() else {
            return;
        };
        let pair = (run.to_owned(), router);
        let passed_on = observed.leaving_passed_on.get(&pair).copied();
        let pause = observed.pauses.get_mut(&pair);
        let pause = pause.filter(|p| p.asked_at + IN_TRANSIT <= now && now < p.end);
        let pause = pause.map(|pause| {
            pause.arrived += 1;
            *pause
        });
        drop(observed);
        if let Some(at) = passed_on
            && sent_at > at + DRAIN_BOUND
            && !self.disturbances.was_interrupted(router, at)
        {
            let since = now.saturating_sub(at);
            let what =
                format!("{id} reaches {run} from router {router}, which knew {since:?} before");
            self.recorder.report(Invariant::NoWorkAfterDrain, what);
        }
        if let Some(pause) = pause
            && pause.arrived == MAX_DURING_PAUSE + 1
            && !self.disturbances.was_interrupted(router, pause.asked_at)
            && !self.disturbances.was_cut_off(upstream, pause.asked_at)
        {
            let since = now.saturating_sub(pause.asked_at);
            let what = format!(
                "{id} reaches {run} from router {router}, asked for a pause {since:?} before"
            );
            self.recorder.report(Invariant::NoWorkDuringPause, what);
        }
    }
}
