//! Copies of cached prompts between engines.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{PromptSegment, UpstreamLoads};
use coltsfootnotch_forward::place::{
    Candidate, CopyRate, Placement, PlacementRequest, PrefillRate, Prompt, place_engine,
};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);
const RATE: PrefillRate = PrefillRate {
    tokens_per_ms: 36.0,
    base_ms: 35.0,
};
const COPY_RATE: CopyRate = CopyRate {
    tokens_per_ms: 2_500.0,
};

/// A draft whose shared segments take 174 ms to prefill, or a question, whose take 14 ms.
fn prompt(shared_tokens: u32) -> Prompt {
    Prompt {
        tokens: shared_tokens + 1_000,
        output_tokens: 50,
        shared: vec![PromptSegment {
            id: 7,
            tokens: shared_tokens,
        }],
    }
}

/// Places the prompt at one of three engines, of which those with these numbers have its segment cached.
fn place(prompt: &Prompt, cached_at: &[usize], copy_rate: Option<CopyRate>) -> Placement {
    let ids: Vec<Arc<str>> = (0..3).map(|n| format!("engine-{n}").into()).collect();
    let mut loads = UpstreamLoads::default();
    for id in &ids {
        loads.entry(id, 1);
    }
    for n in cached_at {
        loads.record_segments(NOW, &ids[*n], &prompt.shared, 200_000);
    }
    let request = PlacementRequest {
        prompt,
        pressure: None,
        fair_fraction: 1.0,
        shortest_target: Duration::from_millis(400),
        shortest_gap: None,
        subject_per_s: 0.0,
        is_resumed: false,
        copy_rate,
        domain: "colombo",
        tie_breaker: 5,
        avoid: &[],
    };
    let candidates = ids.iter().map(|id| Candidate {
        id,
        domain: "colombo",
        slots: 64,
        memory_tokens: 235_664,
        load: loads.get(id, 1).expect("known engine"),
    });
    place_engine(NOW, &request, RATE, candidates).expect("idle engines take it")
}

#[gtest]
fn an_engine_copies_from_another_that_has_the_segments() {
    for cached_at in 0..3 {
        let placement = place(&prompt(6_300), &[cached_at], Some(COPY_RATE));
        let source: Arc<str> = format!("engine-{cached_at}").into();
        let expected = Some(source).filter(|source| *source != placement.id);
        expect_that!(placement.copy_from, eq(&expected));
    }
}

/// An engine may have displaced what it is believed to have cached.
#[gtest]
fn a_source_is_named_also_for_an_engine_that_has_the_segments() {
    let placement = place(&prompt(6_300), &[0, 1, 2], Some(COPY_RATE));
    expect_that!(placement.copy_from, some(not(eq(&placement.id))));
}

/// Copies wait for each other; those of short segments would delay the long ones.
#[gtest]
fn short_segments_are_prefilled() {
    let placement = place(&prompt(500), &[0, 1, 2], Some(COPY_RATE));
    expect_that!(placement.copy_from, none());
}

#[gtest]
fn nothing_is_copied_between_engines_that_cannot() {
    let placement = place(&prompt(6_300), &[0, 1, 2], None);
    expect_that!(placement.copy_from, none());
}
