//! Measures the time from `apply` of a new version until every engine has loaded it, for several
//! limits of the weight store. Prints the rows of `docs/measurements/late-binding.md`, section
//! "Orders".

use std::error::Error;
use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{Fleet, FleetPlan};
use coltsfootnotch_fakes::{EngineConfig, EngineHandle};
use coltsfootnotch_manifest::{Version, WeightStore};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of engines.
const ENGINES: u32 = 8;
/// Size of a version, in megabytes.
const MEGABYTES: u64 = 50;
/// Rate of the store in MB/s, and concurrent loads.
const STORES: [(u64, u32); 5] = [(100, 1), (100, 2), (100, 4), (400, 1), (400, 4)];
/// Time that an engine takes to load a version, apart from the limits of the store.
const ENGINE_LOAD: Duration = Duration::from_millis(100);

fn main() -> Result<(), Box<dyn Error>> {
    let engine = |number| EngineConfig {
        model_load: ENGINE_LOAD,
        ..EngineConfig::new(format!("spec-llm-{number}"), "spec-llm")
    };
    let plan = FleetPlan {
        engines: (1..=ENGINES).map(engine).collect(),
        services: vec![],
        ..FleetPlan::demo()
    };
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(1))?;
    wait_for_orders(&fleet, 1);
    println!("| MB/s | loads at once | s at the rate | s until all had loaded |");
    println!("|---|---|---|---|");
    let operator = fleet.operator()?;
    let mut manifest = fleet.manifest().clone();
    for (round, (megabytes_per_s, loads)) in (2..).zip(STORES) {
        manifest.number += 1;
        manifest.weight_store = WeightStore {
            megabytes_per_s,
            loads,
        };
        manifest.models[0].versions = vec![Version {
            name: format!("v{round}"),
            replicas: ENGINES,
            megabytes: MEGABYTES,
        }];
        let applied = Instant::now();
        operator.apply(&manifest, Duration::from_secs(10))?;
        wait_for_orders(&fleet, round);
        let elapsed = applied.elapsed().as_secs_f64();
        let at_rate = (u64::from(ENGINES) * MEGABYTES) as f64 / megabytes_per_s as f64;
        println!("| {megabytes_per_s} | {loads} | {at_rate:.1} | {elapsed:.1} |");
        // Gives the last loads time to return their permits.
        thread::sleep(Duration::from_secs(3));
    }
    fleet.stop();
    Ok(())
}

fn wait_for_orders(fleet: &Fleet, orders: u64) {
    let is_done = |engine: &EngineHandle| engine.stats().orders >= orders;
    while !fleet.engines().iter().all(is_done) {
        thread::sleep(Duration::from_millis(10));
    }
}
