//! The fleet in this process that `load --embedded` drives.

use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, OrderConfig};
use coltsfootnotch_manifest::{Account, Manifest, Service, Targets, TokenWeights};
use coltsfootnotch_types::Weight;

use super::policy::Policy;
use super::scenario::Scenario;
use super::target::{LoadAccount, Target};
use crate::ops::fleet::{AccountPlan, Fleet, FleetPlan, demo_key};

/// Control hosts of an embedded fleet: the fewest that outlive the loss of one.
const CONTROL: usize = 3;
/// Entries of a fleet sized by a manifest: one in each failure domain of the examples.
const MANIFEST_ENTRIES: usize = 3;
/// Accounts of a fleet without a manifest: the sizes of today, 16 with a few large ones.
const ACCOUNTS: usize = 16;
const LARGE_ACCOUNTS: usize = 3;
const LARGE_WEIGHT: u32 = 4;
/// Requests of one account that wait at one entry; no scenario reaches it.
const QUEUE: u32 = 2_000;
/// Faults of the order service in the booking scenario: often enough for dozens in ten seconds.
const LOSE_ANSWER: f64 = 0.05;
const FAIL_BEFORE: f64 = 0.03;
const FAIL_AFTER: f64 = 0.03;
/// Pace of the engines: a token in 5 ms lets one machine play a hundred slots.
const FIRST_TOKEN: Duration = Duration::from_millis(10);
const TOKEN: Duration = Duration::from_millis(5);
/// Targets that fit the pace: with those of a real engine, a hundred times slower, sidecars would
/// let requests wait inside the stand-ins for a second before they call an engine full.
const TARGETS: Targets = Targets {
    first_token_ms: 60,
    between_tokens_ms: 10,
};
/// Longest lag of a sidecar's knowledge of service elsewhere: a report and its relaying.
const KNOWLEDGE_AGE: Duration = Duration::from_millis(500);

/// Weights of a manifest without a model, of which nothing can be asked.
const NO_MODEL_WEIGHTS: TokenWeights = TokenWeights {
    input: 1,
    output: 1,
};

/// The size of an embedded fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Hosts in all; what is left after control, entries and services runs engines.
    pub hosts: usize,
    /// Slots of each engine.
    pub slots: u32,
}

/// The plan of a fleet for `scenario`; accounts and replicas come from `manifest` when there is one.
#[must_use]
pub fn fleet_plan(
    scenario: Scenario,
    policy: Policy,
    size: Size,
    manifest: Option<&Manifest>,
) -> FleetPlan {
    let mut plan = FleetPlan::demo();
    let template = (plan.engines[0].clone(), plan.services[0].clone());
    let (engines, services) = match manifest {
        Some(manifest) => replicas(manifest),
        None => shares(scenario, size.hosts),
    };
    plan.control = CONTROL;
    plan.entries = match manifest {
        Some(_) => MANIFEST_ENTRIES,
        None => entries(size.hosts),
    };
    plan.engines = (1..=engines)
        .map(|number| engine(&template.0, number, size.slots))
        .collect();
    plan.services = (1..=services)
        .map(|number| service(&template.1, number, scenario))
        .collect();
    plan.accounts = match manifest {
        Some(manifest) => manifest.accounts.iter().map(planned).collect(),
        None => (1..=ACCOUNTS).map(built_in).collect(),
    };
    plan.policy = policy.into();
    plan.targets = TARGETS;
    plan
}

/// Entry hosts are thin and few.
fn entries(hosts: usize) -> usize {
    if hosts < 16 { 2 } else { 3 }
}

/// Engines and services of a fleet of so many hosts, at least one of each.
fn shares(scenario: Scenario, hosts: usize) -> (usize, usize) {
    let services = if scenario == Scenario::Bookings { 3 } else { 1 };
    let rest = hosts.saturating_sub(CONTROL + entries(hosts) + services);
    (rest.max(1), services)
}

/// Engines and services that a manifest asks for.
fn replicas(manifest: &Manifest) -> (usize, usize) {
    let versions = manifest.models.iter().flat_map(|model| &model.versions);
    let engines: u32 = versions.map(|version| version.replicas).sum();
    let services: u32 = manifest
        .services
        .iter()
        .map(|service| service.replicas)
        .sum();
    (engines.max(1) as usize, services.max(1) as usize)
}

fn engine(template: &EngineConfig, number: usize, slots: u32) -> EngineConfig {
    EngineConfig {
        name: format!("{}-{number}", template.pool),
        slots,
        first_token: FIRST_TOKEN,
        token: TOKEN,
        seed: number as u64,
        ..template.clone()
    }
}

fn service(template: &OrderConfig, number: usize, scenario: Scenario) -> OrderConfig {
    let faulty = scenario == Scenario::Bookings;
    let often = |probability| if faulty { probability } else { 0.0 };
    OrderConfig {
        name: format!("{}-{number}", template.pool),
        lose_answer: often(LOSE_ANSWER),
        fail_before: often(FAIL_BEFORE),
        fail_after: often(FAIL_AFTER),
        seed: number as u64,
        // A clone shares the store, as replicas share a database.
        ..template.clone()
    }
}

fn planned(account: &Account) -> AccountPlan {
    AccountPlan {
        name: account.name.to_string(),
        weight: account.weight.get(),
        queue: u32::try_from(account.limits.queue).unwrap_or(u32::MAX),
        requests_per_s: None,
    }
}

fn built_in(number: usize) -> AccountPlan {
    let large = number <= LARGE_ACCOUNTS;
    let kind = if large { "large" } else { "small" };
    AccountPlan {
        name: format!("{kind}-{number:02}"),
        weight: if large { LARGE_WEIGHT } else { 1 },
        queue: QUEUE,
        requests_per_s: None,
    }
}

/// A running embedded fleet as the target of a run.
#[must_use]
pub fn embedded_target(fleet: &Fleet, policy: Policy) -> Target<'_> {
    Target {
        entries: fleet.http_addresses(),
        engines: fleet.engines(),
        services: fleet.services(),
        policy: policy.to_string(),
        hosts: fleet.hosts(),
        control_bytes: Box::new(|| fleet.control_bytes()),
        ..remote_target(fleet.manifest(), demo_key)
    }
}

/// What a manifest says about a fleet that runs elsewhere; `key` gives the key of an account.
#[must_use]
pub fn remote_target(manifest: &Manifest, key: impl Fn(&str) -> String) -> Target<'static> {
    let accounts = manifest.accounts.iter().map(|account| LoadAccount {
        name: account.name.clone(),
        key: key(account.name.as_str()),
        weight: account.weight,
        large: account.weight > Weight::DEFAULT,
    });
    let model = manifest.models.first();
    let weights = model.map_or(NO_MODEL_WEIGHTS, |model| model.token_weights);
    let prefix = |service: &Service| service.prefix.as_str().to_owned();
    Target {
        entries: Vec::new(),
        accounts: accounts.collect(),
        model: model.map_or(String::new(), |model| model.name.to_string()),
        token_weights: weights,
        booking_prefix: manifest.services.first().map(prefix),
        engines: &[],
        services: &[],
        slots_elsewhere: 0,
        policy: "of the fleet".to_owned(),
        hosts: 1,
        knowledge_age: KNOWLEDGE_AGE,
        control_bytes: Box::new(|| 0),
    }
}
