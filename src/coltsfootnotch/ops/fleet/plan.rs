//! The plan of a fleet in one process.

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_fakes::{EngineConfig, OrderConfig};
use coltsfootnotch_manifest::{Findings, KeyHash, Manifest, Targets};
use coltsfootnotch_membership::REMOTE_CONTACTS;
use coltsfootnotch_types::prelude::*;
use serde_json::{Value, json};

/// Model that the fake engines serve.
pub(super) const MODEL: &str = "spec-llm";
/// Name of the service of the fake order services.
pub(super) const SERVICE: &str = "member-desk";

/// A client account of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountPlan {
    /// Its name.
    pub name: String,
    /// Its weight in fair queueing.
    pub weight: u32,
    /// Maximum number of its queued requests at one entry.
    pub queue: u32,
    /// Maximum number of requests per second at one entry; `None` for no limit.
    pub requests_per_s: Option<u32>,
}

/// Hosts, upstreams and accounts of a fleet. Hosts are assigned to failure domains round robin.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Number of control hosts.
    pub control: usize,
    /// Number of entry hosts.
    pub entries: usize,
    /// Fake engines, each with its own sidecar.
    pub engines: Vec<EngineConfig>,
    /// Fake order services, each with its own sidecar.
    pub services: Vec<OrderConfig>,
    /// Client accounts.
    pub accounts: Vec<AccountPlan>,
    /// Policy by which sidecars choose the account whose work they pull.
    pub policy: ChoicePolicy,
    /// Latency targets of the model, from which sidecars derive the capacity of engines.
    pub targets: Targets,
}

/// The bearer key of an account of a fleet in one process.
///
/// ```
/// use coltsfootnotch::ops::fleet::demo_key;
/// assert_eq!(demo_key("floorline"), "demo-key-floorline");
/// ```
#[must_use]
pub fn demo_key(account: &str) -> String {
    format!("demo-key-{account}")
}

impl FleetPlan {
    /// Returns a plan of three control hosts, two entries, two engines and an order service.
    #[must_use]
    pub fn demo() -> Self {
        let engine = |number: u32| EngineConfig::new(format!("{MODEL}-{number}"), MODEL);
        let account = |name: &str, weight| AccountPlan {
            name: name.to_owned(),
            weight,
            queue: 500,
            requests_per_s: None,
        };
        Self {
            domains: ["colombo", "gampaha", "kalutara"]
                .map(str::to_owned)
                .to_vec(),
            control: 3,
            entries: 2,
            engines: vec![engine(1), engine(2)],
            services: vec![OrderConfig::new(format!("{SERVICE}-1"), SERVICE)],
            accounts: vec![
                account("large-contractor", 4),
                account("small-applicator", 1),
            ],
            policy: ChoicePolicy::Fair,
            targets: Targets {
                first_token_ms: 1100,
                between_tokens_ms: 28,
            },
        }
    }

    /// The manifest of the fleet.
    ///
    /// # Errors
    /// Returns findings when an account has no valid name or weight.
    pub fn manifest(&self) -> Result<Manifest, Findings> {
        let accounts: Vec<Value> = self.accounts.iter().map(account_json).collect();
        let engines = u32::try_from(self.engines.len()).unwrap_or(u32::MAX);
        let text = json!({
            "number": 1,
            "accounts": accounts,
            "models": [{
                "name": MODEL,
                "deadline_ms": 60_000,
                "token_weights": { "input": 1, "output": 4 },
                "targets": self.targets,
                "fenced": true,
                "versions": [{ "name": "v1", "replicas": engines.max(1), "megabytes": 1 }],
            }],
            "services": [{
                "name": SERVICE,
                "prefix": format!("/{SERVICE}"),
                "cost": 200,
                "replicas": self.services.len().max(1),
                "deadline_ms": 20_000,
                "calls": [
                    { "method": "POST", "path": "/orders", "repeatable": false },
                    { "method": "GET", "path": "/orders/{id}", "repeatable": true },
                    { "method": "GET", "path": "/orders/by-key/{key}", "repeatable": true },
                ],
                "reread": { "method": "GET", "path": "/orders/by-key/{key}" },
            }],
        });
        Manifest::parse("embedded-manifest", &text.to_string())
    }

    /// Number of sidecars that an entry connects to: all in its own failure domain, and a bounded
    /// number for each pool of each other domain.
    pub(super) fn contacts(&self, entry: usize) -> usize {
        let domains = self.domains.len().max(1);
        let local = entry % domains;
        let engines = 0..self.engines.len();
        let services = engines.end..engines.end + self.services.len();
        let count = |pool: &std::ops::Range<usize>, domain: usize| {
            let in_domain = pool.clone().filter(|sidecar| sidecar % domains == domain);
            let max = if domain == local {
                usize::MAX
            } else {
                REMOTE_CONTACTS
            };
            in_domain.count().min(max)
        };
        let pools = [engines, services];
        let counts = pools
            .iter()
            .flat_map(|pool| (0..domains).map(|domain| count(pool, domain)));
        counts.sum()
    }

    /// The failure domain of host `number` of a role.
    pub(super) fn domain(&self, number: usize) -> DomainName {
        let name = self.domains.get(number % self.domains.len().max(1));
        let name = name.map_or("domain", String::as_str);
        DomainName::new(name).unwrap_or_else(|e| panic!("invalid failure domain in the plan: {e}"))
    }
}

fn account_json(account: &AccountPlan) -> Value {
    let mut limits = json!({ "queue": account.queue });
    if let Some(per_s) = account.requests_per_s {
        limits["requests_per_s"] = per_s.into();
    }
    json!({
        "name": account.name,
        "key_hashes": [KeyHash::of_key(&demo_key(&account.name)).to_string()],
        "weight": account.weight,
        "limits": limits,
    })
}
