//! Orders to engines: given once, under a fencing number, at the rate of the weight store.

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

/// Longest wait for something that should take seconds.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time in which a repeated order would have come: reports and leases have settled by then.
const QUIET: Duration = Duration::from_secs(8);

fn plan(engines: u32) -> FleetPlan {
    let engine = |number| EngineConfig::new(format!("spec-llm-{number}"), "spec-llm");
    FleetPlan {
        engines: (1..=engines).map(engine).collect(),
        services: vec![],
        entries: 1,
        ..FleetPlan::demo()
    }
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn counts(fleet: &Fleet) -> Vec<u64> {
    let of = |engine: &EngineHandle| engine.stats().orders;
    fleet.engines().iter().map(of).collect()
}

fn apply(fleet: &Fleet, manifest: &Manifest) {
    let operator = fleet.operator().unwrap();
    operator.apply(manifest, PATIENCE).unwrap();
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

fn order(engine: SocketAddr, fence: u64) -> u16 {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let body = json!({ "fence": fence, "order": "load", "name": "spec-llm:v9" });
    let sent = agent
        .post(format!("http://{engine}/v1/orders"))
        .send(body.to_string());
    sent.unwrap().status().as_u16()
}

// Operators see an adapter on as many engines as the manifest says, and each engine loads each thing
// once: at the start the version, after a change the adapter. A sidecar that restarts with no state
// finds the work done by the engine's reports, and orders nothing again. A holder with an old number,
// which has slept through the loss of its lease, is turned away by the engine.
#[gtest]
fn each_engine_gets_each_order_once() {
    let plan = plan(3);
    let mut rng = StdRng::seed_from_u64(1);
    let mut fleet = Fleet::start(&plan, &mut rng).unwrap();
    wait_until("versions loaded", || counts(&fleet) == [1, 1, 1]);

    apply(&fleet, &with_adapter(fleet.manifest(), 2, 1));
    let total = |fleet: &Fleet| counts(fleet).iter().sum::<u64>();
    wait_until("two adapters loaded", || total(&fleet) == 5);

    fleet.restart_sidecar(&plan, 0, &mut rng).unwrap();
    thread::sleep(QUIET);
    expect_that!(total(&fleet), eq(5));

    let engine = &fleet.engines()[0];
    expect_that!(order(engine.address(), 1), eq(409));
    expect_that!(engine.stats().orders_refused, eq(1));
    fleet.stop();
}

// An engine has seen a higher number than the sidecar's: another process holds the lease by now. The
// order is refused, the sidecar gives the lease up, and goes on serving requests meanwhile.
#[gtest]
fn an_old_number_is_refused_and_changes_nothing() {
    let plan = plan(1);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(2)).unwrap();
    let engine = &fleet.engines()[0];
    expect_that!(order(engine.address(), u64::MAX), eq(200));
    wait_until("an order refused", || engine.stats().orders_refused > 0);
    expect_that!(engine.stats().orders, eq(1));
    fleet.stop();
}

// One of the loads of a new version runs at a time, and the next begins when the store could have
// delivered the one before: with more at once or faster, the store would throttle all of them.
#[gtest]
fn loads_keep_the_rate_of_the_weight_store() {
    let plan = plan(3);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(3)).unwrap();
    wait_until("versions loaded", || counts(&fleet) == [1, 1, 1]);
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
    let mut seen = vec![];
    wait_until("second versions loaded", || {
        let total = counts(&fleet).iter().sum::<u64>() - 3;
        while (seen.len() as u64) < total {
            seen.push(Instant::now());
        }
        seen.len() == 3
    });
    // 100 MB at 100 MB a second; a fifth of it is left to the reading of the counters.
    let gaps = seen.windows(2).map(|pair| pair[1] - pair[0]);
    expect_that!(
        gaps.collect::<Vec<_>>(),
        each(predicate(
            |gap: &Duration| *gap >= Duration::from_millis(800)
        ))
    );
    fleet.stop();
}

// An engine that has loaded nothing of its pool would answer each request with an error, while the
// pool's other engines answer them well. What it announces decides whether it gets any.
#[gtest]
fn an_engine_without_its_pools_model_does_not_serve() {
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

/// An order as an engine saw it: its number, when it came and when it had been carried out.
type Seen = (u64, Instant, Instant);

/// An engine that ignores numbers and never says that it has loaded anything.
fn forgetful_engine() -> (SocketAddr, Arc<Mutex<Vec<Seen>>>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let seen = Arc::new(Mutex::new(vec![]));
    let seen2 = Arc::clone(&seen);
    thread::spawn(move || {
        let server = Arc::new(server);
        while let Ok(mut req) = server.recv() {
            let seen = Arc::clone(&seen2);
            thread::spawn(move || {
                let begin = Instant::now();
                let mut text = String::new();
                req.as_reader().read_to_string(&mut text).unwrap();
                let body: Value = serde_json::from_str(&text).unwrap();
                thread::sleep(Duration::from_millis(200));
                let fence = body["fence"].as_u64().unwrap();
                seen.lock().unwrap().push((fence, begin, Instant::now()));
                let _gone = req.respond(tiny_http::Response::empty(200));
            });
        }
    });
    (address, seen)
}

fn announce(sidecar: SocketAddr, engine: SocketAddr) {
    let body = json!({
        "name": "spec-llm-1", "pool": "spec-llm", "kind": "engine", "ttl_ms": 3000,
        "address": engine.to_string(), "models": ["spec-llm"],
    });
    // A sidecar that restarts hears the next announcement.
    let _sent = ureq::post(format!("http://{sidecar}/v1/announce")).send(body.to_string());
}

// Two sidecars believe that they stand beside one engine which obeys whoever speaks, as after a move
// that went half wrong. Its reports never show what it was ordered, so both order again and again.
// One at a time holds the lease: the orders of two holders never overlap, and numbers never go back.
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
    let (engine, seen) = forgetful_engine();
    let numbers = |seen: &[Seen]| {
        let mut numbers: Vec<u64> = seen.iter().map(|order| order.0).collect();
        numbers.dedup();
        numbers.len()
    };
    wait_until("four holders, one after the other", || {
        sidecars.iter().for_each(|host| announce(*host, engine));
        thread::sleep(Duration::from_millis(300));
        numbers(&seen.lock().unwrap()) >= 4
    });
    for pair in seen.lock().unwrap().windows(2) {
        expect_that!(pair[1].0, ge(pair[0].0));
        expect_that!(pair[1].1, ge(pair[0].2));
    }
    fleet.stop();
}
