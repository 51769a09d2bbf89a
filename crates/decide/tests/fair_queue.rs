//! Order in the queue of one pool after idle times, partitions, restarts and changes of weight.

use std::time::Duration;

use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger, FairQueue, VirtualService};
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

fn set_backlog(queue: &mut FairQueue, account: &AccountName, count: u32, at: u64) {
    let now = Duration::from_secs(at);
    queue.set_backlog(account, Backlog::new(count, now), now);
}

fn ranked(queue: &FairQueue) -> Vec<&str> {
    queue.ranked().map(AccountName::as_str).collect()
}

#[gtest]
fn an_account_that_returns_from_idle_gets_no_credit() {
    // `busy` received 500 while `idle` did not wait, which `idle` must not catch up on.
    let (idle, busy) = (account("idle"), account("busy"));
    let mut queue = queue();
    set_backlog(&mut queue, &idle, 1, 0);
    set_backlog(&mut queue, &idle, 0, 1);
    set_backlog(&mut queue, &busy, 9, 1);
    queue.add_local(&busy, VirtualService(500));
    set_backlog(&mut queue, &idle, 9, 60);
    expect_that!(queue.virtual_service(&idle), some(eq(VirtualService(500))));
    queue.add_local(&idle, VirtualService(1));
    expect_that!(queue.choose(), some(eq(&busy)));
}

#[gtest]
fn remote_service_during_idle_time_is_not_counted_twice() {
    // `returning` receives 400 in another pool, which is reported after it waits here again. The
    // raise to 500 on its return covers these 400.
    let (returning, busy) = (account("returning"), account("busy"));
    let mut queue = queue();
    set_backlog(&mut queue, &returning, 1, 0);
    set_backlog(&mut queue, &returning, 0, 1);
    set_backlog(&mut queue, &busy, 9, 1);
    queue.add_local(&busy, VirtualService(500));
    set_backlog(&mut queue, &returning, 1, 3_600);
    queue.add_remote(&returning, VirtualService(400));
    expect_that!(
        queue.virtual_service(&returning),
        some(eq(VirtualService(500)))
    );
    queue.add_remote(&returning, VirtualService(30));
    expect_that!(
        queue.virtual_service(&returning),
        some(eq(VirtualService(530)))
    );
}

#[gtest]
fn a_briefly_empty_queue_keeps_its_deficit() {
    let (owed, ahead) = (account("owed"), account("ahead"));
    let mut queue = queue();
    set_backlog(&mut queue, &owed, 1, 0);
    set_backlog(&mut queue, &ahead, 1, 0);
    queue.add_local(&ahead, VirtualService(300));
    set_backlog(&mut queue, &owed, 0, 10);
    queue.add_local(&ahead, VirtualService(100));
    set_backlog(&mut queue, &owed, 1, 11);
    expect_that!(queue.virtual_service(&owed), some(eq(VirtualService(100))));
}

#[gtest]
fn after_a_partition_the_leading_account_is_ahead_by_half_the_horizon() {
    // `both` was served on both sides of a partition. The 50,000 reported after the partition must
    // not starve it until all others have received as much.
    let others = ["a", "b", "c"].map(account);
    let both = account("both");
    let mut queue = queue();
    for other in others.iter().chain([&both]) {
        set_backlog(&mut queue, other, 5, 0);
    }
    queue.add_local(&others[1], VirtualService(10));
    queue.add_local(&others[2], VirtualService(20));
    queue.add_remote(&both, VirtualService(50_000));
    expect_that!(
        queue.virtual_service(&both),
        some(eq(VirtualService(HORIZON / 2)))
    );
    expect_that!(
        ranked(&queue),
        elements_are![eq(&"a"), eq(&"b"), eq(&"c"), eq(&"both")]
    );
}

#[gtest]
fn an_outlier_does_not_change_the_differences_of_the_others() {
    let (stuck, a, b) = (account("stuck"), account("a"), account("b"));
    let mut queue = queue();
    for account in [&stuck, &a, &b] {
        set_backlog(&mut queue, account, 5, 0);
    }
    queue.add_local(&a, VirtualService(900));
    queue.add_local(&b, VirtualService(990));
    queue.add_local(&a, VirtualService(150));
    expect_that!(queue.virtual_service(&a), some(eq(VirtualService(1_050))));
    expect_that!(queue.virtual_service(&b), some(eq(VirtualService(990))));
    expect_that!(queue.virtual_service(&stuck), some(eq(VirtualService(550))));
}

#[gtest]
fn a_restarted_host_starts_all_accounts_level() {
    // The totals of `old` and `new` are far apart, but only service after the restart counts.
    let (old, new) = (account("old"), account("new"));
    let mut ledger = ledger();
    let now = Duration::ZERO;
    for account in [&old, &new] {
        ledger.set_backlog(&pool(), account, Backlog::new(5, now), now);
    }
    ledger.merge_remote([(&old, ServiceUnits(1_000_000)), (&new, ServiceUnits(1_000))]);
    ledger.merge_remote([(&old, ServiceUnits(1_000_100)), (&new, ServiceUnits(1_150))]);
    expect_that!(ledger.choose(&pool()), some(eq(&old)));
    let virtual_service = |a| ledger.queue(&pool()).and_then(|q| q.virtual_service(a));
    let difference = virtual_service(&new)
        .zip(virtual_service(&old))
        .map(|(new, old)| (new - old).to_units());
    expect_that!(difference, some(eq(ServiceUnits(50))));
}

#[gtest]
fn a_lower_remote_total_is_ignored() {
    // The host connects to a relay that lags behind.
    let bistro = account("bistro");
    let mut ledger = ledger();
    ledger.merge_remote([(&bistro, ServiceUnits(100))]);
    ledger.merge_remote([(&bistro, ServiceUnits(60))]);
    ledger.merge_remote([(&bistro, ServiceUnits(130))]);
    expect_that!(ledger.total(&bistro), eq(ServiceUnits(130)));
}

#[gtest]
fn a_changed_weight_does_not_affect_runs_in_progress() {
    let bistro = account("bistro");
    let mut ledger = ledger();
    let now = Duration::ZERO;
    ledger.set_backlog(&pool(), &bistro, Backlog::new(2, now), now);
    ledger.set_weight(&bistro, Weight::new(10).expect("a valid weight"));
    let mut run = ledger.start(&bistro, None);
    ledger.set_weight(&bistro, Weight::DEFAULT);
    ledger.stream(&mut run, ServiceUnits(5_000));
    ledger.settle(run);
    let virtual_service = ledger
        .queue(&pool())
        .and_then(|q| q.virtual_service(&bistro));
    expect_that!(
        virtual_service.map(VirtualService::to_units),
        some(eq(ServiceUnits(500)))
    );
}

#[gtest]
fn a_cancelled_run_is_charged_only_what_it_used() {
    let bistro = account("bistro");
    let mut ledger = ledger();
    let now = Duration::ZERO;
    ledger.set_backlog(&pool(), &bistro, Backlog::new(2, now), now);
    let mut run = ledger.start(&bistro, None);
    ledger.stream(&mut run, ServiceUnits(3));
    ledger.stream(&mut run, ServiceUnits(2));
    ledger.settle(run);
    let run = ledger.start(&bistro, None);
    ledger.settle(run);
    let virtual_service = ledger
        .queue(&pool())
        .and_then(|q| q.virtual_service(&bistro));
    expect_that!(
        virtual_service.map(VirtualService::to_units),
        some(eq(ServiceUnits(3)))
    );
    expect_that!(
        ledger.take_unsent(),
        elements_are![eq(&(bistro, ServiceUnits(3)))]
    );
}

#[gtest]
fn slots_freed_together_pull_for_different_accounts() {
    // The first pull is charged at once, so the second one is for the other account. Its refund
    // restores the order.
    let (a, b) = (account("a"), account("b"));
    let mut ledger = ledger();
    let now = Duration::ZERO;
    for account in [&a, &b] {
        ledger.set_backlog(&pool(), account, Backlog::new(5, now), now);
    }
    let first = ledger.start(&a, None);
    expect_that!(ledger.choose(&pool()), some(eq(&b)));
    ledger.refund(first);
    expect_that!(ledger.choose(&pool()), some(eq(&a)));
    let virtual_service = ledger.queue(&pool()).and_then(|q| q.virtual_service(&a));
    expect_that!(virtual_service, some(eq(VirtualService::ZERO)));
}
