//! When connections are handed over.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::timeout;

use super::HandoverTargets;

fn targets() -> HandoverTargets {
    let targets = HandoverTargets::default();
    targets.set_neighbours(vec![SocketAddr::from(([127, 0, 0, 1], 80))]);
    targets.set_share(1.0);
    targets
}

/// Guards against streams that a planned stop cuts off: a neighbour began them for a caller of an entry that was
/// stopping, and they outlasted it.
#[gtest]
#[tokio::test]
async fn an_entry_that_stops_hands_nothing_over() {
    let targets = targets();
    expect_that!(targets.should_hand_over(0.5), eq(true));
    targets.end();
    targets.set_share(1.0);
    expect_that!(targets.should_hand_over(0.5), eq(false));
    let ended = timeout(Duration::from_secs(5), targets.ended());
    expect_that!(ended.await, ok(anything()), "relays learn of it");
}

#[gtest]
#[tokio::test]
async fn the_hand_over_goes_on_until_a_stop() {
    let targets = targets();
    let ended = timeout(Duration::from_millis(50), targets.ended());
    expect_that!(ended.await, err(anything()));
}
