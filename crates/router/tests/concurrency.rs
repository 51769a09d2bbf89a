//! Limits on concurrent requests of an account through one entry.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootnotch_router::{EntryAction, EntryCore, QueuedRequest};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromSidecar, ToSidecar};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn pool() -> PoolName {
    PoolName::new("menu-writer").unwrap()
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).unwrap()
}

fn sidecar() -> HostName {
    HostName::new("s1").unwrap()
}

fn request(request: u64, of: &str) -> QueuedRequest {
    QueuedRequest {
        request,
        attempt: 0,
        account: account(of),
        pool: pool(),
        arrived: NOW,
        deadline: NOW + Duration::from_secs(60),
        estimate: ServiceUnits(10),
        prefix: 0,
        repeatable: true,
        avoid: vec![],
    }
}

/// Started requests, and the last count of `bistro`'s waiting requests reported to a sidecar.
fn outcome(core: &mut EntryCore) -> (Vec<u64>, Option<u32>) {
    let mut started = Vec::new();
    let mut reported = None;
    for action in core.take_actions(NOW) {
        match action {
            EntryAction::OpenAttempt { waiting, .. } => started.push(waiting.request),
            EntryAction::Send {
                message: ToSidecar::Waits { changes, .. },
                ..
            } => {
                let of_bistro = changes
                    .iter()
                    .find(|wait| wait.account == account("bistro"));
                reported = of_bistro.map(|wait| wait.count).or(reported);
            }
            _ => {}
        }
    }
    (started, reported)
}

// An account with a limit of one sends three requests. The first is offered. The others are not
// reported to sidecars, which could only pull in vain, until the first ends; then a pull gets one.
#[gtest]
fn an_account_stays_within_its_concurrency_limit() {
    let domain = DomainName::new("jhb-north").unwrap();
    let mut core = EntryCore::new(Incarnation(1), domain.clone());
    core.set_running_limits(HashMap::from([(account("bistro"), 1)]));
    core.on_sidecar_connected(sidecar(), Incarnation(2), domain);
    let free = FromSidecar::FreeSlots {
        pool: pool(),
        slots: 8,
        usable: 8,
        cached: vec![],
    };
    core.on_message(NOW, &sidecar(), free);
    for number in 1..=3 {
        core.submit(request(number, "bistro"));
    }
    expect_that!(outcome(&mut core), eq(&(vec![1], None)));
    core.on_attempt_ended(&account("bistro"));
    expect_that!(outcome(&mut core), eq(&(vec![], Some(1))));
    let accounts = vec![account("bistro")];
    core.on_message(
        NOW,
        &sidecar(),
        FromSidecar::Pull {
            pull: 1,
            pool: pool(),
            accounts,
        },
    );
    expect_that!(outcome(&mut core).0, elements_are![eq(&2)]);
    let accounts = vec![account("bistro")];
    core.on_message(
        NOW,
        &sidecar(),
        FromSidecar::Pull {
            pull: 2,
            pool: pool(),
            accounts,
        },
    );
    expect_that!(outcome(&mut core).0, is_empty());
}
