//! Plan and target of the fleet that `load --embedded` runs in this process.

use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, OrderConfig};
use coltsfootnotch_manifest::{Account, Manifest, Service, Targets, TokenWeights};
use coltsfootnotch_types::Weight;

use super::policy::Policy;
use super::scenario::Scenario;
use super::target::{LoadAccount, Target};
use crate::ops::fleet::{AccountPlan, Fleet, FleetPlan, demo_key};

/// Control hosts of an embedded fleet; three tolerate the loss of one.
const CONTROL_HOSTS: usize = 3;
/// Entries of a fleet sized by a manifest.
const ENTRIES_WITH_MANIFEST: usize = 3;
/// Accounts of a fleet without a manifest, and how many of them are large.
const ACCOUNTS: usize = 16;
const LARGE_ACCOUNTS: usize = 3;
const LARGE_WEIGHT: u32 = 4;
/// Queue limit of one account at one entry; higher than any scenario reaches.
const QUEUE_LIMIT: u32 = 2_000;
/// Fault probabilities of the order service in the booking scenario.
const LOST_ANSWER_PROBABILITY: f64 = 0.05;
const FAIL_BEFORE_PROBABILITY: f64 = 0.03;
const FAIL_AFTER_PROBABILITY: f64 = 0.03;
/// Latencies of the engines: 5 ms per token lets one machine simulate a hundred slots.
const FIRST_TOKEN_LATENCY: Duration = Duration::from_millis(10);
const TOKEN_LATENCY: Duration = Duration::from_millis(5);
/// Latency targets that match the stand-in engines. The targets of a real engine are much higher
/// and make sidecars queue requests inside the stand-ins for up to a second.
const TARGETS: Targets = Targets {
    first_token_ms: 60,
    between_tokens_ms: 10,
};
/// Maximum age of a sidecar's record of service on other hosts: one report interval and its
/// relaying.
const MAX_STALENESS: Duration = Duration::from_millis(500);

/// Token weights for a manifest without a model; no chat request is counted with them.
const NO_MODEL_WEIGHTS: TokenWeights = TokenWeights {
    input: 1,
    output: 1,
};

/// Size of an embedded fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Total number of hosts; those left after control hosts, entries and services run engines.
    pub hosts: usize,
    /// Slots of each engine.
    pub slots: u32,
}

/// Plans a fleet for `scenario`; accounts and replicas come from `manifest` if there is one.
#[must_use]
pub fn fleet_plan(
    scenario: Scenario,
    policy: Policy,
    size: FleetSize,
    manifest: Option<&Manifest>,
) -> FleetPlan {
    let mut plan = FleetPlan::demo();
    let template = (plan.engines[0].clone(), plan.services[0].clone());
    let (engines, services) = match manifest {
        Some(manifest) => manifest_counts(manifest),
        None => default_counts(scenario, size.hosts),
    };
    plan.control = CONTROL_HOSTS;
    plan.entries = match manifest {
        Some(_) => ENTRIES_WITH_MANIFEST,
        None => entry_count(size.hosts),
    };
    plan.engines = (1..=engines)
        .map(|number| engine(&template.0, number, size.slots))
        .collect();
    plan.services = (1..=services)
        .map(|number| service(&template.1, number, scenario))
        .collect();
    plan.accounts = match manifest {
        Some(manifest) => manifest.accounts.iter().map(account_plan).collect(),
        None => (1..=ACCOUNTS).map(default_account).collect(),
    };
    plan.policy = policy.into();
    plan.targets = TARGETS;
    plan
}

/// Number of entries in a fleet of `hosts`.
fn entry_count(hosts: usize) -> usize {
    if hosts < 16 { 2 } else { 3 }
}

/// Numbers of engines and services in a fleet of `hosts`, at least one of each.
fn default_counts(scenario: Scenario, hosts: usize) -> (usize, usize) {
    let services = if scenario == Scenario::Bookings { 3 } else { 1 };
    let remaining = hosts.saturating_sub(CONTROL_HOSTS + entry_count(hosts) + services);
    (remaining.max(1), services)
}

/// Numbers of engines and services in a manifest, at least one of each.
fn manifest_counts(manifest: &Manifest) -> (usize, usize) {
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
        first_token: FIRST_TOKEN_LATENCY,
        time_per_token: TOKEN_LATENCY,
        seed: number as u64,
        ..template.clone()
    }
}

fn service(template: &OrderConfig, number: usize, scenario: Scenario) -> OrderConfig {
    let faulty = scenario == Scenario::Bookings;
    let probability_if_faulty = |probability| if faulty { probability } else { 0.0 };
    OrderConfig {
        name: format!("{}-{number}", template.pool),
        lose_answer: probability_if_faulty(LOST_ANSWER_PROBABILITY),
        fail_before: probability_if_faulty(FAIL_BEFORE_PROBABILITY),
        fail_after: probability_if_faulty(FAIL_AFTER_PROBABILITY),
        seed: number as u64,
        // Clones share the store, as replicas of a service share a database.
        ..template.clone()
    }
}

fn account_plan(account: &Account) -> AccountPlan {
    AccountPlan {
        name: account.name.to_string(),
        weight: account.weight.get(),
        queue: u32::try_from(account.limits.queue).unwrap_or(u32::MAX),
        requests_per_s: None,
    }
}

fn default_account(number: usize) -> AccountPlan {
    let large = number <= LARGE_ACCOUNTS;
    let kind = if large { "large" } else { "small" };
    AccountPlan {
        name: format!("{kind}-{number:02}"),
        weight: if large { LARGE_WEIGHT } else { 1 },
        queue: QUEUE_LIMIT,
        requests_per_s: None,
    }
}

/// Target for a running embedded fleet.
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

/// Target for a remote fleet, from its manifest; `key` returns the bearer key of an account. The
/// caller sets the entries' addresses.
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
        remote_slots: 0,
        policy: "of the fleet".to_owned(),
        hosts: 1,
        staleness: MAX_STALENESS,
        control_bytes: Box::new(|| 0),
    }
}
