//! Selects the version and the adapters of one engine by claiming replica leases.
//!
//! The manifest sets the number of replicas of each version and adapter, and each replica is a
//! lease. An engine loads what its sidecar holds replica leases for. This bounds the number of
//! replicas without a list of all engines, and the leases of a lost sidecar pass to others once
//! they expire.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_manifest::Model;
use coltsfootnotch_state::Placement;
use coltsfootnotch_types::UpstreamName;

use super::lease_claim::{LeaseCandidate, LeaseClaim, candidates};
use super::lease_set::LeaseSet;
use super::names::{adapter_name, replica_lease, version_name};

/// Time to live of a replica lease, after which a replica of a lost sidecar is free again. It is
/// long, since engines keep what they loaded without it; 600 engines renew 15 leases a second.
const REPLICA_LEASE_TTL: Duration = Duration::from_secs(120);
/// Delay after all replica leases were refused, as for a spare engine.
const REPLICA_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Time for which an engine keeps a loaded adapter without a replica lease. A restarted sidecar
/// finds its lease still held by its earlier process; the grace period outlasts that lease, so the
/// adapter isn't unloaded just to be loaded again.
const ADAPTER_GRACE_PERIOD: Duration = Duration::from_secs(240);

/// The replica lease for one adapter.
#[derive(Debug, Default)]
struct AdapterLease {
    claim: LeaseClaim,
    /// Time since which no lease is held.
    missing_since: Option<Duration>,
}

impl AdapterLease {
    /// Whether the engine should have the adapter.
    fn should_be_loaded(&mut self, now: Duration, is_loaded: bool, leases: &mut LeaseSet) -> bool {
        let held = self
            .claim
            .poll(now, REPLICA_LEASE_TTL, REPLICA_RETRY_DELAY, leases);
        if held.is_some() {
            self.missing_since = None;
            return true;
        }
        let missing_since = *self.missing_since.get_or_insert(now);
        is_loaded && self.claim.has_candidates() && now < missing_since + ADAPTER_GRACE_PERIOD
    }
}

/// The replica leases of one engine.
#[derive(Debug, Default)]
pub(super) struct ReplicaLeases {
    version: LeaseClaim,
    adapters: BTreeMap<String, AdapterLease>,
    /// Configuration number from which the version candidates were built.
    version_config: u64,
    /// Configuration number and version from which the adapter candidates were built.
    adapters_source: (u64, String),
}

impl ReplicaLeases {
    /// Returns the desired placement of the engine according to the held leases, or `None` without
    /// a lease for a version. `engine` is its name and the models that it lists.
    pub(super) fn desired_placement(
        &mut self,
        now: Duration,
        config: u64,
        model: &Model,
        engine: (&UpstreamName, &[String]),
        leases: &mut LeaseSet,
    ) -> Option<Placement> {
        if self.version_config != config {
            self.version_config = config;
            self.version
                .set_candidates(version_candidates(model, engine), leases);
        }
        let held = self
            .version
            .poll(now, REPLICA_LEASE_TTL, REPLICA_RETRY_DELAY, leases);
        let version = held?.subject.clone();
        self.update_adapter_candidates(config, model, &version, engine.0, leases);
        let mut adapters = BTreeMap::new();
        for (name, lease) in &mut self.adapters {
            let loaded = adapter_name(model.name.as_str(), &version, name);
            if lease.should_be_loaded(now, engine.1.contains(&loaded), leases) {
                adapters.insert(name.clone(), version.clone());
            }
        }
        Some(Placement {
            adapters,
            model: Some((model.name.to_string(), version)),
            role: None,
        })
    }

    fn update_adapter_candidates(
        &mut self,
        config: u64,
        model: &Model,
        version: &str,
        upstream: &UpstreamName,
        leases: &mut LeaseSet,
    ) {
        if self.adapters_source.0 == config && self.adapters_source.1 == version {
            return;
        }
        self.adapters_source = (config, version.to_owned());
        let mut previous = std::mem::take(&mut self.adapters);
        let of_version = model.adapters.iter().filter(|a| a.version == version);
        for adapter in of_version {
            let mut adapter_lease = previous.remove(&adapter.name).unwrap_or_default();
            let loaded = adapter_name(model.name.as_str(), version, &adapter.name);
            let lease = |number| replica_lease(&loaded, number);
            adapter_lease.claim.set_candidates(
                candidates(adapter.replicas, upstream, &adapter.name, lease),
                leases,
            );
            self.adapters.insert(adapter.name.clone(), adapter_lease);
        }
        previous
            .values_mut()
            .for_each(|lease| lease.claim.release(leases));
    }

    /// Releases all replica leases.
    pub(super) fn release(&mut self, leases: &mut LeaseSet) {
        self.version.release(leases);
        self.adapters
            .values_mut()
            .for_each(|lease| lease.claim.release(leases));
    }
}

/// Candidates for the version. Those of the loaded version come first, since others cost a load.
fn version_candidates(
    model: &Model,
    (upstream, listed): (&UpstreamName, &[String]),
) -> Vec<LeaseCandidate> {
    let listed_name = |name: &str| version_name(model.name.as_str(), name);
    let mut versions: Vec<_> = model.versions.iter().collect();
    versions.sort_by_key(|version| !listed.contains(&listed_name(&version.name)));
    let candidates = versions.into_iter().flat_map(|version| {
        let lease = |number| replica_lease(&listed_name(&version.name), number);
        candidates(version.replicas, upstream, &version.name, lease)
    });
    candidates.collect()
}
