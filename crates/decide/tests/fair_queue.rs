//! Places in the queue of one pool: idleness, partitions, restarts and weights.

use std::time::Duration;

use coltsfootnotch_decide::fair::{ChoicePolicy, FairLedger, FairQueue, Waiting};
use coltsfootnotch_decide::service::{Cursor, Origin, ServiceCounters, VirtualService};
use coltsfootnotch_types::{AccountName, HostName, Incarnation, PoolName, ServiceUnits, Weight};
use googletest::prelude::*;

const HORIZON: i64 = 1_000;

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

fn queue() -> FairQueue {
    FairQueue::new(ChoicePolicy::Fair, VirtualService(HORIZON), Incarnation(1))
}

fn wait(queue: &mut FairQueue, account: &AccountName, count: u32, at: u64) {
    let now = Duration::from_secs(at);
    queue.set_waiting(account, Waiting::new(count, now), now);
}

fn ranked(queue: &FairQueue) -> Vec<&str> {
    queue.ranked().map(AccountName::as_str).collect()
}

#[gtest]
fn an_account_that_returns_from_idle_brings_no_credit() {
    // `idle` was away while `busy` received 500. When `idle` returns it goes next, but for one turn
    // only: without the lift it would go first until it too had received 500.
    let (idle, busy) = (account("idle"), account("busy"));
    let mut queue = queue();
    queue.learn([(&idle, VirtualService::ZERO), (&busy, VirtualService::ZERO)]);
    wait(&mut queue, &busy, 9, 0);
    queue.add_own(&busy, VirtualService(500));
    wait(&mut queue, &idle, 9, 60);
    expect_that!(queue.place(&idle), some(eq(VirtualService(500))));
    queue.add_own(&idle, VirtualService(1));
    expect_that!(queue.choose(), some(eq(&busy)));
    expect_that!(queue.take_moved().len(), eq(1));
}

#[gtest]
fn a_queue_that_runs_empty_for_a_moment_keeps_what_it_is_owed() {
    let (owed, ahead) = (account("owed"), account("ahead"));
    let mut queue = queue();
    queue.learn([
        (&owed, VirtualService::ZERO),
        (&ahead, VirtualService::ZERO),
    ]);
    wait(&mut queue, &owed, 1, 0);
    wait(&mut queue, &ahead, 1, 0);
    queue.add_own(&ahead, VirtualService(300));
    wait(&mut queue, &owed, 0, 10);
    queue.add_own(&ahead, VirtualService(100));
    wait(&mut queue, &owed, 1, 11);
    expect_that!(queue.place(&owed), some(eq(VirtualService(100))));
}

#[gtest]
fn after_an_hour_apart_the_account_ahead_waits_for_half_the_horizon_at_most() {
    // `both` was served on both sides of a partition. At the rejoin this side hears of 50,000 more
    // and would let it wait until all others have received as much.
    let others = ["a", "b", "c"].map(account);
    let both = account("both");
    let mut queue = queue();
    for (place, other) in others.iter().enumerate() {
        queue.learn([(other, VirtualService(10 * place as i64))]);
        wait(&mut queue, other, 5, 0);
    }
    queue.learn([(&both, VirtualService::ZERO)]);
    wait(&mut queue, &both, 5, 0);
    queue.learn([(&both, VirtualService(50_000))]);
    expect_that!(queue.place(&both), some(eq(VirtualService(HORIZON / 2))));
    expect_that!(
        ranked(&queue),
        elements_are![eq(&"a"), eq(&"b"), eq(&"c"), eq(&"both")]
    );
}

#[gtest]
fn one_account_far_behind_does_not_level_the_others() {
    let (stuck, a, b) = (account("stuck"), account("a"), account("b"));
    let mut queue = queue();
    let zero = VirtualService::ZERO;
    queue.learn([(&stuck, zero), (&a, zero), (&b, zero)]);
    for account in [&stuck, &a, &b] {
        wait(&mut queue, account, 5, 0);
    }
    queue.add_own(&a, VirtualService(900));
    queue.add_own(&b, VirtualService(990));
    queue.add_own(&a, VirtualService(150));
    expect_that!(queue.place(&a), some(eq(VirtualService(1_050))));
    expect_that!(queue.place(&b), some(eq(VirtualService(990))));
    expect_that!(queue.place(&stuck), some(eq(VirtualService(550))));
}

#[gtest]
fn what_a_restarted_host_does_in_ignorance_moves_nobody_elsewhere() {
    // The host restarts, sees two accounts wait and knows nothing of their service. Hearing of one
    // of them first makes them seem 9,000 apart; it must not publish offsets from that.
    let (heavy, light) = (account("heavy"), account("light"));
    let mut queue = queue();
    wait(&mut queue, &heavy, 5, 0);
    wait(&mut queue, &light, 5, 0);
    queue.learn([(&heavy, VirtualService(9_000))]);
    expect_that!(queue.take_moved(), is_empty());
    queue.learn([(&light, VirtualService(8_900))]);
    expect_that!(queue.choose(), some(eq(&light)));
    expect_that!(queue.place(&heavy), some(eq(VirtualService(9_000))));
}

#[gtest]
fn the_later_of_two_offsets_holds_on_every_host() {
    let bistro = account("bistro");
    let mut left = queue();
    let mut right = FairQueue::new(ChoicePolicy::Fair, VirtualService(HORIZON), Incarnation(2));
    for queue in [&mut left, &mut right] {
        let busy = account("busy");
        queue.learn([
            (&bistro, VirtualService::ZERO),
            (&busy, VirtualService::ZERO),
        ]);
        wait(queue, &busy, 1, 0);
    }
    left.add_own(&account("busy"), VirtualService(70));
    right.add_own(&account("busy"), VirtualService(90));
    wait(&mut left, &bistro, 1, 60);
    wait(&mut right, &bistro, 1, 60);
    let (from_left, from_right) = (left.take_moved(), right.take_moved());
    left.learn_offset(&bistro, from_right[0].1);
    right.learn_offset(&bistro, from_left[0].1);
    expect_that!(left.place(&bistro), eq(right.place(&bistro)));
}

#[gtest]
fn a_changed_weight_does_not_revalue_the_past() {
    let (pool, bistro) = (PoolName::new("p").expect("a valid name"), account("bistro"));
    let own = Origin::new(HostName::new("s").expect("a valid name"), Incarnation(1));
    let mut ledger = FairLedger::new(own, ChoicePolicy::Fair, ServiceUnits(1_000_000));
    let now = Duration::ZERO;
    ledger.set_waiting(&pool, &bistro, Waiting::new(2, now), now);
    ledger.set_weight(&bistro, Weight::new(10).expect("a valid weight"));
    let mut run = ledger.start(&bistro, None);
    ledger.set_weight(&bistro, Weight::DEFAULT);
    ledger.stream(&mut run, ServiceUnits(5_000));
    ledger.settle(run);
    let place = ledger.queue(&pool).and_then(|q| q.place(&bistro));
    expect_that!(
        place.map(VirtualService::to_units),
        some(eq(ServiceUnits(500)))
    );
}

#[gtest]
fn a_cancelled_run_is_charged_what_it_used_and_no_more() {
    let bistro = account("bistro");
    let own = Origin::new(HostName::new("s").expect("a valid name"), Incarnation(1));
    let mut ledger = FairLedger::new(own, ChoicePolicy::Fair, ServiceUnits(1_000_000));
    let mut run = ledger.start(&bistro, None);
    ledger.stream(&mut run, ServiceUnits(3));
    ledger.settle(run);
    let run = ledger.start(&bistro, None);
    ledger.settle(run);
    let mut relay = ServiceCounters::new(Origin::new(
        HostName::new("r").expect("a valid name"),
        Incarnation(9),
    ));
    relay.merge(&ledger.delta_since(Cursor::default()));
    expect_that!(relay.total(&bistro).service, eq(ServiceUnits(3)));
}
