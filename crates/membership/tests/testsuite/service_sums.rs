//! Service sums under message loss, duplication, reordering, failover of hosts and relay restarts.

use std::collections::BTreeMap;

use coltsfootnotch_membership::{RelaySums, ServiceBatch, ServiceBatches, SumsDelta, SumsFeed};
use coltsfootnotch_types::{Incarnation, ServiceUnits};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};

use crate::support::{account, host, randomised, relay};

#[derive(Debug, Clone, Copy)]
enum Step {
    Serve {
        host: usize,
        account: usize,
        units: u64,
    },
    Send {
        host: usize,
        lose: bool,
        lose_ack: bool,
    },
    Replay {
        at: usize,
    },
    FailOver {
        host: usize,
    },
    Exchange {
        from: usize,
        lose: bool,
    },
    ReplayDelta {
        at: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let flag = || prop::bool::weighted(0.2);
    let step = prop_oneof![
        6 => (0usize..3, 0usize..3, 1u64..100)
            .prop_map(|(host, account, units)| Step::Serve { host, account, units }),
        4 => (0usize..3, flag(), flag())
            .prop_map(|(host, lose, lose_ack)| Step::Send { host, lose, lose_ack }),
        1 => any::<usize>().prop_map(|at| Step::Replay { at }),
        1 => (0usize..3).prop_map(|host| Step::FailOver { host }),
        2 => (0usize..2, flag()).prop_map(|(from, lose)| Step::Exchange { from, lose }),
        1 => any::<usize>().prop_map(|at| Step::ReplayDelta { at }),
    ];
    prop::collection::vec(step, 1..120)
}

struct Host {
    batches: ServiceBatches,
    relay: usize,
}

struct Simulation {
    hosts: Vec<Host>,
    relays: Vec<RelaySums>,
    feeds: Vec<SumsFeed>,
    sent: Vec<(usize, ServiceBatch)>,
    deltas: Vec<SumsDelta>,
    expected: BTreeMap<usize, u64>,
    max_double_counted: u64,
}

impl Simulation {
    fn new() -> Self {
        let host = |n: u64| Host {
            batches: ServiceBatches::new(host(&format!("sidecar-{n}")), Incarnation(n)),
            relay: 0,
        };
        let mut feed = SumsFeed::default();
        feed.subscribe(&(0..3).map(name).collect::<Vec<_>>());
        Self {
            hosts: (0..3).map(host).collect(),
            relays: (0..2)
                .map(|n| RelaySums::new(relay(&format!("control-{n}"), 1)))
                .collect(),
            feeds: vec![feed; 2],
            sent: Vec::new(),
            deltas: Vec::new(),
            expected: BTreeMap::new(),
            max_double_counted: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Serve {
                host,
                account,
                units,
            } => {
                self.hosts[host]
                    .batches
                    .add(&name(account), ServiceUnits(units));
                *self.expected.entry(account).or_default() += units;
            }
            Step::Send {
                host,
                lose,
                lose_ack,
            } => self.send(host, lose, lose_ack),
            // A duplicate of a batch arrives late at the same relay.
            Step::Replay { at } => {
                if let Some((relay, batch)) = self.sent.get(at % self.sent.len().max(1)) {
                    self.relays[*relay].apply_batch(batch);
                }
            }
            Step::FailOver { host } => self.fail_over(host),
            Step::Exchange { from, lose } => self.exchange(from, lose),
            Step::ReplayDelta { at } => {
                if let Some(delta) = self.deltas.get(at % self.deltas.len().max(1)) {
                    self.relays.iter_mut().for_each(|r| {
                        r.merge(delta);
                    });
                }
            }
        }
    }

    fn send(&mut self, n: usize, lose: bool, lose_ack: bool) {
        let host = &mut self.hosts[n];
        let Some(batch) = host.batches.next() else {
            return;
        };
        self.sent.push((host.relay, batch.clone()));
        if !lose {
            let ack = self.relays[host.relay].apply_batch(batch);
            if !lose_ack {
                host.batches.on_ack(ack);
            }
        }
    }

    /// Connects a host to the other relay. A batch in flight may then count at both.
    fn fail_over(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.relay = 1 - host.relay;
        if let Some(batch) = host.batches.next() {
            self.max_double_counted += batch.added.iter().map(|(_, u)| u.0).sum::<u64>();
        }
    }

    fn exchange(&mut self, from: usize, lose: bool) {
        let me = relay(&format!("control-{from}"), 1);
        let known = self.relays[1 - from].known_version(&me);
        if let Some(delta) = self.relays[from].delta_since(known)
            && !lose
        {
            self.relays[1 - from].merge(&delta);
            self.deltas.push(delta);
        }
    }

    /// Delivers all pending batches and deltas.
    fn deliver_all(&mut self) {
        for n in [0, 1, 2, 0, 1, 2] {
            self.send(n, false, false);
        }
        self.exchange(0, false);
        self.exchange(1, false);
    }
}

fn name(n: usize) -> coltsfootnotch_types::AccountName {
    account(&format!("account-{n}"))
}

proptest! {
    #![proptest_config(randomised(512, 0x50a5)) ]

    /// No service is lost, and only batches in flight during a failover may count twice. Both
    /// relays end with the same sums, which never decrease.
    #[test]
    fn randomised_batches_count_once(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
            for (feed, sums) in simulation.feeds.iter_mut().zip(&simulation.relays) {
                feed.next(sums);
            }
        }
        simulation.deliver_all();
        let mut excess = 0;
        for n in 0..3 {
            let total = simulation.relays[0].total(&name(n)).0;
            prop_assert_eq!(total, simulation.relays[1].total(&name(n)).0);
            let expected = simulation.expected.get(&n).copied().unwrap_or(0);
            prop_assert!(
                total >= expected,
                "service of account {n} is lost: counted {total} of {expected}"
            );
            excess += total - expected;
        }
        prop_assert!(
            excess <= simulation.max_double_counted,
            "{excess} units counted twice, at most {} allowed",
            simulation.max_double_counted
        );
    }
}

#[gtest]
fn restarted_relay_recovers_its_earlier_sums_from_peers() {
    // A restarted relay counts from zero under a new epoch. Its peers return the sums of its
    // earlier runs, so that no total decreases.
    let bistro = account("bistro");
    let mut batches = ServiceBatches::new(host("sidecar-1"), Incarnation(1));
    let mut other = RelaySums::new(relay("control-1", 1));
    for epoch in 1..80 {
        let mut sums = RelaySums::new(relay("control-0", epoch));
        for delta in other.full_deltas(&host("control-0")) {
            sums.merge(&delta);
        }
        batches.add(&bistro, ServiceUnits(10));
        let ack = sums.apply_batch(batches.next().expect("a batch is pending"));
        batches.on_ack(ack);
        other.merge(&sums.delta_since(0).expect("the sums have changed"));
        expect_that!(other.total(&bistro), eq(ServiceUnits(10 * epoch)));
    }
}

#[gtest]
fn feed_sends_subscribed_accounts_only_when_they_change() {
    let (bistro, chain) = (account("bistro"), account("chain"));
    let mut sums = RelaySums::new(relay("control-0", 1));
    let mut batches = ServiceBatches::new(host("sidecar-1"), Incarnation(1));
    batches.add(&bistro, ServiceUnits(10));
    batches.add(&chain, ServiceUnits(90));
    sums.apply_batch(batches.next().expect("a batch is pending"));
    let mut feed = SumsFeed::default();
    feed.subscribe([&bistro]);
    expect_that!(
        feed.next(&sums),
        elements_are![eq(&(bistro.clone(), ServiceUnits(10)))]
    );
    expect_that!(feed.next(&sums), is_empty());
    feed.unsubscribe([&bistro]);
    expect_that!(feed.next(&sums), is_empty());
}
