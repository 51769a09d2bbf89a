//! Waits of requests for which no engine has room, under uneven load.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::line::{Patience, Priority, Waiting, WaitingLine};
use coltsfootnotch_forward::place::{Refusal, RefusalReason};
use googletest::prelude::*;

const PLACES: usize = 64;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiting(account: &str, priority: u32, since: u64) -> Waiting<String> {
    Waiting {
        account: Some(account.into()),
        priority: Priority {
            account: priority,
            route: priority,
        },
        since: at(since),
        until: at(since + 200),
        item: format!("{account}-{since}"),
    }
}

fn no_pressure(_account: Option<&Arc<str>>) -> f64 {
    0.0
}

fn refusal(reason: RefusalReason, wait_ms: u64, bound_ms: u64) -> Refusal {
    Refusal {
        reason,
        retry_after: at(100),
        is_saturated: true,
        wait: Some((at(wait_ms), at(bound_ms))),
    }
}

/// Guards against a flood of one account that takes all places: the others find one each.
#[googletest::test]
fn an_account_that_floods_leaves_places_to_others() {
    let mut line = WaitingLine::default();
    let flooded = (0..1_000).filter(|n| line.add(waiting("flood", 1, *n)).is_ok());
    expect_that!(flooded.count(), eq(PLACES / 2));
    let others = (0..8).filter(|n| line.add(waiting(&format!("small-{n}"), 1, 0)).is_ok());
    expect_that!(others.count(), eq(8));
}

/// Guards against turns by arrival alone under saturation: the account furthest below its share is first.
#[googletest::test]
fn the_account_with_least_of_its_share_is_first() {
    let mut line = WaitingLine::default();
    for (account, since) in [("large", 0), ("small", 5), ("large", 10)] {
        expect_that!(line.add(waiting(account, 1, since)), ok(anything()));
    }
    let pressure = |account: Option<&Arc<str>>| match account.map(|a| &**a) {
        Some("small") => 0.2,
        _ => 0.9,
    };
    let turns: Vec<_> = line
        .take_turns(pressure)
        .into_iter()
        .map(|w| w.item)
        .collect();
    expect_that!(
        turns,
        elements_are![eq("small-5"), eq("large-0"), eq("large-10")]
    );
}

/// Guards against the starvation of the least urgent requests by a steady stream of urgent ones.
#[googletest::test]
fn the_least_urgent_request_gets_a_turn_in_eight() {
    let mut line = WaitingLine::default();
    expect_that!(line.add(waiting("low", 9, 0)), ok(anything()));
    let mut turns_of_low = 0;
    for round in 1..=80 {
        expect_that!(line.add(waiting("urgent", 1, round)), ok(anything()));
        let mut turns = line.take_turns(no_pressure).into_iter();
        // One finds an engine in each round.
        let first = turns.next().unwrap();
        if first.priority.account == 9 {
            turns_of_low += 1;
            line.put_back(first);
        }
        turns
            .filter(|w| w.priority.account == 9)
            .for_each(|w| line.put_back(w));
    }
    expect_that!(turns_of_low, eq(10));
}

/// Guards against waits that end in a refusal anyway, or in a late answer.
#[googletest::test]
fn a_request_waits_only_while_its_target_is_within_reach() {
    let patience = |target_ms| Patience {
        target_left: at(target_ms),
        own_time: at(60),
    };
    let full = refusal(RefusalReason::HomesSaturated, 200, 150);
    expect_that!(patience(400).wait(&full), some(eq(at(190))));
    expect_that!(
        patience(220).wait(&full),
        none(),
        "less time than the least wait"
    );
    let far_behind = refusal(RefusalReason::Saturated, 600, 150);
    expect_that!(
        patience(400).wait(&far_behind),
        none(),
        "its turn comes too late"
    );
}

/// Guards against waits of what an account asks for above its share.
#[googletest::test]
fn an_account_above_its_share_does_not_wait() {
    let patience = Patience {
        target_left: at(600),
        own_time: at(60),
    };
    let over = refusal(RefusalReason::OverShare, 10, 150);
    expect_that!(patience.wait(&over), none());
}
