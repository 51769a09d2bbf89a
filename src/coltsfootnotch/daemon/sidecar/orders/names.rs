//! Names of leases, and names by which engines list what they have loaded.
//!
//! An engine lists a version as `spec-llm:v2` and an adapter as `spec-llm:v2:screed-notes`. Names of
//! another form are left alone: an engine may hold what others have put there.

use coltsfootnotch_manifest::Model;
use coltsfootnotch_state::{Action, BodyDigest, Placement};
use coltsfootnotch_types::{LeaseName, UpstreamName};

/// Digits of a digest in the name of a lease: 128 bits, so that no two names meet.
const DIGEST_DIGITS: usize = 32;

/// The lease under which an upstream is given orders.
pub(super) fn orders_lease(upstream: &UpstreamName) -> LeaseName {
    digested("orders", upstream.as_str())
}

/// The lease of place `number` for something that engines load.
pub(super) fn place_lease(loaded: &str, number: u32) -> LeaseName {
    digested("place", &format!("{loaded}#{number}"))
}

/// Permit `number` of the weight store.
pub(super) fn permit_lease(number: u32) -> LeaseName {
    checked(&format!("weights-{number}"))
}

/// Names may be as long as the name of a lease, so the name of a lease holds their digest.
fn digested(kind: &str, text: &str) -> LeaseName {
    let digest = BodyDigest::of(text.as_bytes()).to_string();
    checked(&format!("{kind}-{}", &digest[..DIGEST_DIGITS]))
}

fn checked(text: &str) -> LeaseName {
    LeaseName::new(text).expect("the name of a lease is short and plain")
}

/// How an engine lists a version.
pub(super) fn version_name(model: &str, version: &str) -> String {
    format!("{model}:{version}")
}

/// How an engine lists an adapter.
pub(super) fn adapter_name(model: &str, version: &str, adapter: &str) -> String {
    format!("{model}:{version}:{adapter}")
}

/// What an engine says it has. Where it lists several versions, the one that is wanted counts, or
/// else the last.
pub(super) fn placement(model: &Model, listed: &[String], want: &Placement) -> Placement {
    let start = format!("{}:", model.name);
    let mut has = Placement::default();
    let own = listed.iter().filter_map(|name| name.strip_prefix(&start));
    for name in own {
        match name.split_once(':') {
            Some((version, adapter)) => {
                let version = version.to_owned();
                let is_settled = has.adapters.get(adapter) == want.adapters.get(adapter);
                if !has.adapters.contains_key(adapter) || !is_settled {
                    has.adapters.insert(adapter.to_owned(), version);
                }
            }
            None if has.model.is_some() && has.model == want.model => {}
            None => has.model = Some((model.name.to_string(), name.to_owned())),
        }
    }
    has
}

/// Whether an engine can serve its pool by what it lists. One that lists nothing is not asked to.
///
/// ```
/// use coltsfootnotch::daemon::sidecar::orders::serves;
/// use coltsfootnotch::ops::fleet::FleetPlan;
/// let manifest = FleetPlan::demo().manifest()?;
/// let model = &manifest.models[0];
/// assert!(serves(model, &["spec-llm:v1".to_owned()]));
/// assert!(!serves(model, &["embeddings".to_owned()]));
/// # Ok::<(), coltsfootnotch_manifest::Findings>(())
/// ```
#[must_use]
pub fn serves(model: &Model, listed: &[String]) -> bool {
    let is_version = |name: &String| {
        let version = name.strip_prefix(model.name.as_str());
        version.is_some_and(|rest| rest.starts_with(':') && !rest[1..].contains(':'))
    };
    let is_pool = |name: &String| name == model.name.as_str();
    listed.is_empty() || listed.iter().any(|name| is_pool(name) || is_version(name))
}

/// An action as an engine is told: what to do, and with what. `has` is what the engine has.
pub(super) fn as_order(
    model: &str,
    action: &Action,
    has: &Placement,
) -> (&'static str, &'static str, String) {
    match action {
        Action::LoadModel { model, version } => ("load", "name", version_name(model, version)),
        Action::LoadAdapter { adapter, version } => {
            ("load", "name", adapter_name(model, version, adapter))
        }
        Action::UnloadAdapter { adapter } => {
            let version = has.adapters.get(adapter).map_or("", String::as_str);
            ("unload", "name", adapter_name(model, version, adapter))
        }
        Action::SetRole { role } => ("set_role", "role", role.clone()),
    }
}
