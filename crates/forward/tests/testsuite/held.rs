//! Memory and sockets of callers that read or send slowly, or come in floods.

use std::sync::Arc;

use coltsfootnotch_forward::held::{HeldKind, HeldResources, Hold, HostLimits, Load};
use googletest::prelude::*;
use proptest::prelude::*;

const LIMITS: HostLimits = HostLimits {
    memory_bytes: 1_000_000,
    sockets: 100,
};

fn bodies(held: &Arc<HeldResources>, account: &str, count: usize, bytes: u64) -> Vec<Hold> {
    let account: Arc<str> = account.into();
    let holds = (0..count).map_while(|_| held.try_hold(HeldKind::Request, Some(&account), bytes));
    holds.collect()
}

/// Guards against slow callers of one account that take the memory of all.
#[googletest::test]
fn slow_callers_of_one_account_leave_half_to_the_others() {
    let held = HeldResources::new(LIMITS);
    let slow = bodies(&held, "slow", 1_000, 10_000);
    expect_that!(slow.len(), eq(50));
    expect_that!(held.load(), lt(Load::Refusing));
    let second = bodies(&held, "second", 1_000, 10_000);
    expect_that!(second.len(), eq(25), "half of what is left");
    expect_that!(bodies(&held, "sound", 1, 10_000).len(), eq(1));
}

/// Responses of an account, each a byte list that grows as far as there is room.
fn responses(held: &Arc<HeldResources>, account: &str, count: usize) -> Vec<Hold> {
    let account: Arc<str> = account.into();
    let mut holds: Vec<_> = (0..count)
        .map(|_| held.hold(HeldKind::Response, Some(&account), 0, 0))
        .collect();
    for _ in 0..1_000 {
        for hold in &mut holds {
            let _has_grown = hold.try_grow_response(1_000);
        }
    }
    holds
}

/// Guards against responses without end that take the room of new requests, of their own account and of others.
#[googletest::test]
fn responses_without_end_leave_room_for_requests() {
    let held = HeldResources::new(LIMITS);
    let endless: Vec<_> = (0..6)
        .map(|n| responses(&held, &format!("account-{n}"), 12))
        .collect();
    expect_that!(held.load(), lt(Load::Refusing));
    for account in ["account-0", "account-5", "sound"] {
        expect_that!(bodies(&held, account, 8, 10_000).len(), eq(8), "{account}");
    }
    drop(endless);
    expect_that!(held.memory_bytes(), eq(0));
}

/// Guards against responses that are given no room while there is plenty.
#[googletest::test]
fn a_response_may_take_a_quarter_of_the_memory() {
    let held = HeldResources::new(LIMITS);
    expect_that!(responses(&held, "one", 1)[0].bytes(), ge(250_000));
}

/// Guards against a host that accepts connections until it has no socket for those to upstreams.
#[googletest::test]
fn a_flood_of_connections_is_refused_before_sockets_run_out() {
    let held = HeldResources::new(LIMITS);
    let mut loads = Vec::new();
    let mut connections = Vec::new();
    while held.load() < Load::Full {
        connections.push(held.hold(HeldKind::Connection, None, 100, 1));
        loads.push(held.load());
    }
    let first = |load| loads.iter().position(|l| *l == load).map(|n| n + 1);
    expect_that!(first(Load::Crowded), some(eq(40)));
    expect_that!(first(Load::Refusing), some(eq(80)));
    expect_that!(first(Load::Full), some(eq(100)));
    connections.truncate(39);
    expect_that!(held.load(), eq(Load::Normal));
}

/// Guards against a host with hardly more memory than the process itself takes, which would accept nothing.
#[googletest::test]
fn a_small_host_still_accepts_requests() {
    let held = HeldResources::new(HostLimits::of_process(16 << 20, 100));
    expect_that!(bodies(&held, "small", 10, 10_000).len(), eq(10));
}

proptest! {
    /// Guards against bytes that stay counted after their connections have ended.
    #[test]
    fn nothing_is_held_once_everything_has_ended(
        steps in prop::collection::vec((0..3_usize, 0..200_000_u64, 0..4_usize), 1..60)
    ) {
        let held = HeldResources::new(LIMITS);
        let mut holds: Vec<Hold> = Vec::new();
        for (action, bytes, n) in steps {
            let account: Arc<str> = format!("account-{n}").into();
            match action {
                0 => holds.extend(held.try_hold(HeldKind::Response, Some(&account), bytes)),
                1 => if let Some(hold) = holds.last_mut() { hold.resize(bytes) },
                _ => drop(holds.pop()),
            }
            let counted: u64 = holds.iter().map(Hold::bytes).sum();
            prop_assert_eq!(held.memory_bytes(), counted);
            prop_assert_eq!(held.bytes_of(HeldKind::Response), counted);
        }
        holds.clear();
        prop_assert_eq!(held.memory_bytes(), 0);
        prop_assert_eq!(held.bytes_of_account("account-0"), 0);
    }
}
