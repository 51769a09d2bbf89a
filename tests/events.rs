//! `docs/EVENTS.md` matches the event catalogue in the code.

use std::collections::BTreeSet;

use coltsfootnotch::util::events::{CATALOGUE, find};
use googletest::prelude::*;

const PAGE: &str = include_str!("../docs/EVENTS.md");

/// Returns the expected table rows of `docs/EVENTS.md`.
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

// Guards against a page that misses events or describes other ones. `cargo run --example events` prints the
// rows.
#[gtest]
fn the_page_matches_the_catalogue() {
    let printed: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| CFN-"))
        .collect();
    expect_that!(printed, eq(&rows()));
}

// Guards against two events with one number, of which `explain` finds only the first.
#[gtest]
fn numbers_are_unique_and_ascend() {
    let numbers: Vec<u16> = CATALOGUE.iter().map(|event| event.number).collect();
    let sorted: BTreeSet<u16> = numbers.iter().copied().collect();
    expect_that!(numbers, eq(&sorted.into_iter().collect::<Vec<_>>()));
    for event in CATALOGUE {
        expect_that!(find(&event.code()), some(eq(*event)));
    }
}
