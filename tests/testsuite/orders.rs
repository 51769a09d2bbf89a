//! Orders to engines: sent once, with a fencing number, at the rate of the weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch::daemon::sidecar::orders;
use coltsfootnotch::ops::fleet::{Fleet, FleetPlan};
use coltsfootnotch_fakes::{EngineConfig, EngineHandle};
use coltsfootnotch_manifest::{Adapter, Manifest, Version, WeightStore};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

/// Maximum time for a condition that takes seconds.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which an order would be repeated; includes reports and lease expiry.
const SETTLE_TIME: Duration = Duration::from_secs(8);

fn plan(engines: u32) -> FleetPlan {
    let engine = |number| EngineConfig::new(format!("spec-llm-{number}"), "spec-llm");
    FleetPlan {
        engines: (1..=engines).map(engine).collect(),
        services: vec![],
        entries: 1,
        ..FleetPlan::demo()
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn order_counts(fleet: &Fleet) -> Vec<u64> {
    let orders = |engine: &EngineHandle| engine.stats().orders;
    fleet.engines().iter().map(orders).collect()
}

fn apply(fleet: &Fleet, manifest: &Manifest) {
    let operator = fleet.operator().unwrap();
    operator.apply(manifest, TIMEOUT).unwrap();
}

fn with_adapter(manifest: &Manifest, replicas: u32, megabytes: u64) -> Manifest {
    let mut manifest = manifest.clone();
    manifest.number += 1;
    let version = manifest.models[0].versions[0].name.clone();
    manifest.models[0].adapters.push(Adapter {
        name: "screed-notes".into(),
        version,
        replicas,
        megabytes,
    });
    manifest
}

fn send_order(engine: SocketAddr, fence: u64) -> u16 {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let body = json!({ "fence": fence, "order": "load", "name": "spec-llm:v9" });
    let response = agent
        .post(format!("http://{engine}/v1/orders"))
        .send(body.to_string());
    response.unwrap().status().as_u16()
}

// Each engine receives each order exactly once: to load the version, and on two the adapter. A
// sidecar that restarts without state repeats none, and an engine refuses a holder with a stale
// fencing number, whose lease expired while it was paused.
#[gtest]
fn each_engine_gets_each_order_once() {
    let plan = plan(3);
    let mut rng = StdRng::seed_from_u64(1);
    let mut fleet = Fleet::start(&plan, &mut rng).unwrap();
    wait_until("versions loaded", || order_counts(&fleet) == [1, 1, 1]);

    apply(&fleet, &with_adapter(fleet.manifest(), 2, 1));
    let total = |fleet: &Fleet| order_counts(fleet).iter().sum::<u64>();
    wait_until("two adapters loaded", || total(&fleet) == 5);

    fleet.restart_sidecar(&plan, 0, &mut rng).unwrap();
    thread::sleep(SETTLE_TIME);
    expect_that!(total(&fleet), eq(5));

    let engine = &fleet.engines()[0];
    expect_that!(send_order(engine.address(), 1), eq(409));
    expect_that!(engine.stats().orders_refused, eq(1));
    fleet.stop();
}

// An engine that has seen a higher fencing number refuses the orders of a sidecar that has lost its
// lease.
#[gtest]
fn a_stale_fencing_number_is_refused_without_effect() {
    let plan = plan(1);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(2)).unwrap();
    let engine = &fleet.engines()[0];
    expect_that!(send_order(engine.address(), u64::MAX), eq(200));
    wait_until("an order refused", || engine.stats().orders_refused > 0);
    expect_that!(engine.stats().orders, eq(1));
    fleet.stop();
}

// With a limit of one load, a load starts only once the store can have delivered the previous one.
// More or faster loads make the store throttle all of them.
#[gtest]
fn loads_respect_the_rate_of_the_weight_store() {
    let plan = plan(3);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(3)).unwrap();
    wait_until("versions loaded", || order_counts(&fleet) == [1, 1, 1]);
    let mut manifest = fleet.manifest().clone();
    manifest.number += 1;
    manifest.weight_store = WeightStore {
        megabytes_per_s: 100,
        loads: 1,
    };
    manifest.models[0].versions = vec![Version {
        name: "v2".into(),
        replicas: 3,
        megabytes: 100,
    }];
    apply(&fleet, &manifest);
    let mut loaded_at = vec![];
    wait_until("second versions loaded", || {
        let total = order_counts(&fleet).iter().sum::<u64>() - 3;
        while (loaded_at.len() as u64) < total {
            loaded_at.push(Instant::now());
        }
        loaded_at.len() == 3
    });
    // 100 MB at 100 MB/s take 1 s; 200 ms allow for the polling of the counters.
    let gaps = loaded_at.windows(2).map(|pair| pair[1] - pair[0]);
    expect_that!(
        gaps.collect::<Vec<_>>(),
        each(predicate(
            |gap: &Duration| *gap >= Duration::from_millis(800)
        ))
    );
    fleet.stop();
}

// An engine that has not loaded the model of its pool fails every request, so it must receive none.
#[gtest]
fn an_engine_without_the_model_of_its_pool_does_not_serve() {
    let manifest = plan(1).manifest().unwrap();
    let serves = |listed: &[&str]| {
        let listed: Vec<String> = listed.iter().map(ToString::to_string).collect();
        orders::can_serve_pool(&manifest.models[0], &listed)
    };
    expect_true!(serves(&[]));
    expect_true!(serves(&["embeddings", "spec-llm"]));
    expect_true!(serves(&["spec-llm:v0"]));
    expect_false!(serves(&["embeddings"]));
    expect_false!(serves(&["spec-llm:v1:screed-notes"]));
    expect_false!(serves(&["spec-llm-2:v1"]));
}

/// An order as received by an engine: fencing number, start and end of its execution.
type ReceivedOrder = (u64, Instant, Instant);

/// Starts an engine that ignores fencing numbers and never reports a load.
fn start_unfenced_engine() -> (SocketAddr, Arc<Mutex<Vec<ReceivedOrder>>>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let received = Arc::new(Mutex::new(vec![]));
    let received_by_server = Arc::clone(&received);
    thread::spawn(move || {
        let server = Arc::new(server);
        while let Ok(mut req) = server.recv() {
            let received = Arc::clone(&received_by_server);
            thread::spawn(move || {
                let start = Instant::now();
                let mut text = String::new();
                req.as_reader().read_to_string(&mut text).unwrap();
                let body: Value = serde_json::from_str(&text).unwrap();
                thread::sleep(Duration::from_millis(200));
                let fence = body["fence"].as_u64().unwrap();
                received
                    .lock()
                    .unwrap()
                    .push((fence, start, Instant::now()));
                let _result = req.respond(tiny_http::Response::empty(200));
            });
        }
    });
    (address, received)
}

fn announce(sidecar: SocketAddr, engine: SocketAddr) {
    let body = json!({
        "name": "spec-llm-1", "pool": "spec-llm", "kind": "engine", "ttl_ms": 3000,
        "address": engine.to_string(), "models": ["spec-llm"],
    });
    // Announcements repeat, so a failed one is ignored.
    let _result = ureq::post(format!("http://{sidecar}/v1/announce")).send(body.to_string());
}

// Two sidecars keep sending orders to the same engine, which ignores fencing numbers and never
// reports a load. The lease alone must prevent overlapping orders of two holders, and fencing
// numbers that decrease.
#[gtest]
fn an_engine_that_ignores_numbers_never_has_two_holders() {
    let plan = plan(0);
    let mut rng = StdRng::seed_from_u64(4);
    let mut fleet = Fleet::start(&plan, &mut rng).unwrap();
    let mut manifest = fleet.manifest().clone();
    manifest.number += 1;
    manifest.models[0].versions[0].replicas = 2;
    apply(&fleet, &manifest);
    let sidecars: Vec<SocketAddr> = (0..2)
        .map(|_| fleet.add_sidecar(&plan, &mut rng).unwrap())
        .collect();
    let (engine, received) = start_unfenced_engine();
    let holders = |received: &[ReceivedOrder]| {
        let mut numbers: Vec<u64> = received.iter().map(|order| order.0).collect();
        numbers.dedup();
        numbers.len()
    };
    wait_until("four holders, one after the other", || {
        sidecars.iter().for_each(|host| announce(*host, engine));
        thread::sleep(Duration::from_millis(300));
        holders(&received.lock().unwrap()) >= 4
    });
    for pair in received.lock().unwrap().windows(2) {
        expect_that!(pair[1].0, ge(pair[0].0));
        expect_that!(pair[1].1, ge(pair[0].2));
    }
    fleet.stop();
}
