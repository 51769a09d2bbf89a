//! Names of leases, and names by which engines list what they have loaded.
//!
//! An engine lists a version as `spec-llm:v2` and an adapter as `spec-llm:v2:screed-notes`. Names
//! of any other form are ignored: they may have been loaded by other tools.

use coltsfootnotch_manifest::Model;
use coltsfootnotch_state::{Action, BodyDigest, Placement};
use coltsfootnotch_types::{LeaseName, UpstreamName};

/// Hexadecimal digits of a digest in a lease name: 128 bits, which makes collisions unlikely.
const DIGEST_DIGITS: usize = 32;

/// Name of the lease under which orders are sent to an upstream.
pub(super) fn orders_lease(upstream: &UpstreamName) -> LeaseName {
    digest_name("orders", upstream.as_str())
}

/// Name of the lease for replica `number` of a version or adapter.
pub(super) fn replica_lease(loaded: &str, number: u32) -> LeaseName {
    digest_name("place", &format!("{loaded}#{number}"))
}

/// Name of the lease for permit `number` of the weight store.
pub(super) fn permit_lease(number: u32) -> LeaseName {
    lease_name(&format!("weights-{number}"))
}

/// Builds a lease name from a digest, since `text` itself may exceed the length of a lease name.
fn digest_name(kind: &str, text: &str) -> LeaseName {
    let digest = BodyDigest::of(text.as_bytes()).to_string();
    lease_name(&format!("{kind}-{}", &digest[..DIGEST_DIGITS]))
}

fn lease_name(text: &str) -> LeaseName {
    LeaseName::new(text).expect("lease names are short and contain valid characters only")
}

/// Name by which an engine lists a version.
pub(super) fn version_name(model: &str, version: &str) -> String {
    format!("{model}:{version}")
}

/// Name by which an engine lists an adapter.
pub(super) fn adapter_name(model: &str, version: &str, adapter: &str) -> String {
    format!("{model}:{version}:{adapter}")
}

/// Returns the placement that an engine reports. If it lists several versions, the desired one
/// counts, or else the last.
pub(super) fn reported_placement(
    model: &Model,
    listed: &[String],
    desired: &Placement,
) -> Placement {
    let prefix = format!("{}:", model.name);
    let mut reported = Placement::default();
    let names = listed.iter().filter_map(|name| name.strip_prefix(&prefix));
    for name in names {
        match name.split_once(':') {
            Some((version, adapter)) => {
                let version = version.to_owned();
                let is_desired = reported.adapters.get(adapter) == desired.adapters.get(adapter);
                if !reported.adapters.contains_key(adapter) || !is_desired {
                    reported.adapters.insert(adapter.to_owned(), version);
                }
            }
            None if reported.model.is_some() && reported.model == desired.model => {}
            None => reported.model = Some((model.name.to_string(), name.to_owned())),
        }
    }
    reported
}

/// Whether an engine lists what it needs to serve its pool. An engine that lists nothing passes.
///
/// ```
/// use coltsfootnotch::daemon::sidecar::orders::can_serve_pool;
/// use coltsfootnotch::ops::fleet::FleetPlan;
/// let manifest = FleetPlan::demo().manifest()?;
/// let model = &manifest.models[0];
/// assert!(can_serve_pool(model, &["spec-llm:v1".to_owned()]));
/// assert!(!can_serve_pool(model, &["embeddings".to_owned()]));
/// # Ok::<(), coltsfootnotch_manifest::Findings>(())
/// ```
#[must_use]
pub fn can_serve_pool(model: &Model, listed: &[String]) -> bool {
    let is_version = |name: &String| {
        let version = name.strip_prefix(model.name.as_str());
        version.is_some_and(|rest| rest.starts_with(':') && !rest[1..].contains(':'))
    };
    let is_pool = |name: &String| name == model.name.as_str();
    listed.is_empty() || listed.iter().any(|name| is_pool(name) || is_version(name))
}

/// Returns the operation, the JSON key and the value of the order for an action. `current` is the
/// placement of the engine before the order.
pub(super) fn order_fields(
    model: &str,
    action: &Action,
    current: &Placement,
) -> (&'static str, &'static str, String) {
    match action {
        Action::LoadModel { model, version } => ("load", "name", version_name(model, version)),
        Action::LoadAdapter { adapter, version } => {
            ("load", "name", adapter_name(model, version, adapter))
        }
        Action::UnloadAdapter { adapter } => {
            let version = current.adapters.get(adapter).map_or("", String::as_str);
            ("unload", "name", adapter_name(model, version, adapter))
        }
        Action::SetRole { role } => ("set_role", "role", role.clone()),
    }
}
