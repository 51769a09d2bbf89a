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

/// For how long an engine keeps an adapter that it has without a place. A sidecar that comes back
/// from a crash or a partition finds its place held by its own run before, and would order the engine
/// to unload what it is to load again: by then such a place has expired, and was asked for again.
const KEPT_WITHOUT_PLACE: Duration = Duration::from_secs(240);

/// The place for one adapter.
#[derive(Debug, Default)]
struct AdapterPlace {
    claim: Claim,
    /// Since when it has been missing, while it is.
    missing: Option<Duration>,
}

impl AdapterPlace {
    /// Whether the engine shall have the adapter.
    fn is_wanted(&mut self, now: Duration, has: bool, leases: &mut LeaseSet) -> bool {
        let held = self.claim.poll(now, PLACE_TTL, PLACE_REST, leases);
        if held.is_some() {
            self.missing = None;
            return true;
        }
        let missing = *self.missing.get_or_insert(now);
        has && self.claim.has_choices() && now < missing + KEPT_WITHOUT_PLACE
    }
}

/// The places of one engine.
#[derive(Debug, Default)]
pub(super) struct Places {
    version: Claim,
    adapters: BTreeMap<String, AdapterPlace>,
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
        let mut adapters = BTreeMap::new();
        for (name, place) in &mut self.adapters {
            let loaded = adapter_name(model.name.as_str(), &version, name);
            if place.is_wanted(now, engine.1.contains(&loaded), leases) {
                adapters.insert(name.clone(), version.clone());
            }
        }
        Some(Placement {
            adapters,
            model: Some((model.name.to_string(), version)),
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
            let mut place = before.remove(&adapter.name).unwrap_or_default();
            let loaded = adapter_name(model.name.as_str(), version, &adapter.name);
            let lease = |number| place_lease(&loaded, number);
            place.claim.set_choices(
                choices(adapter.replicas, upstream, &adapter.name, lease),
                leases,
            );
            self.adapters.insert(adapter.name.clone(), place);
        }
        before
            .values_mut()
            .for_each(|place| place.claim.give_up(leases));
    }

    /// Gives all places up.
    pub(super) fn give_up(&mut self, leases: &mut LeaseSet) {
        self.version.give_up(leases);
        self.adapters
            .values_mut()
            .for_each(|place| place.claim.give_up(leases));
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
