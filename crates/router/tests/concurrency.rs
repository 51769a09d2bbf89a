//! How many requests of an account run at once through one entry.

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

/// Requests begun, and what a sidecar was last told of the waiting ones of `bistro`.
fn outcome(core: &mut EntryCore) -> (Vec<u64>, Option<u32>) {
    let mut begun = Vec::new();
    let mut told = None;
    for action in core.take_actions(NOW) {
        match action {
            EntryAction::OpenAttempt { waiting, .. } => begun.push(waiting.request),
            EntryAction::Send {
                message: ToSidecar::Waits { changes, .. },
                ..
            } => {
                let of_bistro = changes
                    .iter()
                    .find(|wait| wait.account == account("bistro"));
                told = of_bistro.map(|wait| wait.count).or(told);
            }
            _ => {}
        }
    }
    (begun, told)
}

// An account may run one request at once through this entry, and sends three. One is offered; the
// others wait although slots are free, and sidecars are told of none, or they would pull in vain.
// When the first ends one more is told of, and a pull gets it. Another account is not held up.
#[gtest]
fn an_account_runs_no_more_at_once_than_it_may() {
    let domain = DomainName::new("jhb-north").unwrap();
    let mut core = EntryCore::new(Incarnation(1), domain.clone());
    core.set_running_limits(HashMap::from([(account("bistro"), 1)]));
    core.on_sidecar_connected(sidecar(), Incarnation(2), domain);
    let free = FromSidecar::Free {
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
