//! What an entry that starts learns of the retries of earlier processes of its host.

use std::time::Duration;

use coltsfootnotch_forward::retry::{RetryBudget, RetryLimit, RetryRecords};
use coltsfootnotch_wire::{Message, RetryReport, ToRelay, encode};
use googletest::prelude::*;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

/// What one entry that knows its budget uses of the slack.
const SLACK_USED: usize = 35;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Takes retries until the budget has no more.
fn spend(budget: &mut RetryBudget, now: Duration) -> usize {
    let mut spent = 0;
    while budget.try_acquire(now, "spec", Some(1)) {
        spent += 1;
    }
    spent
}

/// Has an entry of the host report all to a control host.
fn report(budget: &mut RetryBudget, now: Duration, run: u64, to: &mut RetryRecords) {
    let report = budget.take_report(now, true).unwrap();
    to.record(now, "entry-1", run, &report);
}

/// The budget of the process 2 after answers of the control hosts.
fn successor(now: Duration, control_hosts: &mut [&mut RetryRecords], counted: u32) -> RetryBudget {
    let mut budget = RetryBudget::succeeding(LIMIT, now);
    for (n, control_host) in control_hosts.iter_mut().enumerate() {
        let history = control_host.history(now, "entry-1", 2, counted);
        let _known = budget.on_history(now, &format!("control-{n}"), &history);
    }
    budget
}

/// Guards against a new host that has no budget since nobody knows a predecessor of it.
#[googletest::test]
fn a_host_without_a_predecessor_has_its_whole_budget() {
    let mut long_started = RetryRecords::new(at(0.0), false);
    let mut budget = successor(at(20.0), &mut [&mut long_started], 1);
    expect_that!(spend(&mut budget, at(20.0)), eq(SLACK_USED));
    let mut first_start = RetryRecords::new(at(0.0), true);
    let mut budget = successor(at(1.0), &mut [&mut first_start], 1);
    expect_that!(spend(&mut budget, at(1.0)), eq(SLACK_USED));
}

/// Guards against an entry that takes control hosts that can't know its predecessor for a proof that there is none.
#[googletest::test]
fn an_entry_has_no_slack_until_its_predecessor_is_known_or_a_window_has_passed() {
    let mut restarted = RetryRecords::new(at(19.0), false);
    let mut lost_another = RetryRecords::new(at(0.0), true);
    lost_another.on_control_host_lost(at(15.0));
    for control_host in [&mut restarted, &mut lost_another] {
        let mut budget = successor(at(20.0), &mut [control_host], 1);
        expect_that!(spend(&mut budget, at(20.0)), eq(0));
        expect_that!(spend(&mut budget, at(29.9)), eq(0));
        expect_that!(spend(&mut budget, at(30.0)), eq(SLACK_USED));
    }
    let mut one_of_two = RetryRecords::new(at(0.0), true);
    let mut budget = successor(at(20.0), &mut [&mut one_of_two], 2);
    expect_that!(spend(&mut budget, at(20.0)), eq(0), "another may know more");
}

/// Guards against an entry that goes on with what its predecessor had sent before it changed its control host.
#[googletest::test]
fn the_last_control_host_of_a_predecessor_has_all_of_it() {
    let mut first = RetryRecords::new(at(0.0), true);
    let mut last = RetryRecords::new(at(0.0), true);
    let mut before = RetryBudget::new(LIMIT);
    (0..100).for_each(|_| before.on_request(at(1.0), "spec"));
    report(&mut before, at(1.0), 1, &mut first);
    expect_that!(spend(&mut before, at(2.0)), eq(SLACK_USED + 14));
    first.on_moved("entry-1", 1);
    report(&mut before, at(2.0), 1, &mut last);

    let mut after = successor(at(3.0), &mut [&mut first], 2);
    expect_that!(spend(&mut after, at(3.0)), eq(0));
    let history = last.history(at(3.0), "entry-1", 2, 2);
    let earlier = after.on_history(at(3.0), "control-last", &history).unwrap();
    expect_that!((earlier.requests, earlier.retries), eq((100, 49)));
    expect_that!(spend(&mut after, at(3.0)), eq(0));
    (0..105).for_each(|_| after.on_request(at(4.0), "spec"));
    expect_that!(spend(&mut after, at(4.0)), eq(14), "of its own requests");
}

/// Guards against an entry that takes an earlier report for the last one, at a control host from which its predecessor
/// was disconnected, and sends again what that has sent since.
#[googletest::test]
fn an_earlier_report_is_not_taken_for_the_last_one() {
    let mut disconnected = RetryRecords::new(at(0.0), true);
    let mut last = RetryRecords::new(at(0.0), true);
    let mut before = RetryBudget::new(LIMIT);
    report(&mut before, at(1.0), 1, &mut disconnected);
    expect_that!(spend(&mut before, at(2.0)), eq(SLACK_USED));
    report(&mut before, at(2.0), 1, &mut last);

    let mut after = successor(at(3.0), &mut [&mut disconnected], 2);
    expect_that!(spend(&mut after, at(3.5)), eq(0));
    let history = last.history(at(3.6), "entry-1", 2, 2);
    let _known = after.on_history(at(3.6), "control-last", &history);
    expect_that!(spend(&mut after, at(3.6)), eq(0));
}

/// Guards against an entry that waits for a window for a control host which is cut off.
#[googletest::test]
fn the_last_report_is_enough_when_another_control_host_does_not_answer() {
    let mut last = RetryRecords::new(at(0.0), true);
    let mut before = RetryBudget::new(LIMIT);
    (0..100).for_each(|_| before.on_request(at(1.0), "spec"));
    report(&mut before, at(1.0), 1, &mut last);
    let mut after = successor(at(3.0), &mut [&mut last], 2);
    expect_that!(spend(&mut after, at(3.0)), eq(0));
    expect_that!(spend(&mut after, at(4.0)), eq(SLACK_USED + 14));
}

/// Guards against an entry that takes what control hosts still have for all of a window that is longer.
#[googletest::test]
fn a_window_longer_than_reports_are_kept_is_not_known() {
    let limit = RetryLimit {
        window: Duration::from_secs(30),
        ..LIMIT
    };
    let mut control_host = RetryRecords::new(at(0.0), true);
    let mut before = RetryBudget::new(limit);
    report(&mut before, at(60.0), 1, &mut control_host);
    let history = control_host.history(at(61.0), "entry-1", 2, 1);
    let mut after = RetryBudget::succeeding(limit, at(0.0));
    expect_that!(after.on_history(at(0.1), "control-1", &history), none());
    expect_that!(spend(&mut after, at(10.0)), eq(0));
}

/// Guards against retries that are forgotten within the window since a report or an answer was under way.
#[googletest::test]
fn ages_are_never_too_high() {
    for step in 0..30 {
        let sent = 1.0 + f64::from(step) * 0.037;
        let mut control_host = RetryRecords::new(at(0.0), true);
        let mut before = RetryBudget::new(LIMIT);
        expect_that!(spend(&mut before, at(sent)), eq(SLACK_USED));
        let report = before.take_report(at(sent), true).unwrap();
        control_host.record(at(sent + 0.2), "entry-1", 1, &report);
        let history = control_host.history(at(sent + 5.0), "entry-1", 2, 1);
        // A process's clock starts with it.
        let mut after = RetryBudget::succeeding(LIMIT, at(0.0));
        let _known = after.on_history(at(0.1), "control-1", &history);
        expect_that!(spend(&mut after, at(5.0)), eq(0), "sent at {sent}");
        expect_that!(
            spend(&mut after, at(12.0)),
            eq(SLACK_USED),
            "sent at {sent}"
        );
    }
}

/// Guards against a third process that takes the first for its predecessor: what the second has sent is unknown.
#[googletest::test]
fn a_process_between_is_not_passed_over() {
    let mut control_host = RetryRecords::new(at(0.0), true);
    let mut first = RetryBudget::new(LIMIT);
    first.on_request(at(1.0), "spec");
    report(&mut first, at(1.0), 1, &mut control_host);
    let _to_second = control_host.history(at(2.0), "entry-1", 2, 2);
    let mut third = RetryBudget::succeeding(LIMIT, at(3.0));
    let history = control_host.history(at(3.0), "entry-1", 3, 2);
    let known = third.on_history(at(3.0), "control-1", &history);
    expect_that!(known, none());
}

/// Guards against restarted entries that take those that are up for the whole fleet, and use too much of the slack.
#[googletest::test]
fn entries_that_are_down_for_a_moment_count() {
    let mut control_host = RetryRecords::new(at(0.0), false);
    control_host.on_round(at(1.0), 46);
    let history = control_host.history(at(1.0), "entry-1", 1, 1);
    expect_that!(history.entries, eq(0), "others may not have reported yet");
    control_host.on_round(at(20.0), 46);
    control_host.on_round(at(20.5), 23);
    let history = control_host.history(at(21.0), "entry-1", 1, 1);
    expect_that!(history.entries, eq(46));
}

/// Guards against reports that take much of the network: they don't grow with the number of entries.
#[googletest::test]
fn reports_of_retries_take_few_bytes() {
    let services = ["spec", "full-spec", "order-read", "order-write", "index"];
    let mut budget = RetryBudget::new(LIMIT);
    let count = |budget: &mut RetryBudget, now| {
        for service in services {
            (0..200).for_each(|_| budget.on_request(now, service));
            (0..20).for_each(|_| assert!(budget.try_acquire(now, service, Some(1))));
        }
    };
    let bytes = |report: RetryReport| {
        let message = Message::ToRelay(ToRelay::Retries(report));
        encode(&message).unwrap().len()
    };
    let mut control_host = RetryRecords::new(at(0.0), true);
    for bucket in 0..80 {
        let now = at(0.25 + f64::from(bucket) * 0.5);
        count(&mut budget, now);
        let report = budget.take_report(now, bucket == 0).unwrap();
        control_host.record(now, "entry-1", 1, &report);
        expect_that!(bytes(report), le(100));
    }
    let whole = bytes(budget.take_report(at(40.0), true).unwrap());
    expect_that!(whole, le(1_000));
    let history = control_host.history(at(40.0), "entry-1", 2, 10);
    let history = coltsfootnotch_wire::FromRelay::RetryHistory(history);
    let history = encode(&Message::FromRelay(history)).unwrap().len();

    expect_that!(history, le(2_000));
}

/// Guards against requests that are older than the successor's clock and count as new, so that it sends too much again.
#[googletest::test]
fn old_requests_of_a_predecessor_do_not_count_as_new() {
    let limit = RetryLimit {
        slack: 0.0,
        ..LIMIT
    };
    let mut control_host = RetryRecords::new(at(0.0), true);
    let mut before = RetryBudget::new(limit);
    for n in 0..2_000 {
        let now = at(f64::from(n) * 0.01);
        before.on_request(now, "spec");
        let report = before.take_report(now, n == 0).unwrap();
        control_host.record(now, "entry-1", 1, &report);
    }
    let history = control_host.history(at(20.1), "entry-1", 2, 1);
    let mut after = RetryBudget::succeeding(limit, at(0.0));
    let _known = after.on_history(at(0.1), "control-1", &history);
    let mut sent = 0;
    for n in 10..1_000 {
        let now = at(f64::from(n) * 0.01);
        after.on_request(now, "spec");
        sent += spend(&mut after, now);
    }
    expect_that!(sent, le(200));
}
