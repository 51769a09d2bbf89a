//! Service counters agree whatever the network does to their deltas.

use coltsfootnotch_decide::service::{Cursor, Origin, ServiceCounters, ServiceDelta};
use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits, Weight};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

fn counters(host: &str, incarnation: u64) -> ServiceCounters {
    let host = HostName::new(host).expect("a valid name");
    ServiceCounters::new(Origin::new(host, Incarnation(incarnation)))
}

#[gtest]
fn a_restarted_host_adds_to_what_it_gave_before() {
    // The host counts 100, restarts with no state and counts 40 from zero. The relay must not take
    // the fresh zero for a loss: the account has received 140.
    let bistro = account("bistro");
    let mut relay = counters("relay", 1);
    let mut before = counters("sidecar", 2);
    before.charge(&bistro, Weight::DEFAULT, ServiceUnits(100));
    relay.merge(&before.delta_since(Cursor::default()));
    let mut after = counters("sidecar", 3);
    after.charge(&bistro, Weight::DEFAULT, ServiceUnits(40));
    relay.merge(&after.delta_since(Cursor::default()));
    expect_that!(relay.total(&bistro).service, eq(ServiceUnits(140)));
    let elsewhere = relay.sum_elsewhere(&bistro, after.own());
    expect_that!(elsewhere.service, eq(ServiceUnits(100)));
}

#[gtest]
fn a_delta_holds_only_what_changed_since_the_cursor() {
    let (bistro, chain) = (account("bistro"), account("chain"));
    let mut sidecar = counters("sidecar", 1);
    sidecar.charge(&bistro, Weight::DEFAULT, ServiceUnits(5));
    let seen = sidecar.delta_since(Cursor::default()).upto;
    sidecar.charge(&chain, Weight::DEFAULT, ServiceUnits(5));
    sidecar.refund(&chain, Weight::DEFAULT, ServiceUnits(2));
    let delta = sidecar.delta_since(seen);
    expect_that!(delta.tallies.len(), eq(1));
    expect_that!(delta.tallies[0].tally.service, eq(ServiceUnits(3)));
    expect_that!(sidecar.delta_since(delta.upto).is_empty(), eq(true));
}

/// What happens between three sidecars and two relays.
#[derive(Debug, Clone)]
enum Step {
    Charge {
        host: usize,
        account: usize,
        units: u64,
    },
    Snapshot {
        host: usize,
    },
    Deliver {
        delta: usize,
        relay: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, 0..4usize, 1..500u64).prop_map(|(host, account, units)| Step::Charge {
            host,
            account,
            units
        }),
        (0..3usize).prop_map(|host| Step::Snapshot { host }),
        (0..64usize, 0..2usize).prop_map(|(delta, relay)| Step::Deliver { delta, relay }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Deltas are repeated, crossed and lost; once each relay has the last state of each sidecar,
    /// both hold the true total of every account.
    #[test]
    fn relays_agree_on_the_true_totals(steps in proptest::collection::vec(step(), 1..200)) {
        let accounts = ["a", "b", "c", "d"].map(account);
        let mut sidecars = [counters("s0", 1), counters("s1", 1), counters("s2", 1)];
        let mut relays = [counters("r0", 1), counters("r1", 1)];
        let mut sent: Vec<ServiceDelta> = Vec::new();
        let mut truth = [0u64; 4];
        for step in steps {
            match step {
                Step::Charge { host, account, units } => {
                    sidecars[host].charge(&accounts[account], Weight::DEFAULT, ServiceUnits(units));
                    truth[account] += units;
                }
                Step::Snapshot { host } => sent.push(sidecars[host].delta_since(Cursor::default())),
                Step::Deliver { delta, relay } => {
                    if let Some(delta) = sent.get(delta) {
                        relays[relay].merge(delta);
                    }
                }
            }
        }
        for sidecar in &sidecars {
            relays[0].merge(&sidecar.delta_since(Cursor::default()));
        }
        let exchanged = relays[0].delta_since(Cursor::default());
        relays[1].merge(&exchanged);
        for relay in &relays {
            for (account, units) in accounts.iter().zip(truth) {
                prop_assert_eq!(relay.total(account).service, ServiceUnits(units));
            }
        }
    }
}
