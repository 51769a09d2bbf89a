//! Simulated model engines in virtual time: they prefill prompts in order and cache them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{SentRequest, SubjectDemand, UpstreamLoads};
use coltsfootnotch_forward::place::{
    Candidate, Placement, PlacementRequest, PrefillRate, Prompt, Refusal, place_engine,
};

/// Prefill rate of the simulated engines.
pub(crate) const PREFILL_RATE: PrefillRate = PrefillRate {
    tokens_per_ms: 25.0,
    base_ms: 35.0,
};
/// Shortest target of the tests.
pub(crate) const TARGET: Duration = Duration::from_millis(400);
const CACHE_TOKENS: u64 = 120_000;

struct Running {
    engine: usize,
    sent: SentRequest,
    first_event_at: Duration,
    has_started: bool,
}

/// One entry and several engines, all in one domain.
pub(crate) struct Fleet {
    pub(crate) ids: Vec<Arc<str>>,
    pub(crate) loads: UpstreamLoads,
    subjects: SubjectDemand,
    /// Factor by which each engine is slower than expected.
    pub(crate) slowness: Vec<f64>,
    free_at: Vec<Duration>,
    running: Vec<Running>,
    tie_breaker: u64,
    /// Prefilled tokens of all engines.
    pub(crate) prefilled: u64,
    pub(crate) prefills_of_segment: HashMap<u64, u32>,
}

impl Fleet {
    pub(crate) fn new(engines: usize) -> Self {
        let ids: Vec<Arc<str>> = (0..engines).map(|n| format!("engine-{n}").into()).collect();
        let mut loads = UpstreamLoads::default();
        for id in &ids {
            loads.entry(id, 1);
        }
        Self {
            slowness: vec![1.0; engines],
            free_at: vec![Duration::ZERO; engines],
            running: Vec::new(),
            tie_breaker: 0,
            prefilled: 0,
            prefills_of_segment: HashMap::new(),
            ids,
            loads,
            subjects: SubjectDemand::default(),
        }
    }

    /// Runs the engines until `now`.
    pub(crate) fn work(&mut self, now: Duration) {
        let mut remaining = Vec::new();
        for mut run in std::mem::take(&mut self.running) {
            let id = &self.ids[run.engine];
            let load = self.loads.get_mut(id, 1).expect("known engine");
            if !run.has_started && run.first_event_at <= now {
                load.on_first_event(run.first_event_at, &run.sent);
                run.has_started = true;
            }
            if run.has_started && run.first_event_at + Duration::from_millis(300) <= now {
                load.on_finished(&run.sent, true);
                load.on_succeeded(now);
            } else {
                remaining.push(run);
            }
        }
        self.running = remaining;
    }

    /// Places a request. Returns its engine and the time of its first event.
    pub(crate) fn place(
        &mut self,
        now: Duration,
        prompt: &Prompt,
        pressure: impl Into<Option<f64>>,
    ) -> Result<(usize, Duration), Refusal> {
        self.work(now);
        self.tie_breaker += 1;
        let subject_per_s = prompt.subject().map_or(0.0, |subject| {
            self.subjects.record(now, subject.id);
            self.subjects.per_s(now, subject.id, 1.0)
        });
        let request = PlacementRequest {
            prompt,
            pressure: pressure.into(),
            fair_fraction: 1.0,
            shortest_target: TARGET,
            shortest_gap: None,
            subject_per_s,
            is_resumed: false,
            copy_rate: None,
            domain: "colombo",
            tie_breaker: self.tie_breaker,
            avoid: &[],
        };
        let loads = &self.loads;
        let candidates = self.ids.iter().map(|id| Candidate {
            id,
            domain: "colombo",
            slots: 64,
            memory_tokens: 235_664,
            load: loads.get(id, 1).expect("known engine"),
        });
        let placement = place_engine(now, &request, PREFILL_RATE, candidates)?;
        Ok(self.run(now, prompt, &placement))
    }

    fn run(&mut self, now: Duration, prompt: &Prompt, placed: &Placement) -> (usize, Duration) {
        let engine = self
            .ids
            .iter()
            .position(|id| *id == placed.id)
            .expect("known engine");
        let id = self.ids[engine].clone();
        let load = self.loads.get_mut(&id, 1).expect("known engine");
        for part in prompt.shared.iter().filter(|p| !load.cached.contains(p.id)) {
            *self.prefills_of_segment.entry(part.id).or_default() += 1;
        }
        self.prefilled += placed.sent.uncached_tokens;
        load.on_sent(&placed.sent);
        self.loads
            .record_segments(now, &id, &prompt.shared, CACHE_TOKENS);
        let prefill = placed.sent.uncached_tokens as f64 / PREFILL_RATE.tokens_per_ms / 1e3;
        let prefill = Duration::from_secs_f64(prefill * self.slowness[engine]);
        let starts = self.free_at[engine].max(now);
        self.free_at[engine] = starts + prefill;
        let first_event_at = self.free_at[engine] + Duration::from_millis(35);
        self.running.push(Running {
            engine,
            sent: placed.sent,
            first_event_at,
            has_started: false,
        });
        (engine, first_event_at)
    }
}
