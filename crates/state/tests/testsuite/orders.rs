//! Orders to engines after restarts, with outdated reports and a slow weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{
    Action, DesiredPlacement, FencingNumber, Grant, Order, OrderDone, OrderReply, Placement,
    ReconcileInput, ReportedPlacement, WeightLoadScheduler, WeightStoreLimit, reconcile,
};
use coltsfootnotch_types::{Incarnation, LeaseName, UpstreamName};
use googletest::prelude::*;

use crate::support::{Log, process};

const LAG: Duration = Duration::from_secs(30);
const LIMIT: WeightStoreLimit = WeightStoreLimit {
    bytes_per_sec: 1_000,
    max_concurrent_loads: 2,
};

fn upstream(n: usize) -> UpstreamName {
    UpstreamName::new(format!("engine-{n}")).expect("a valid name")
}

fn lease() -> LeaseName {
    LeaseName::new("orders").expect("a valid name")
}

fn desired_placement() -> Placement {
    Placement {
        model: Some(("menu".into(), "v2".into())),
        adapters: [("bistro".to_owned(), "v1".to_owned())].into(),
        role: Some("decode".into()),
    }
}

/// Engines with a log that records their finished orders.
struct Fleet {
    log: Log,
    desired: Vec<DesiredPlacement>,
    reported: BTreeMap<UpstreamName, ReportedPlacement>,
    scheduler: WeightLoadScheduler,
}

impl Fleet {
    fn new(engines: usize) -> Self {
        let desired = (0..engines).map(|n| DesiredPlacement {
            upstream: upstream(n),
            placement: desired_placement(),
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
            scheduler: WeightLoadScheduler::new(LIMIT, Duration::ZERO, Duration::ZERO),
        };
        (0..engines).for_each(|n| fleet.report(n, 1, Placement::default()));
        fleet
    }

    fn report(&mut self, n: usize, incarnation: u64, placement: Placement) {
        let incarnation = Incarnation(incarnation);
        let report = ReportedPlacement {
            upstream: upstream(n),
            incarnation,
            placement,
        };
        self.reported.insert(upstream(n), report);
    }

    fn reconcile(&mut self, now: u64) -> Vec<Order> {
        let input = ReconcileInput {
            desired: &self.desired,
            reported: &self.reported,
            finished: self.log.machine.finished(),
            in_flight: &BTreeSet::new(),
            report_lag: LAG,
        };
        let at = self.log.machine.now();
        reconcile(&input, &mut self.scheduler, at, Duration::from_secs(now))
    }

    fn finish(&mut self, order: &Order, number: u64) -> OrderReply {
        self.scheduler.on_finished(&order.upstream);
        let reply = self.log.apply(Op::OrderDone(OrderDone {
            lease: lease(),
            number: FencingNumber(number),
            upstream: order.upstream.clone(),
            incarnation: order.incarnation,
            action: order.action.clone(),
        }));
        match reply {
            Reply::Order(reply) => reply,
            other => panic!("unexpected reply to a finished order: {other:?}"),
        }
    }

    /// Executes orders until there are none; returns their actions.
    fn converge(&mut self, mut now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(order) = self.reconcile(now).first() {
            self.finish(order, 1);
            actions.push(order.action.clone());
            now += 5;
        }
        actions
    }
}

#[gtest]
fn an_engine_gets_model_role_and_adapters_in_that_order() {
    insta::assert_debug_snapshot!(Fleet::new(1).converge(0));
}

#[gtest]
fn a_control_host_that_restarts_does_not_repeat_finished_orders() {
    // Guards against repeated orders while the engine's report is outdated. Once the report lag has
    // passed, an adapter that is missing in the report is loaded again.
    let mut fleet = Fleet::new(1);
    fleet.converge(0);
    fleet.log.restart();
    fleet.scheduler = WeightLoadScheduler::new(LIMIT, Duration::ZERO, Duration::ZERO);
    expect_that!(fleet.reconcile(100), is_empty());
    let mut without_adapters = desired_placement();
    without_adapters.adapters.clear();
    fleet.report(0, 1, without_adapters);
    expect_that!(fleet.reconcile(100), is_empty());
    fleet.log.at = fleet.log.at.after(LAG);
    fleet.log.apply(Op::Expire);
    expect_that!(fleet.converge(100), len(eq(1)));
}

#[gtest]
fn a_restarted_engine_is_loaded_again_and_an_old_holder_is_refused() {
    // Finished orders of an earlier engine run do not count, since a restarted engine has lost its
    // weights. A holder whose lease was granted to another cannot record finished orders.
    let mut fleet = Fleet::new(1);
    fleet.converge(0);
    fleet.report(0, 2, Placement::default());
    let orders = fleet.reconcile(100);
    expect_that!(orders, len(eq(1)));
    fleet.log.at = LogTime(20_000);
    fleet.log.apply(Op::Grant(Grant {
        lease: lease(),
        holder: process("control", 2),
        ttl: Duration::from_secs(10),
    }));
    expect_that!(fleet.finish(&orders[0], 1), eq(OrderReply::StaleNumber));
}

#[gtest]
fn many_engines_load_weights_one_after_another() {
    // Six engines need loads of 5,000 bytes from a store of 1,000 bytes/s: one starts every five
    // seconds, at most two run at once, and a new process first waits for loads of its predecessor.
    let mut fleet = Fleet::new(6);
    fleet.scheduler = WeightLoadScheduler::new(LIMIT, Duration::ZERO, Duration::from_secs(5));
    let starts: Vec<_> = (0..30).map(|now| fleet.reconcile(now).len()).collect();
    let at: Vec<_> = (0..30).filter(|now| starts[*now] > 0).collect();
    expect_that!(at, elements_are![eq(&5), eq(&10)]);
    expect_that!(fleet.scheduler.running(), eq(2));
    fleet.scheduler.on_finished(&upstream(0));
    expect_that!(fleet.reconcile(30), len(eq(1)));
}
