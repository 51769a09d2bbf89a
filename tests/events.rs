//! The catalogue of events in the code and the page about it hold the same events.

use std::collections::BTreeSet;

use coltsfootnotch::util::events::{CATALOGUE, find};
use googletest::prelude::*;

const PAGE: &str = include_str!("../docs/EVENTS.md");

/// The row of each event as `docs/EVENTS.md` must print it.
fn rows() -> Vec<String> {
    let row = |event: &&coltsfootnotch::util::events::EventDef| {
        let level = event.level.to_string().to_lowercase();
        format!(
            "| {} | {level} | {} | {} |",
            event.code(),
            event.text,
            event.action
        )
    };
    CATALOGUE.iter().map(row).collect()
}

// An operator looks up an event of a log line and finds nothing, or the advice for another one: the
// page was not changed together with the code. The rows are printed by `cargo run --example events`.
#[gtest]
fn the_page_holds_the_catalogue() {
    let printed: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| CFN-"))
        .collect();
    expect_that!(printed, eq(&rows()));
}

// Two events with one number: `explain` tells the operator about the wrong one.
#[gtest]
fn numbers_are_unique_and_ascend() {
    let numbers: Vec<u16> = CATALOGUE.iter().map(|event| event.number).collect();
    let sorted: BTreeSet<u16> = numbers.iter().copied().collect();
    expect_that!(numbers, eq(&sorted.into_iter().collect::<Vec<_>>()));
    for event in CATALOGUE {
        expect_that!(find(&event.code()), some(eq(*event)));
    }
}
