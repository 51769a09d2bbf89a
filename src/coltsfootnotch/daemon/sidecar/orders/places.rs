//! Which version and adapters one engine shall hold: places of the manifest, claimed as leases.
//!
//! The manifest says how many replicas hold a version or an adapter. Each of these places is a lease,
//! and an engine holds what its sidecar has places for. So no more replicas than stated are ordered
//! to load anything, no host needs a list of all engines, and when a sidecar is lost its places fall
//! to others once their leases have expired.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_manifest::Model;
use coltsfootnotch_state::Placement;
use coltsfootnotch_types::UpstreamName;

use super::claim::{Choice, Claim, choices};
use super::lease_set::LeaseSet;
use super::names::{adapter_name, place_lease, version_name};

/// Lease of a place. What is loaded stays loaded without it, so it may be long: 600 engines renew 15
/// places a second together. A lost sidecar's place is free again within it.
const PLACE_TTL: Duration = Duration::from_secs(120);
/// Pause after all places were found taken: the engine is a spare one.
const PLACE_REST: Duration = Duration::from_secs(10);

/// The places of one engine.
#[derive(Debug, Default)]
pub(super) struct Places {
    version: Claim,
    adapters: BTreeMap<String, Claim>,
    /// Configuration for which the choices of the version were made.
    version_for: u64,
    /// Configuration and version for which those of the adapters were made.
    adapters_for: (u64, String),
}

impl Places {
    /// What the engine shall have, as far as places are held; nothing without one for a version.
    /// `listed` is what the engine says it has.
    pub(super) fn want(
        &mut self,
        now: Duration,
        config: u64,
        model: &Model,
        engine: (&UpstreamName, &[String]),
        leases: &mut LeaseSet,
    ) -> Option<Placement> {
        if self.version_for != config {
            self.version_for = config;
            self.version
                .set_choices(version_choices(model, engine), leases);
        }
        let held = self.version.poll(now, PLACE_TTL, PLACE_REST, leases);
        let version = held?.of.clone();
        self.choose_adapters(config, model, &version, engine.0, leases);
        let mut held = |claim: &mut Claim| claim.poll(now, PLACE_TTL, PLACE_REST, leases).is_some();
        let adapters = self
            .adapters
            .iter_mut()
            .filter_map(|(name, claim)| held(claim).then(|| (name.clone(), version.clone())));
        Some(Placement {
            adapters: adapters.collect(),
            model: Some((model.name.to_string(), version.clone())),
            role: None,
        })
    }

    fn choose_adapters(
        &mut self,
        config: u64,
        model: &Model,
        version: &str,
        upstream: &UpstreamName,
        leases: &mut LeaseSet,
    ) {
        if self.adapters_for.0 == config && self.adapters_for.1 == version {
            return;
        }
        self.adapters_for = (config, version.to_owned());
        let mut before = std::mem::take(&mut self.adapters);
        let of_version = model.adapters.iter().filter(|a| a.version == version);
        for adapter in of_version {
            let mut claim = before.remove(&adapter.name).unwrap_or_default();
            let loaded = adapter_name(model.name.as_str(), version, &adapter.name);
            let lease = |number| place_lease(&loaded, number);
            claim.set_choices(
                choices(adapter.replicas, upstream, &adapter.name, lease),
                leases,
            );
            self.adapters.insert(adapter.name.clone(), claim);
        }
        before.values_mut().for_each(|claim| claim.give_up(leases));
    }

    /// Gives all places up.
    pub(super) fn give_up(&mut self, leases: &mut LeaseSet) {
        self.version.give_up(leases);
        self.adapters
            .values_mut()
            .for_each(|claim| claim.give_up(leases));
    }
}

/// Places of the version that is loaded come first: taking another one costs a load.
fn version_choices(model: &Model, (upstream, listed): (&UpstreamName, &[String])) -> Vec<Choice> {
    let named = |name: &str| version_name(model.name.as_str(), name);
    let mut versions: Vec<_> = model.versions.iter().collect();
    versions.sort_by_key(|version| !listed.contains(&named(&version.name)));
    let places = versions.into_iter().flat_map(|version| {
        let lease = |number| place_lease(&named(&version.name), number);
        choices(version.replicas, upstream, &version.name, lease)
    });
    places.collect()
}
