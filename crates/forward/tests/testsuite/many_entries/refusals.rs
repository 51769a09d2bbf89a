//! Refusals by simulated engines that ask for no requests for a time.

use std::collections::HashMap;
use std::time::Duration;

/// Time after a refusal in which requests may still arrive that were sent before it.
const IN_TRANSIT: Duration = Duration::from_millis(500);

/// A request was not run.
pub(super) struct Refused {
    /// How long the engine wants no requests, if it has seen this one.
    pub(super) backoff: Option<Duration>,
}

/// The refusals of all engines, and the requests that reach them all the same.
pub(super) struct Refusals {
    /// Until when each engine refuses all requests.
    refusing_until: Vec<Duration>,
    backoff: Duration,
    /// First refusal and end of the current pause, by entry and engine.
    pauses: HashMap<(usize, usize), (Duration, Duration)>,
    /// Requests that engines refused.
    pub(super) refused: u32,
    /// Requests that reached an engine in a pause that it had asked for, after what was in transit.
    pub(super) during_pause: u32,
}

impl Refusals {
    pub(super) fn new(engines: usize) -> Self {
        Self {
            refusing_until: vec![Duration::ZERO; engines],
            backoff: Duration::ZERO,
            pauses: HashMap::new(),
            refused: 0,
            during_pause: 0,
        }
    }

    /// Has an engine refuse all requests for a time, and ask for none for `backoff` with each refusal.
    pub(super) fn start(&mut self, engine: usize, until: Duration, backoff: Duration) {
        self.refusing_until[engine] = until;
        self.backoff = backoff;
    }

    /// Handles a request that reaches an engine; none if the engine takes it.
    pub(super) fn refuse(&mut self, now: Duration, entry: usize, engine: usize) -> Option<Refused> {
        if let Some((asked_at, end)) = self.pauses.get(&(entry, engine)) {
            let is_in_pause = *asked_at + IN_TRANSIT <= now && now < *end;
            self.during_pause += u32::from(is_in_pause);
        }
        if now >= self.refusing_until[engine] {
            return None;
        }
        self.refused += 1;
        let pause = self.pauses.entry((entry, engine)).or_insert((now, now));
        if pause.1 <= now {
            pause.0 = now;
        }
        pause.1 = now + self.backoff;
        Some(Refused {
            backoff: Some(self.backoff),
        })
    }
}
