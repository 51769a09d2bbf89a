//! Service sums under loss, copies, reordering, moves of hosts and restarts of relays.

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
    Move {
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
        1 => (0usize..3).prop_map(|host| Step::Move { host }),
        2 => (0usize..2, flag()).prop_map(|(from, lose)| Step::Exchange { from, lose }),
        1 => any::<usize>().prop_map(|at| Step::ReplayDelta { at }),
    ];
    prop::collection::vec(step, 1..120)
}

struct Host {
    batches: ServiceBatches,
    relay: usize,
}

struct World {
    hosts: Vec<Host>,
    relays: Vec<RelaySums>,
    feeds: Vec<SumsFeed>,
    sent: Vec<(usize, ServiceBatch)>,
    deltas: Vec<SumsDelta>,
    truth: BTreeMap<usize, u64>,
    doubled: u64,
}

impl World {
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
            truth: BTreeMap::new(),
            doubled: 0,
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
                *self.truth.entry(account).or_default() += units;
            }
            Step::Send {
                host,
                lose,
                lose_ack,
            } => self.send(host, lose, lose_ack),
            // A copy of a batch arrives late, at the relay that it was sent to.
            Step::Replay { at } => {
                if let Some((relay, batch)) = self.sent.get(at % self.sent.len().max(1)) {
                    self.relays[*relay].apply_batch(batch);
                }
            }
            Step::Move { host } => self.turn(host),
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

    /// A host turns to the other relay: the batch on its way, if any, may count at both.
    fn turn(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.relay = 1 - host.relay;
        if let Some(batch) = host.batches.next() {
            self.doubled += batch.added.iter().map(|(_, u)| u.0).sum::<u64>();
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

    /// Lets everything arrive.
    fn settle(&mut self) {
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

    /// No service is lost, and none counts twice but that of a batch that was on its way when its
    /// host turned to another relay. Both relays end with the same sums, which never go down.
    #[test]
    fn randomised_batches_count_once(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            for (feed, sums) in world.feeds.iter_mut().zip(&world.relays) {
                feed.next(sums);
            }
        }
        world.settle();
        let mut more = 0;
        for n in 0..3 {
            let total = world.relays[0].total(&name(n)).0;
            prop_assert_eq!(total, world.relays[1].total(&name(n)).0);
            let truth = world.truth.get(&n).copied().unwrap_or(0);
            prop_assert!(total >= truth, "service of account {n} is lost: {total} of {truth}");
            more += total - truth;
        }
        prop_assert!(more <= world.doubled, "{more} counted twice, {} may be", world.doubled);
    }
}

#[gtest]
fn a_restarted_relay_keeps_counting_and_gets_its_earlier_sums_back() {
    // A relay restarts without state and counts from zero under a new epoch. The others keep what it
    // had passed on before and tell it, so that no account looks as if it had had no service.
    let bistro = account("bistro");
    let mut batches = ServiceBatches::new(host("sidecar-1"), Incarnation(1));
    let mut other = RelaySums::new(relay("control-1", 1));
    for epoch in 1..80 {
        let mut sums = RelaySums::new(relay("control-0", epoch));
        for delta in other.full_deltas(&host("control-0")) {
            sums.merge(&delta);
        }
        batches.add(&bistro, ServiceUnits(10));
        let ack = sums.apply_batch(batches.next().expect("a batch"));
        batches.on_ack(ack);
        other.merge(&sums.delta_since(0).expect("a change"));
        expect_that!(other.total(&bistro), eq(ServiceUnits(10 * epoch)));
    }
}

#[gtest]
fn only_accounts_that_were_asked_for_are_sent_and_only_when_they_change() {
    let (bistro, chain) = (account("bistro"), account("chain"));
    let mut sums = RelaySums::new(relay("control-0", 1));
    let mut batches = ServiceBatches::new(host("sidecar-1"), Incarnation(1));
    batches.add(&bistro, ServiceUnits(10));
    batches.add(&chain, ServiceUnits(90));
    sums.apply_batch(batches.next().expect("a batch"));
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
