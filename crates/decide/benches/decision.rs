//! Time of scheduling, routing and admission decisions.
//!
//! Sizes: 20 pools, 600 upstreams and 5,700 accounts of which 570 are backlogged, and a tenth and
//! ten times that. Run with `cargo bench -p coltsfootnotch-decide`.

use std::hint::black_box;
use std::time::Duration;

use coltsfootnotch_decide::admit::{Admission, QueueLimits};
use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
use coltsfootnotch_decide::route::{Candidate, PrefixKey, PrefixMap, Proximity, choose_upstream};
use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits, UpstreamName};
use criterion::{BenchmarkId, Criterion};

/// Size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    pools: usize,
    upstreams: usize,
    accounts: usize,
}

const SIZES: [Size; 3] = [
    Size {
        pools: 2,
        upstreams: 60,
        accounts: 570,
    },
    Size {
        pools: 20,
        upstreams: 600,
        accounts: 5_700,
    },
    Size {
        pools: 200,
        upstreams: 6_000,
        accounts: 57_000,
    },
];

/// One account in this many is backlogged.
const BACKLOGGED_EVERY: usize = 10;

fn accounts(size: Size) -> Vec<AccountName> {
    let name = |i| AccountName::new(format!("account-{i}")).expect("a valid name");
    (0..size.accounts).map(name).collect()
}

fn pools(size: Size) -> Vec<PoolName> {
    let name = |i| PoolName::new(format!("pool-{i}")).expect("a valid name");
    (0..size.pools).map(name).collect()
}

/// A ledger with the backlogged accounts waiting in every pool.
fn ledger(size: Size, accounts: &[AccountName], pools: &[PoolName]) -> FairLedger {
    let mut ledger = FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000_000));
    let now = Duration::ZERO;
    for pool in pools {
        for (i, account) in accounts.iter().enumerate() {
            let count = u32::from(i % BACKLOGGED_EVERY == 0);
            ledger.set_backlog(pool, account, Backlog::new(count, now), now);
        }
    }
    assert_eq!(accounts.len(), size.accounts);
    ledger
}

/// Chooses an account in one pool, then starts, streams once and settles a run.
fn choose_and_charge(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose and charge");
    for size in SIZES {
        let (accounts, pools) = (accounts(size), pools(size));
        let mut ledger = ledger(size, &accounts, &pools[..1]);
        group.bench_function(BenchmarkId::from_parameter(size.accounts), |b| {
            b.iter(|| {
                let chosen = ledger.choose(&pools[0]).cloned().expect("accounts wait");
                let mut run = ledger.start(&chosen, None);
                ledger.stream(&mut run, ServiceUnits(120));
                ledger.settle(run);
            });
        });
    }
    group.finish();
}

/// Merges one total of remote service.
fn merge_total(c: &mut Criterion) {
    let mut group = c.benchmark_group("learn one total");
    for size in SIZES {
        let (accounts, pools) = (accounts(size), pools(size));
        let mut ledger = ledger(size, &accounts, &pools[..1]);
        let mut total = 0;
        group.bench_function(BenchmarkId::from_parameter(size.accounts), |b| {
            b.iter(|| {
                total += 1;
                let account =
                    &accounts[total % (size.accounts / BACKLOGGED_EVERY) * BACKLOGGED_EVERY];
                ledger.merge_remote([(account, ServiceUnits(total as u64))]);
            });
        });
    }
    group.finish();
}

/// Chooses an upstream for an offer in one pool.
fn choose_for_offer(c: &mut Criterion) {
    let mut group = c.benchmark_group("place an offer in one pool");
    for size in SIZES {
        let name = |i| UpstreamName::new(format!("upstream-{i}")).expect("a valid name");
        let names: Vec<_> = (0..size.upstreams / size.pools).map(name).collect();
        let candidates: Vec<_> = names.iter().enumerate().map(candidate).collect();
        let mut map = PrefixMap::new();
        for prefix in 0..1_000 {
            let holder = &names[prefix % names.len()];
            map.on_cached(PrefixKey(prefix as u64), holder, Duration::ZERO);
        }
        let mut prefix = 0;
        group.bench_function(BenchmarkId::from_parameter(size.upstreams), |b| {
            b.iter(|| {
                prefix = (prefix + 1) % 1_000;
                let key = Some(PrefixKey(prefix));
                black_box(choose_upstream(&candidates, key, &[], &map, Duration::ZERO))
            });
        });
    }
    group.finish();
}

fn candidate((i, upstream): (usize, &UpstreamName)) -> Candidate<'_> {
    Candidate {
        upstream,
        proximity: if i % 3 == 0 {
            Proximity::Domain
        } else {
            Proximity::Remote
        },
        usable: 32,
        in_flight: (i % 32) as u32,
    }
}

/// Admits, queues and starts one request.
fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit, queue and start");
    for size in SIZES {
        let (accounts, pools) = (accounts(size), pools(size));
        let mut admission = Admission::new(QueueLimits {
            per_account: 1_000,
            total: 1_000_000,
        });
        let mut i = 0;
        group.bench_function(BenchmarkId::from_parameter(size.accounts), |b| {
            b.iter(|| {
                i += 1;
                let account = &accounts[i % accounts.len()];
                let pool = &pools[i % pools.len()];
                let now = Duration::from_micros(i as u64);
                let deadline = Some(now + Duration::from_secs(10));
                admission
                    .admit(pool, account, deadline, now)
                    .expect("the queue is not full");
                admission.on_queued(pool, account, now);
                admission.on_started(pool, account, now);
            });
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    choose_and_charge(&mut c);
    merge_total(&mut c);
    choose_for_offer(&mut c);
    admit(&mut c);
    c.final_summary();
}
