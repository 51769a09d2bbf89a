//! Places in the queue of one pool: idleness, partitions, restarts and weights.

use std::time::Duration;

use coltsfootnotch_decide::fair::{ChoicePolicy, FairLedger, FairQueue, VirtualService, Waiting};
use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits, Weight};
use googletest::prelude::*;

const HORIZON: i64 = 1_000;

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

fn pool() -> PoolName {
    PoolName::new("pool").expect("a valid name")
}

fn queue() -> FairQueue {
    FairQueue::new(ChoicePolicy::Fair, VirtualService(HORIZON))
}

fn ledger() -> FairLedger {
    FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000))
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
    wait(&mut queue, &idle, 1, 0);
    wait(&mut queue, &idle, 0, 1);
    wait(&mut queue, &busy, 9, 1);
    queue.add_here(&busy, VirtualService(500));
    wait(&mut queue, &idle, 9, 60);
    expect_that!(queue.place(&idle), some(eq(VirtualService(500))));
    queue.add_here(&idle, VirtualService(1));
    expect_that!(queue.choose(), some(eq(&busy)));
}

#[gtest]
fn service_elsewhere_during_an_absence_is_not_counted_on_top_of_the_lift() {
    // `away` waits in another pool for an hour and receives 400 there, of which this host hears only
    // when `away` waits here again. Lifted to 500 and charged 400 more, it would wait for nothing.
    let (away, busy) = (account("away"), account("busy"));
    let mut queue = queue();
    wait(&mut queue, &away, 1, 0);
    wait(&mut queue, &away, 0, 1);
    wait(&mut queue, &busy, 9, 1);
    queue.add_here(&busy, VirtualService(500));
    wait(&mut queue, &away, 1, 3_600);
    queue.add_elsewhere(&away, VirtualService(400));
    expect_that!(queue.place(&away), some(eq(VirtualService(500))));
    queue.add_elsewhere(&away, VirtualService(30));
    expect_that!(queue.place(&away), some(eq(VirtualService(530))));
}

#[gtest]
fn a_queue_that_runs_empty_for_a_moment_keeps_what_it_is_owed() {
    let (owed, ahead) = (account("owed"), account("ahead"));
    let mut queue = queue();
    wait(&mut queue, &owed, 1, 0);
    wait(&mut queue, &ahead, 1, 0);
    queue.add_here(&ahead, VirtualService(300));
    wait(&mut queue, &owed, 0, 10);
    queue.add_here(&ahead, VirtualService(100));
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
    for other in others.iter().chain([&both]) {
        wait(&mut queue, other, 5, 0);
    }
    queue.add_here(&others[1], VirtualService(10));
    queue.add_here(&others[2], VirtualService(20));
    queue.add_elsewhere(&both, VirtualService(50_000));
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
    for account in [&stuck, &a, &b] {
        wait(&mut queue, account, 5, 0);
    }
    queue.add_here(&a, VirtualService(900));
    queue.add_here(&b, VirtualService(990));
    queue.add_here(&a, VirtualService(150));
    expect_that!(queue.place(&a), some(eq(VirtualService(1_050))));
    expect_that!(queue.place(&b), some(eq(VirtualService(990))));
    expect_that!(queue.place(&stuck), some(eq(VirtualService(550))));
}

#[gtest]
fn a_host_that_restarts_takes_old_and_new_accounts_as_level() {
    // `old` has received a million over a year, `new` a thousand since this morning, and the fleet
    // serves them evenly. A restarted host that went by totals would serve only `new`.
    let (old, new) = (account("old"), account("new"));
    let mut ledger = ledger();
    let now = Duration::ZERO;
    for account in [&old, &new] {
        ledger.set_waiting(&pool(), account, Waiting::new(5, now), now);
    }
    ledger.learn_elsewhere([(&old, ServiceUnits(1_000_000)), (&new, ServiceUnits(1_000))]);
    ledger.learn_elsewhere([(&old, ServiceUnits(1_000_100)), (&new, ServiceUnits(1_150))]);
    expect_that!(ledger.choose(&pool()), some(eq(&old)));
    let place = |a| ledger.queue(&pool()).and_then(|q| q.place(a));
    let apart = place(&new)
        .zip(place(&old))
        .map(|(new, old)| (new - old).to_units());
    expect_that!(apart, some(eq(ServiceUnits(50))));
}

#[gtest]
fn a_total_that_goes_back_is_not_a_loss() {
    // The host turns to a relay that has not heard everything yet.
    let bistro = account("bistro");
    let mut ledger = ledger();
    ledger.learn_elsewhere([(&bistro, ServiceUnits(100))]);
    ledger.learn_elsewhere([(&bistro, ServiceUnits(60))]);
    ledger.learn_elsewhere([(&bistro, ServiceUnits(130))]);
    expect_that!(ledger.total(&bistro), eq(ServiceUnits(130)));
}

#[gtest]
fn a_changed_weight_does_not_revalue_the_past() {
    let bistro = account("bistro");
    let mut ledger = ledger();
    let now = Duration::ZERO;
    ledger.set_waiting(&pool(), &bistro, Waiting::new(2, now), now);
    ledger.set_weight(&bistro, Weight::new(10).expect("a valid weight"));
    let mut run = ledger.start(&bistro, None);
    ledger.set_weight(&bistro, Weight::DEFAULT);
    ledger.stream(&mut run, ServiceUnits(5_000));
    ledger.settle(run);
    let place = ledger.queue(&pool()).and_then(|q| q.place(&bistro));
    expect_that!(
        place.map(VirtualService::to_units),
        some(eq(ServiceUnits(500)))
    );
}

#[gtest]
fn a_cancelled_run_is_charged_what_it_used_and_no_more() {
    let bistro = account("bistro");
    let mut ledger = ledger();
    let now = Duration::ZERO;
    ledger.set_waiting(&pool(), &bistro, Waiting::new(2, now), now);
    let mut run = ledger.start(&bistro, None);
    ledger.stream(&mut run, ServiceUnits(3));
    ledger.stream(&mut run, ServiceUnits(2));
    ledger.settle(run);
    let run = ledger.start(&bistro, None);
    ledger.settle(run);
    let place = ledger.queue(&pool()).and_then(|q| q.place(&bistro));
    expect_that!(
        place.map(VirtualService::to_units),
        some(eq(ServiceUnits(3)))
    );
    expect_that!(
        ledger.take_unsent(),
        elements_are![eq(&(bistro, ServiceUnits(3)))]
    );
}

#[gtest]
fn slots_that_ask_for_work_together_ask_for_different_accounts() {
    // Two slots come free at once. Charged when it asks, the first leaves the second to the other
    // account; when nothing comes of it, the account has its place back.
    let (a, b) = (account("a"), account("b"));
    let mut ledger = ledger();
    let now = Duration::ZERO;
    for account in [&a, &b] {
        ledger.set_waiting(&pool(), account, Waiting::new(5, now), now);
    }
    let first = ledger.start(&a, None);
    expect_that!(ledger.choose(&pool()), some(eq(&b)));
    ledger.abandon(first);
    expect_that!(ledger.choose(&pool()), some(eq(&a)));
    let place = ledger.queue(&pool()).and_then(|q| q.place(&a));
    expect_that!(place, some(eq(VirtualService::ZERO)));
}
