//! Prompts whose subject's homes are saturated.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{PromptSegment, SentRequest, UpstreamLoads};
use coltsfootnotch_forward::place::{
    Candidate, Placement, PlacementRequest, PrefillRate, Prompt, Refusal, RefusalReason,
    place_engine,
};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);
const ENGINES: usize = 40;
const RATE: PrefillRate = PrefillRate {
    tokens_per_ms: 36.0,
    base_ms: 35.0,
};

/// Engines, some of which are busy.
struct Fleet {
    ids: Vec<Arc<str>>,
    loads: UpstreamLoads,
}

impl Fleet {
    fn new() -> Self {
        let ids: Vec<Arc<str>> = (0..ENGINES).map(|n| format!("engine-{n}").into()).collect();
        let mut loads = UpstreamLoads::default();
        for id in &ids {
            loads.entry(id, 1);
        }
        Self { ids, loads }
    }

    /// Has a prompt of two seconds wait at an engine.
    fn fill(&mut self, id: &Arc<str>) {
        let sent = SentRequest {
            uncached_tokens: 72_000,
            held_tokens: 1_000,
            expected_ms: 100.0,
            at: NOW,
        };
        self.loads.entry(id, 1).on_sent(&sent);
    }

    fn place(
        &mut self,
        subject: u64,
        tie_breaker: u64,
        fair_fraction: f64,
    ) -> std::result::Result<Placement, Refusal> {
        let prompt = prompt(subject);
        let request = PlacementRequest {
            prompt: &prompt,
            pressure: None,
            fair_fraction,
            shortest_target: Duration::from_millis(500),
            shortest_gap: None,
            subject_per_s: 0.0,
            is_resumed: false,
            copy_rate: None,
            domain: "colombo",
            tie_breaker,
            avoid: &[],
        };
        let candidates = self.ids.iter().map(|id| Candidate {
            id,
            domain: "colombo",
            slots: 64,
            memory_tokens: 267_094,
            load: self.loads.get(id, 1).expect("known engine"),
        });
        let placed = place_engine(NOW, &request, RATE, candidates)?;
        self.loads
            .record_segments(NOW, &placed.id, &prompt.shared, 200_000);
        Ok(placed)
    }

    /// Places prompts about a subject until both of its homes are busy.
    fn fill_homes(&mut self, subject: u64) {
        for tie_breaker in 0..2 {
            let home = self.place(subject, tie_breaker, 1.0).unwrap().id;
            self.fill(&home);
        }
    }
}

fn prompt(subject: u64) -> Prompt {
    let segments = [(1, 2_520), (1_000 + subject, 3_780)];
    let shared = segments.map(|(id, tokens)| PromptSegment { id, tokens });
    Prompt {
        tokens: 9_190,
        output_tokens: 50,
        shared: shared.to_vec(),
    }
}

/// Guards against requests that wait or are refused at the homes of their subject beside engines that are idle: no
/// entry sees enough requests about it to give it more homes.
#[googletest::test]
fn a_prompt_leaves_its_saturated_homes_while_most_engines_are_idle() {
    let mut fleet = Fleet::new();
    fleet.fill_homes(7);
    let placed = fleet.place(7, 5, 1.0).expect("there are idle engines");
    expect_that!(placed.wait, eq(Duration::ZERO));
}

/// Guards against subjects that spread over all engines while these are busy, and displace each other there.
#[googletest::test]
fn a_prompt_stays_at_its_saturated_homes_while_other_engines_are_busy() {
    let mut fleet = Fleet::new();
    fleet.fill_homes(7);
    for id in fleet.ids.clone().iter().step_by(3) {
        fleet.fill(id);
    }
    let refused = fleet.place(7, 5, 1.0).expect_err("its homes are busy");
    expect_that!(refused.reason, eq(RefusalReason::HomesSaturated));
}

/// Guards against an account above its share that takes engines from others by leaving its homes.
#[googletest::test]
fn a_prompt_of_an_account_above_its_share_stays_at_its_homes() {
    let mut fleet = Fleet::new();
    fleet.fill_homes(7);
    expect_that!(fleet.place(7, 5, 0.9).is_err(), eq(true));
}

/// Guards against new subjects that all go to the first engine by name that has a common first segment.
#[googletest::test]
fn new_subjects_go_to_homes_of_their_own() {
    let mut fleet = Fleet::new();
    let mut chosen = BTreeSet::new();
    for subject in 0..ENGINES as u64 {
        chosen.insert(fleet.place(subject, subject, 1.0).unwrap().id);
    }
    expect_that!(chosen.len(), ge(ENGINES / 2));
}
