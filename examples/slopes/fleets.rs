//! Fleets of a given size.

use std::time::Duration;

use coltsfootnotch::ops::fleet::{AccountPlan, Fleet, FleetError, FleetPlan};
use coltsfootnotch_fakes::EngineConfig;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Seed of what a fleet draws at random.
const SEED: u64 = 7;
/// Requests of an account that may wait at one entry; no part of what is measured.
const QUEUE: u32 = 100_000;
/// Control hosts of every fleet here.
pub(crate) const CONTROL: usize = 3;

/// What differs between the fleets.
pub(crate) struct Size {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    pub(crate) token: Duration,
    pub(crate) accounts: usize,
}

/// The name of account `number`, as long as real ones are.
pub(crate) fn account(number: usize) -> String {
    format!("floor-contractor-{number:05}")
}

/// Starts a fleet with three control hosts and one sidecar for each engine.
pub(crate) fn start(size: &Size) -> Result<Fleet, FleetError> {
    let engine = |number: usize| EngineConfig {
        slots: size.slots,
        time_per_token: size.token,
        ..EngineConfig::new(format!("spec-llm-{number}"), "spec-llm")
    };
    let account = |number| AccountPlan {
        name: account(number),
        weight: 1,
        queue: QUEUE,
        requests_per_s: None,
    };
    let plan = FleetPlan {
        control: CONTROL,
        entries: size.entries,
        engines: (0..size.engines).map(engine).collect(),
        services: vec![],
        accounts: (0..size.accounts).map(account).collect(),
        ..FleetPlan::demo()
    };
    Fleet::start(&plan, &mut StdRng::seed_from_u64(SEED))
}
