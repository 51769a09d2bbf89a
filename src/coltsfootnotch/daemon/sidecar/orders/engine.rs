//! Determines the next order to one engine from its reported and its desired placement.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_manifest::{Model, WeightStore};
use coltsfootnotch_state::{Action, FencingNumber, Placement, next_action};
use coltsfootnotch_types::{LeaseName, prelude::*};
use coltsfootnotch_wire::announce::Announcement;

use super::call::OrderCall;
use super::lease_claim::{LeaseCandidate, LeaseClaim, candidates};
use super::lease_set::LeaseSet;
use super::names::{order_fields, orders_lease, permit_lease, reported_placement};
use super::replica_leases::ReplicaLeases;
use super::timing::{Load, Timing};

/// Maximum age of what an announcement reports; equals the time to live of announcements.
const REPORT_LAG: Duration = Duration::from_secs(3);
/// Backoff after the first failed order; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of doublings, which bounds the backoff to about a minute.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// An order that was sent and has not finished.
#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) fence: FencingNumber,
    pub(super) action: Action,
    pub(super) name: String,
    /// Whether the order replaces a loaded version by another.
    pub(super) changes_version: bool,
}

/// One engine beside the sidecar.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: UpstreamName,
    pub(super) pool: PoolName,
    pub(super) lease: LeaseName,
    pub(super) address: SocketAddr,
    pub(super) pending: Option<PendingOrder>,
    checks_fencing: bool,
    listed: Vec<String>,
    announced_at: Duration,
    replicas: ReplicaLeases,
    permit: LeaseClaim,
    /// Configuration number and number of permits from which the permit candidates were built.
    permit_source: (u64, u32),
    /// Time until which the permit is held to keep the rate of the weight store.
    permit_held_until: Option<Duration>,
    /// Time at which this process was first granted the order lease.
    first_granted: Option<Duration>,
    /// Executed actions that announcements may not show yet, with their times.
    unreported: Vec<(Duration, Action)>,
    retry_at: Duration,
    failures: u32,
}

/// Inputs of one step of an engine.
pub(super) struct StepCx<'a> {
    pub(super) now: Duration,
    /// Number of the configuration in force.
    pub(super) config: u64,
    pub(super) model: &'a Model,
    pub(super) store: WeightStore,
}

impl Engine {
    pub(super) fn new(now: Duration, announcement: &Announcement) -> Self {
        Self {
            name: announcement.name.clone(),
            pool: announcement.pool.clone(),
            lease: orders_lease(&announcement.name),
            address: announcement.address,
            pending: None,
            checks_fencing: announcement.capabilities.fenced,
            listed: announcement.models.clone(),
            announced_at: now,
            replicas: ReplicaLeases::default(),
            permit: LeaseClaim::default(),
            permit_source: (0, 0),
            permit_held_until: None,
            first_granted: None,
            unreported: Vec::new(),
            retry_at: Duration::ZERO,
            failures: 0,
        }
    }

    /// Handles a further announcement.
    pub(super) fn on_announcement(&mut self, now: Duration, announcement: &Announcement) {
        if self.address != announcement.address {
            // The engine was restarted and has lost what it had loaded.
            self.unreported.clear();
        }
        self.address = announcement.address;
        self.checks_fencing = announcement.capabilities.fenced;
        self.listed.clone_from(&announcement.models);
        self.announced_at = now;
        self.unreported.retain(|(at, _)| now < *at + REPORT_LAG);
    }

    /// Returns the order to send now, if any, and requests the leases that it needs.
    pub(super) fn step(&mut self, cx: &StepCx<'_>, leases: &mut LeaseSet) -> Option<OrderCall> {
        self.release_finished_permit(cx.now, leases);
        if self.pending.is_some() {
            return None;
        }
        let engine = (&self.name, self.listed.as_slice());
        let desired = self
            .replicas
            .desired_placement(cx.now, cx.config, cx.model, engine, leases);
        let current = desired
            .as_ref()
            .map(|desired| self.current_placement(cx.model, desired));
        let next = desired
            .zip(current)
            .and_then(|(desired, current)| Some((next_action(&desired, &current)?, current)));
        let Some((action, current)) = next.filter(|_| cx.now >= self.retry_at) else {
            self.release_order_leases(leases);
            return None;
        };
        let is_fenced = self.checks_fencing && cx.model.fenced;
        let timing = Timing::new(cx.store, load_for(cx.model, &action), is_fenced);
        let loads = action.fetched_weights().is_some();
        if loads && self.is_report_current() && !self.has_permit(cx, &timing, leases) {
            leases.release(&self.lease);
            return None;
        }
        leases.request(&self.lease, timing.order_lease_ttl);
        let fence = leases.fencing_number(&self.lease, cx.now)?;
        self.first_granted.get_or_insert(cx.now);
        let fencing_mode = timing.fencing_mode(is_fenced);
        if !self.is_report_current() || !leases.can_order(&self.lease, cx.now, fencing_mode) {
            return None;
        }
        if loads {
            self.permit_held_until = Some(cx.now + timing.load_time);
        }
        Some(self.start_order(cx, fence, action, &current, timing.timeout))
    }

    fn start_order(
        &mut self,
        cx: &StepCx<'_>,
        fence: FencingNumber,
        action: Action,
        current: &Placement,
        timeout: Duration,
    ) -> OrderCall {
        assert!(
            self.pending.is_none(),
            "engine {} already has a pending order",
            self.name
        );
        let (order, key, value) = order_fields(cx.model.name.as_str(), &action, current);
        let loads_version = matches!(action, Action::LoadModel { .. });
        self.pending = Some(PendingOrder {
            changes_version: loads_version && current.model.is_some(),
            fence,
            action,
            name: value.clone(),
        });
        OrderCall {
            address: self.address,
            fence,
            order,
            key,
            value,
            timeout,
        }
    }

    /// Whether the latest announcement shows all orders of earlier processes: it is newer than the
    /// first grant of the order lease to this process, which follows the last of those orders.
    fn is_report_current(&self) -> bool {
        self.first_granted
            .is_some_and(|granted| self.announced_at >= granted + REPORT_LAG)
    }

    fn current_placement(&self, model: &Model, desired: &Placement) -> Placement {
        let mut current = reported_placement(model, &self.listed, desired);
        let unreported = self
            .unreported
            .iter()
            .filter(|(at, _)| self.announced_at < *at + REPORT_LAG);
        unreported.for_each(|(_, action)| action.apply_to(&mut current));
        current
    }

    /// Whether a permit of the weight store is held and not used by an earlier load of this engine.
    fn has_permit(&mut self, cx: &StepCx<'_>, timing: &Timing, leases: &mut LeaseSet) -> bool {
        let source = (cx.config, cx.store.loads);
        if self.permit_source != source && self.permit_held_until.is_none() {
            self.permit_source = source;
            self.permit
                .set_candidates(permits(cx.store.loads, &self.name), leases);
        }
        let held = self
            .permit
            .poll(cx.now, timing.permit_ttl, timing.retry_delay, leases);
        held.is_some() && self.permit_held_until.is_none()
    }

    /// Releases the permit once the load time at the rate of the weight store has passed.
    fn release_finished_permit(&mut self, now: Duration, leases: &mut LeaseSet) {
        let has_elapsed = self.permit_held_until.is_some_and(|until| now >= until);
        if has_elapsed && self.pending.is_none() {
            self.permit_held_until = None;
            self.permit.release(leases);
        }
    }

    /// Releases the leases that only an order needs.
    fn release_order_leases(&mut self, leases: &mut LeaseSet) {
        leases.release(&self.lease);
        if self.permit_held_until.is_none() {
            self.permit.release(leases);
        }
    }

    /// Returns the port as the incarnation of the engine: announcements state none, and a restarted
    /// engine most likely has another port. With the same port its announcements show the restart
    /// after [`REPORT_LAG`].
    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation(u64::from(self.address.port()))
    }

    /// Handles the success of an order.
    pub(super) fn on_success(&mut self, now: Duration, action: Action) {
        self.failures = 0;
        self.unreported.push((now, action));
    }

    /// Handles the failure of an order, and delays the next one by the backoff.
    pub(super) fn on_failure(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.failures += 1;
        self.retry_at = now + backoff;
    }

    /// Releases all leases when the engine is removed or the sidecar stops. The lease of a pending
    /// order is left to expire, since a release states that no order is running.
    pub(super) fn release(&mut self, leases: &mut LeaseSet) {
        self.replicas.release(leases);
        if self.pending.is_none() {
            leases.release(&self.lease);
        }
        if self.permit_held_until.is_none() {
            self.permit.release(leases);
        }
    }
}

fn permits(loads: u32, upstream: &UpstreamName) -> Vec<LeaseCandidate> {
    candidates(loads, upstream, "", permit_lease)
}

/// Returns the size and the replicas of what an action loads, according to the manifest.
fn load_for(model: &Model, action: &Action) -> Load {
    let found = match action {
        Action::LoadModel { version, .. } => {
            let version = model.versions.iter().find(|v| v.name == *version);
            version.map(|version| (version.megabytes, version.replicas))
        }
        Action::LoadAdapter { adapter, .. } => {
            let adapter = model.adapters.iter().find(|a| a.name == *adapter);
            adapter.map(|adapter| (adapter.megabytes, adapter.replicas))
        }
        Action::UnloadAdapter { .. } | Action::SetRole { .. } => None,
    };
    let (megabytes, replicas) = found.unwrap_or_default();
    Load {
        megabytes,
        replicas,
    }
}
