//! Reconciles what engines report with what the manifest requests, by orders to engines.
//!
//! A new manifest may require weights on many engines at once. [`WeightLoadScheduler`] lets few
//! loads run at the full rate of the weight store, so that engines become ready one by one and not
//! all late. Reports lag, so a new lease holder could repeat orders; the replicated
//! [`FinishedOrders`] supplement the reports until they have caught up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_types::{Incarnation, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{FinishedOrders, LogTime, WeightLoadScheduler};

/// The model, adapters and role of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Model and version.
    pub model: Option<(String, String)>,
    /// Versions of adapters by their names.
    pub adapters: BTreeMap<String, String>,
    /// Role of the engine, such as prefill or decode.
    pub role: Option<String>,
}

/// The placement that the manifest requests for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredPlacement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The requested placement. A model or role of `None` is left unchanged.
    pub placement: Placement,
    /// Bytes of weights of the model and of each adapter, by name.
    pub weight_bytes: BTreeMap<String, u64>,
}

/// The placement that an engine reported, possibly outdated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedPlacement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The run of its engine.
    pub incarnation: Incarnation,
    /// Its placement when it reported.
    pub placement: Placement,
}

/// An action on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Replace the model; this unloads all adapters.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
        /// Its version.
        version: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: String,
    },
}

impl Action {
    /// Applies the action to `placement`.
    pub fn apply_to(&self, placement: &mut Placement) {
        match self {
            Self::LoadModel { model, version } => {
                placement.model = Some((model.clone(), version.clone()));
                placement.adapters.clear();
            }
            Self::LoadAdapter { adapter, version } => {
                placement.adapters.insert(adapter.clone(), version.clone());
            }
            Self::UnloadAdapter { adapter } => {
                placement.adapters.remove(adapter);
            }
            Self::SetRole { role } => placement.role = Some(role.clone()),
        }
    }

    /// The model or adapter whose weights the action fetches, if any.
    #[must_use]
    pub fn fetched_weights(&self) -> Option<&str> {
        match self {
            Self::LoadModel { model, .. } => Some(model),
            Self::LoadAdapter { adapter, .. } => Some(adapter),
            Self::UnloadAdapter { .. } | Self::SetRole { .. } => None,
        }
    }
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The run of its engine; the sidecar drops the order if the engine has restarted since.
    pub incarnation: Incarnation,
    /// The action.
    pub action: Action,
}

/// The input of [`reconcile`].
#[derive(Debug)]
pub struct ReconcileInput<'a> {
    /// The requested placements.
    pub desired: &'a [DesiredPlacement],
    /// The reported placements; an upstream without a report gets no order.
    pub reported: &'a BTreeMap<UpstreamName, ReportedPlacement>,
    /// The finished orders in the replicated state.
    pub finished: &'a FinishedOrders,
    /// Upstreams with an order in flight. They get no other, so that orders cannot be reordered.
    pub in_flight: &'a BTreeSet<UpstreamName>,
    /// Maximum age of reports.
    pub report_lag: Duration,
}

/// Returns the orders to send at log time `at` and local time `now`, at most one for each upstream.
///
/// Orders that fetch weights are started in `scheduler`. Those that it does not admit are left to a
/// later call.
pub fn reconcile(
    input: &ReconcileInput<'_>,
    scheduler: &mut WeightLoadScheduler,
    at: LogTime,
    now: Duration,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for desired in input.desired {
        if input.in_flight.contains(&desired.upstream) {
            continue;
        }
        let Some(reported) = input.reported.get(&desired.upstream) else {
            continue;
        };
        let current = input
            .finished
            .current_placement(reported, at, input.report_lag);
        let Some(action) = next_action(&desired.placement, &current) else {
            continue;
        };
        if let Some(weights) = action.fetched_weights() {
            let bytes = desired.weight_bytes.get(weights).copied().unwrap_or(0);
            if !scheduler.try_start(&desired.upstream, bytes, now) {
                continue;
            }
        }
        orders.push(Order {
            upstream: desired.upstream.clone(),
            incarnation: reported.incarnation,
            action,
        });
    }
    orders
}

/// The next action from `current` to `desired`: the model first, then the role, then unloading
/// adapters before loading others.
///
/// ```
/// use coltsfootnotch_state::{Action, Placement, next_action};
/// let model = Some(("spec-llm".to_owned(), "v2".to_owned()));
/// let desired = Placement { model, ..Placement::default() };
/// let load = Action::LoadModel { model: "spec-llm".into(), version: "v2".into() };
/// assert_eq!(next_action(&desired, &Placement::default()), Some(load));
/// assert_eq!(next_action(&desired, &desired), None);
/// ```
#[must_use]
pub fn next_action(desired: &Placement, current: &Placement) -> Option<Action> {
    if let Some((model, version)) = &desired.model
        && desired.model != current.model
    {
        let (model, version) = (model.clone(), version.clone());
        return Some(Action::LoadModel { model, version });
    }
    if let Some(role) = &desired.role
        && desired.role != current.role
    {
        return Some(Action::SetRole { role: role.clone() });
    }
    let extra = current
        .adapters
        .keys()
        .find(|a| !desired.adapters.contains_key(*a));
    if let Some(adapter) = extra.cloned() {
        return Some(Action::UnloadAdapter { adapter });
    }
    let missing = desired
        .adapters
        .iter()
        .find(|(a, v)| current.adapters.get(*a) != Some(v));
    missing.map(|(adapter, version)| Action::LoadAdapter {
        adapter: adapter.clone(),
        version: version.clone(),
    })
}
