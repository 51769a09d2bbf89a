//! Orders to engines: what is still to be done to get from what engines report to what the manifest
//! wants.
//!
//! Load pattern answered: a change of the manifest, or a control host that restarts, wants weights
//! on many engines at once, while the weight store gives only so many bytes a second. Without the
//! limit every load runs at a fraction of the rate and none is ready; with [`crate::WeightStore`] few
//! run at full rate and each engine is back sooner. Engines report late, so an order that has ended
//! would be given again by a holder that has just started; the replicated [`FinishedOrders`] stand
//! in for the report until it has caught up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_types::{Incarnation, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{FinishedOrders, LogTime, WeightStore};

/// What an engine has, or should have.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Model and version.
    pub model: Option<(String, String)>,
    /// Versions of adapters by their names.
    pub adapters: BTreeMap<String, String>,
    /// Role of the engine, such as prefill or decode.
    pub role: Option<String>,
}

/// What the manifest wants of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Desired {
    /// The upstream.
    pub upstream: UpstreamName,
    /// What it should have. A model or role of `None` is left as it is.
    pub placement: Placement,
    /// Bytes to fetch from the weight store for the model and for each adapter.
    pub weight_bytes: BTreeMap<String, u64>,
}

/// What an engine reports, possibly late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reported {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The run of its engine.
    pub incarnation: Incarnation,
    /// What it had when it reported.
    pub placement: Placement,
}

/// One thing to do on one engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Load a version of a model in place of the present one; adapters are lost with the old model.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Load a version of an adapter.
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
    /// Applies the action to what an engine has.
    pub fn carry_out(&self, placement: &mut Placement) {
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

    /// The name of the weights that the action fetches.
    #[must_use]
    pub fn fetches(&self) -> Option<&str> {
        match self {
            Self::LoadModel { model, .. } => Some(model),
            Self::LoadAdapter { adapter, .. } => Some(adapter),
            Self::UnloadAdapter { .. } | Self::SetRole { .. } => None,
        }
    }
}

/// An order to give now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The run of its engine; the sidecar drops the order if the engine has restarted since.
    pub incarnation: Incarnation,
    /// What to do.
    pub action: Action,
}

/// What [`reconcile`] looks at.
#[derive(Debug)]
pub struct Reconcile<'a> {
    /// What the manifest wants.
    pub desired: &'a [Desired],
    /// What engines report; an upstream without a report gets no order.
    pub reported: &'a BTreeMap<UpstreamName, Reported>,
    /// What the log says was carried out.
    pub finished: &'a FinishedOrders,
    /// Upstreams with an order in flight: an engine gets one at a time, so that orders cannot
    /// overtake each other.
    pub in_flight: &'a BTreeSet<UpstreamName>,
    /// Longest time by which reports lag behind.
    pub report_lag: Duration,
}

/// The orders to give at log time `at` and local time `now`, at most one for each upstream.
///
/// Orders that fetch weights are taken from `store` and left out when it has no room; they come with
/// a later call.
pub fn reconcile(
    cx: &Reconcile<'_>,
    store: &mut WeightStore,
    at: LogTime,
    now: Duration,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for desired in cx.desired {
        if cx.in_flight.contains(&desired.upstream) {
            continue;
        }
        let Some(reported) = cx.reported.get(&desired.upstream) else {
            continue;
        };
        let has = cx.finished.overlay(reported, at, cx.report_lag);
        let Some(action) = next_action(&desired.placement, &has) else {
            continue;
        };
        if let Some(weights) = action.fetches() {
            let bytes = desired.weight_bytes.get(weights).copied().unwrap_or(0);
            if !store.try_start(&desired.upstream, bytes, now) {
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

/// The first thing to do: the model before its adapters, and room for adapters before more of them.
///
/// ```
/// use coltsfootnotch_state::{Action, Placement, next_action};
/// let model = Some(("spec-llm".to_owned(), "v2".to_owned()));
/// let want = Placement { model, ..Placement::default() };
/// let load = Action::LoadModel { model: "spec-llm".into(), version: "v2".into() };
/// assert_eq!(next_action(&want, &Placement::default()), Some(load));
/// assert_eq!(next_action(&want, &want), None);
/// ```
#[must_use]
pub fn next_action(want: &Placement, has: &Placement) -> Option<Action> {
    if let Some((model, version)) = &want.model
        && want.model != has.model
    {
        let (model, version) = (model.clone(), version.clone());
        return Some(Action::LoadModel { model, version });
    }
    if let Some(role) = &want.role
        && want.role != has.role
    {
        return Some(Action::SetRole { role: role.clone() });
    }
    let extra = has
        .adapters
        .keys()
        .find(|a| !want.adapters.contains_key(*a));
    if let Some(adapter) = extra.cloned() {
        return Some(Action::UnloadAdapter { adapter });
    }
    let missing = want
        .adapters
        .iter()
        .find(|(a, v)| has.adapters.get(*a) != Some(v));
    missing.map(|(adapter, version)| Action::LoadAdapter {
        adapter: adapter.clone(),
        version: version.clone(),
    })
}
