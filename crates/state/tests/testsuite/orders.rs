//! Orders to engines after restarts, with late reports and a slow weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{
    Action, Desired, FencingNumber, Grant, Order, OrderDone, OrderReply, Placement, Reconcile,
    Reported, StoreLimit, WeightStore, reconcile,
};
use coltsfootnotch_types::{Incarnation, LeaseName, UpstreamName};
use googletest::prelude::*;

use crate::support::{Log, process};

const LAG: Duration = Duration::from_secs(30);
const LIMIT: StoreLimit = StoreLimit {
    bytes_per_sec: 1_000,
    loads_at_once: 2,
};

fn upstream(n: usize) -> UpstreamName {
    UpstreamName::new(format!("engine-{n}")).expect("a valid name")
}

fn lease() -> LeaseName {
    LeaseName::new("orders").expect("a valid name")
}

fn wanted() -> Placement {
    Placement {
        model: Some(("menu".into(), "v2".into())),
        adapters: [("bistro".to_owned(), "v1".to_owned())].into(),
        role: Some("decode".into()),
    }
}

/// Engines with a log that records what they have carried out.
struct Fleet {
    log: Log,
    desired: Vec<Desired>,
    reported: BTreeMap<UpstreamName, Reported>,
    store: WeightStore,
}

impl Fleet {
    fn new(engines: usize) -> Self {
        let desired = (0..engines).map(|n| Desired {
            upstream: upstream(n),
            placement: wanted(),
            weight_bytes: [("menu".to_owned(), 5_000), ("bistro".to_owned(), 1_000)].into(),
        });
        let mut log = Log::default();
        log.apply(Op::Grant(Grant {
            lease: lease(),
            holder: process("control", 1),
            ttl: Duration::from_secs(10),
        }));
        let mut fleet = Self {
            log,
            desired: desired.collect(),
            reported: BTreeMap::new(),
            store: WeightStore::new(LIMIT, Duration::ZERO, Duration::ZERO),
        };
        (0..engines).for_each(|n| fleet.report(n, 1, Placement::default()));
        fleet
    }

    fn report(&mut self, n: usize, incarnation: u64, placement: Placement) {
        let incarnation = Incarnation(incarnation);
        let report = Reported {
            upstream: upstream(n),
            incarnation,
            placement,
        };
        self.reported.insert(upstream(n), report);
    }

    fn next(&mut self, now: u64) -> Vec<Order> {
        let cx = Reconcile {
            desired: &self.desired,
            reported: &self.reported,
            finished: self.log.machine.finished(),
            in_flight: &BTreeSet::new(),
            report_lag: LAG,
        };
        let at = self.log.machine.now();
        reconcile(&cx, &mut self.store, at, Duration::from_secs(now))
    }

    fn done(&mut self, order: &Order, number: u64) -> OrderReply {
        self.store.end(&order.upstream);
        let reply = self.log.apply(Op::OrderDone(OrderDone {
            lease: lease(),
            number: FencingNumber(number),
            upstream: order.upstream.clone(),
            incarnation: order.incarnation,
            action: order.action.clone(),
        }));
        match reply {
            Reply::Order(reply) => reply,
            other => panic!("an order is answered by {other:?}"),
        }
    }

    /// Carries out whatever is ordered until nothing is.
    fn settle(&mut self, mut now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(order) = self.next(now).first() {
            self.done(order, 1);
            actions.push(order.action.clone());
            now += 5;
        }
        actions
    }
}

#[gtest]
fn an_engine_gets_model_role_and_adapters_in_that_order() {
    insta::assert_debug_snapshot!(Fleet::new(1).settle(0));
}

#[gtest]
fn a_control_host_that_restarts_does_not_repeat_finished_orders() {
    // An engine has carried everything out, but its report still shows it empty when the control
    // host restarts from its snapshot. The new process orders nothing. Only when the reports can lag
    // no longer is an adapter that is missing there loaded again.
    let mut fleet = Fleet::new(1);
    fleet.settle(0);
    fleet.log.restart();
    fleet.store = WeightStore::new(LIMIT, Duration::ZERO, Duration::ZERO);
    expect_that!(fleet.next(100), is_empty());
    let mut lost = wanted();
    lost.adapters.clear();
    fleet.report(0, 1, lost);
    expect_that!(fleet.next(100), is_empty());
    fleet.log.at = fleet.log.at.after(LAG);
    fleet.log.apply(Op::Expire);
    expect_that!(fleet.settle(100), len(eq(1)));
}

#[gtest]
fn a_restarted_engine_is_loaded_again_and_an_old_holder_is_not_believed() {
    // A restarted engine has lost its weights: what its earlier run had finished says nothing about
    // it. A holder whose lease went to another can no longer record that it finished an order.
    let mut fleet = Fleet::new(1);
    fleet.settle(0);
    fleet.report(0, 2, Placement::default());
    let orders = fleet.next(100);
    expect_that!(orders, len(eq(1)));
    fleet.log.at = LogTime(20_000);
    fleet.log.apply(Op::Grant(Grant {
        lease: lease(),
        holder: process("control", 2),
        ttl: Duration::from_secs(10),
    }));
    expect_that!(fleet.done(&orders[0], 1), eq(OrderReply::OldNumber));
}

#[gtest]
fn many_engines_that_want_weights_get_them_one_after_another() {
    // A new version is wanted on six engines at once, and the store gives 1,000 bytes a second: a
    // load of 5,000 bytes starts every five seconds, and no more than two run at a time. A process
    // that has just taken over waits for what its predecessor may have started.
    let mut fleet = Fleet::new(6);
    fleet.store = WeightStore::new(LIMIT, Duration::ZERO, Duration::from_secs(5));
    let starts: Vec<_> = (0..30).map(|now| fleet.next(now).len()).collect();
    let at: Vec<_> = (0..30).filter(|now| starts[*now] > 0).collect();
    expect_that!(at, elements_are![eq(&5), eq(&10)]);
    expect_that!(fleet.store.running(), eq(2));
    fleet.store.end(&upstream(0));
    expect_that!(fleet.next(30), len(eq(1)));
}
