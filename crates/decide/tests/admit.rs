//! Admission and refusal of requests.

use std::time::Duration;

use coltsfootnotch_decide::admit::{
    Admission, HostLimits, HostLoad, QueueLimits, Refusal, RefusalReason,
};
use coltsfootnotch_types::{AccountName, PoolName};
use googletest::prelude::*;

const LIMITS: QueueLimits = QueueLimits {
    per_account: 1_000,
    total: 1_000,
};

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

fn pool() -> PoolName {
    PoolName::new("menu-writer").expect("a valid name")
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Queues up to `count` requests until one is refused; returns how many were admitted.
fn fill(admission: &mut Admission, account: &AccountName, count: u32, now: Duration) -> u32 {
    let mut admitted = 0;
    while admitted < count && admission.admit(&pool(), account, None, now).is_ok() {
        admission.on_queued(&pool(), account, now);
        admitted += 1;
    }
    admitted
}

/// Starts one request of the account per second.
fn drain(admission: &mut Admission, account: &AccountName, from: u64, count: u64) {
    for s in from + 1..=from + count {
        admission.on_started(&pool(), account, secs(s));
    }
}

#[gtest]
fn floods_leave_queue_capacity_for_other_accounts() {
    // Each account in turn can take half of the free part of the queue.
    let mut admission = Admission::new(LIMITS);
    let flood = fill(&mut admission, &account("flood"), 10_000, secs(0));
    let second = fill(&mut admission, &account("second"), 10_000, secs(0));
    let bistro = fill(&mut admission, &account("bistro"), 10_000, secs(0));
    expect_that!((flood, second, bistro), eq((500, 250, 125)));
}

#[gtest]
fn a_request_expected_to_miss_its_deadline_is_refused_with_a_retry_time() {
    // 30 requests wait and one starts each second, so the expected wait is 31 s. With a deadline of
    // 10 s the request is accepted 21 s later.
    let mut admission = Admission::new(LIMITS);
    let chef = account("chef");
    fill(&mut admission, &chef, 50, secs(0));
    drain(&mut admission, &chef, 0, 20);
    let now = secs(20);
    let refused = admission.admit(&pool(), &chef, Some(now + secs(10)), now);
    let refusal = Refusal {
        reason: RefusalReason::Deadline,
        retry_after: secs(21),
    };
    expect_that!(refused, err(eq(refusal)));
    drain(&mut admission, &chef, 20, 21);
    let later = now + secs(21);
    expect_that!(
        admission.admit(&pool(), &chef, Some(later + secs(10)), later),
        ok(anything())
    );
}

#[gtest]
fn idle_time_does_not_count_towards_the_drain_rate() {
    // One request per hour, each started after a second.
    let mut admission = Admission::new(LIMITS);
    let rare = account("rare");
    for hour in 0..5 {
        let now = secs(hour * 3_600);
        admission.on_queued(&pool(), &rare, now);
        admission.on_started(&pool(), &rare, now + secs(1));
    }
    let now = secs(20_000);
    admission.on_queued(&pool(), &rare, now);
    expect_that!(
        admission.expected_wait(&pool(), &rare, now),
        some(eq(secs(2)))
    );
}

#[gtest]
fn a_stalled_queue_lengthens_the_expected_wait() {
    let mut admission = Admission::new(LIMITS);
    let chef = account("chef");
    fill(&mut admission, &chef, 12, secs(0));
    drain(&mut admission, &chef, 0, 10);
    expect_that!(
        admission.expected_wait(&pool(), &chef, secs(11)),
        some(eq(secs(3)))
    );
    expect_that!(
        admission.expected_wait(&pool(), &chef, secs(40)),
        some(eq(secs(90)))
    );
}

#[gtest]
fn a_host_at_its_limits_refuses_new_requests_and_reserves_memory_for_answers() {
    let limits = HostLimits {
        connections: 100,
        memory: 1_000,
    };
    let load = HostLoad {
        connections: 100,
        memory: 790,
    };
    let reason = |r: std::result::Result<(), Refusal>| r.err().map(|refusal| refusal.reason);
    expect_that!(
        reason(limits.admit_connection(load)),
        some(eq(RefusalReason::Connections))
    );
    expect_that!(reason(limits.admit_body(load, 10)), none());
    expect_that!(
        reason(limits.admit_body(load, 11)),
        some(eq(RefusalReason::Memory))
    );
}
