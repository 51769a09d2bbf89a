//! Service of any size, as engines and other hosts state it.

use std::time::Duration;

use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits};
use proptest::prelude::{Strategy as Generator, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

fn any_units() -> impl Generator<Value = ServiceUnits> {
    let units = prop_oneof![0..3_000_u64, any::<u64>(), u64::MAX - 3_000..=u64::MAX];
    units.prop_map(ServiceUnits)
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

/// Runs with this usage for two accounts by turns, and totals of other hosts. No total may fall.
fn apply(usage: &[(ServiceUnits, ServiceUnits)]) {
    let accounts = [account("bistro"), account("library")];
    let pool = PoolName::new("pool").expect("a valid name");
    let mut ledger = FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000));
    for account in &accounts {
        let backlog = Backlog::new(3, Duration::ZERO);
        ledger.set_backlog(&pool, account, backlog, Duration::ZERO);
    }
    for (n, (used, remote)) in usage.iter().enumerate() {
        let account = &accounts[n % 2];
        let before = ledger.total(account);
        let mut run = ledger.start(account, Some(*used));
        ledger.stream(&mut run, *used);
        ledger.settle(run);
        ledger.merge_remote([(account, *remote)]);
        assert!(ledger.total(account) >= before, "a total only grows");
        assert!(
            ledger.choose(&pool).is_some(),
            "an account that waits is chosen"
        );
    }
}

/// Guards against an engine whose stated usage wraps the service of its account, or ends the host that charges it.
#[test]
fn usage_of_any_size_is_charged() {
    let most = (ServiceUnits(u64::MAX), ServiceUnits(u64::MAX));
    apply(&[most, most, most, most]);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(20_261_204), ..Config::default() })]

    /// Guards against any usage and totals of other hosts that wrap a sum.
    #[test]
    fn no_usage_wraps_a_total(usage in proptest::collection::vec((any_units(), any_units()), 1..20)) {
        apply(&usage);
    }
}
