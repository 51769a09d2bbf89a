//! Fleets of a given size.

use std::time::Duration;

use coltsfootnotch::ops::fleet::{AccountPlan, Fleet, FleetError, FleetPlan};
use coltsfootnotch_fakes::EngineConfig;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Seed of a fleet's random numbers.
const SEED: u64 = 7;
/// Queue limit of an account at one entry; never reached.
const QUEUE_LIMIT: u32 = 100_000;
/// Control hosts of each fleet.
pub(crate) const CONTROL: usize = 3;

/// Size of a fleet.
pub(crate) struct Size {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    pub(crate) token: Duration,
    pub(crate) accounts: usize,
}

/// Name of account `number`, of a typical length.
pub(crate) fn account_name(number: usize) -> String {
    format!("floor-contractor-{number:05}")
}

/// Starts a fleet with three control hosts and one sidecar for each engine.
pub(crate) fn start(size: &Size) -> Result<Fleet, FleetError> {
    let engine = |number: usize| EngineConfig {
        slots: size.slots,
        time_per_token: size.token,
        ..EngineConfig::new(format!("spec-llm-{number}"), "spec-llm")
    };
    let account_plan = |number| AccountPlan {
        name: account_name(number),
        weight: 1,
        queue: QUEUE_LIMIT,
        requests_per_s: None,
    };
    let plan = FleetPlan {
        control: CONTROL,
        entries: size.entries,
        engines: (0..size.engines).map(engine).collect(),
        services: vec![],
        accounts: (0..size.accounts).map(account_plan).collect(),
        ..FleetPlan::demo()
    };
    Fleet::start(&plan, &mut StdRng::seed_from_u64(SEED))
}
