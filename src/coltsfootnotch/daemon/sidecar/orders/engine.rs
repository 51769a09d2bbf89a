//! One engine: what it reports, what it shall have, and the order that comes next.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_manifest::{Model, WeightStore};
use coltsfootnotch_state::{Action, FencingNumber, Placement, next_action};
use coltsfootnotch_types::{LeaseName, prelude::*};
use coltsfootnotch_wire::announce::Announcement;

use super::call::OrderCall;
use super::claim::{Choice, Claim, choices};
use super::lease_set::LeaseSet;
use super::names::{as_order, orders_lease, permit_lease, placement};
use super::places::Places;
use super::timing::{Load, Timing};

/// Longest time by which an announcement lags behind what the engine has: as long as announcements
/// hold, since an older one has expired.
const REPORT_LAG: Duration = Duration::from_secs(3);
/// Pause after the first order that failed; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Doublings of the pause: about a minute at most.
const MOST_DOUBLINGS: u32 = 6;

/// An order that was sent and has not ended.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) fence: FencingNumber,
    pub(super) action: Action,
    pub(super) name: String,
    /// Whether it puts a version in the place of another.
    pub(super) changes_version: bool,
}

/// One engine beside the sidecar.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: UpstreamName,
    pub(super) pool: PoolName,
    pub(super) lease: LeaseName,
    pub(super) address: SocketAddr,
    pub(super) sent: Option<Sent>,
    checks_numbers: bool,
    listed: Vec<String>,
    heard: Duration,
    places: Places,
    permit: Claim,
    permit_for: (u64, u32),
    /// Until when the permit is kept for the sake of the store's rate.
    permit_until: Option<Duration>,
    /// When this process was first granted the lease for orders.
    first_granted: Option<Duration>,
    /// What was carried out, and when, until reports have caught up.
    done: Vec<(Duration, Action)>,
    not_before: Duration,
    failures: u32,
}

/// What one step of an engine looks at.
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
            sent: None,
            checks_numbers: announcement.capabilities.fenced,
            listed: announcement.models.clone(),
            heard: now,
            places: Places::default(),
            permit: Claim::default(),
            permit_for: (0, 0),
            permit_until: None,
            first_granted: None,
            done: Vec::new(),
            not_before: Duration::ZERO,
            failures: 0,
        }
    }

    /// Takes in a later announcement.
    pub(super) fn hear(&mut self, now: Duration, announcement: &Announcement) {
        if self.address != announcement.address {
            // Another run of the engine, which has nothing of what the one before had loaded.
            self.done.clear();
        }
        self.address = announcement.address;
        self.checks_numbers = announcement.capabilities.fenced;
        self.listed.clone_from(&announcement.models);
        self.heard = now;
        self.done.retain(|(at, _)| now < *at + REPORT_LAG);
    }

    /// The order to send now, if there is one; asks for the leases that it needs.
    pub(super) fn step(&mut self, cx: &StepCx<'_>, leases: &mut LeaseSet) -> Option<OrderCall> {
        self.end_pace(cx.now, leases);
        if self.sent.is_some() {
            return None;
        }
        let engine = (&self.name, self.listed.as_slice());
        let want = self
            .places
            .want(cx.now, cx.config, cx.model, engine, leases);
        let has = want.as_ref().map(|want| self.has(cx.model, want));
        let next = want
            .zip(has)
            .and_then(|(want, has)| Some((next_action(&want, &has)?, has)));
        let Some((action, has)) = next.filter(|_| cx.now >= self.not_before) else {
            self.rest(leases);
            return None;
        };
        let is_fenced = self.checks_numbers && cx.model.fenced;
        let timing = Timing::new(cx.store, load_of(cx.model, &action), is_fenced);
        let loads = action.fetched_weights().is_some();
        if loads && self.is_settled() && !self.has_permit(cx, &timing, leases) {
            leases.give_up(&self.lease);
            return None;
        }
        leases.want(&self.lease, timing.orders_ttl);
        let fence = leases.number(&self.lease, cx.now)?;
        self.first_granted.get_or_insert(cx.now);
        let guard = timing.guard(is_fenced);
        if !self.is_settled() || !leases.may_order(&self.lease, cx.now, guard) {
            return None;
        }
        if loads {
            self.permit_until = Some(cx.now + timing.pace);
        }
        Some(self.send(cx, fence, action, &has, timing.timeout))
    }

    fn send(
        &mut self,
        cx: &StepCx<'_>,
        fence: FencingNumber,
        action: Action,
        has: &Placement,
        timeout: Duration,
    ) -> OrderCall {
        assert!(self.sent.is_none(), "{} gets two orders at once", self.name);
        let (order, key, value) = as_order(cx.model.name.as_str(), &action, has);
        let loads_version = matches!(action, Action::LoadModel { .. });
        self.sent = Some(Sent {
            changes_version: loads_version && has.model.is_some(),
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

    /// Whether reports show whatever an earlier process has ordered: the first lease of this one
    /// began after the last order of those before, and a report was made since.
    fn is_settled(&self) -> bool {
        self.first_granted
            .is_some_and(|granted| self.heard >= granted + REPORT_LAG)
    }

    fn has(&self, model: &Model, want: &Placement) -> Placement {
        let mut has = placement(model, &self.listed, want);
        let unreported = self
            .done
            .iter()
            .filter(|(at, _)| self.heard < *at + REPORT_LAG);
        unreported.for_each(|(_, action)| action.apply_to(&mut has));
        has
    }

    /// Whether a permit of the weight store is held that no earlier load of this engine still uses.
    fn has_permit(&mut self, cx: &StepCx<'_>, timing: &Timing, leases: &mut LeaseSet) -> bool {
        let wanted = (cx.config, cx.store.loads);
        if self.permit_for != wanted && self.permit_until.is_none() {
            self.permit_for = wanted;
            self.permit
                .set_choices(permits(cx.store.loads, &self.name), leases);
        }
        let held = self
            .permit
            .poll(cx.now, timing.permit_ttl, timing.rest, leases);
        held.is_some() && self.permit_until.is_none()
    }

    /// Gives the permit back once the store could have delivered the weights at its rate.
    fn end_pace(&mut self, now: Duration, leases: &mut LeaseSet) {
        let is_over = self.permit_until.is_some_and(|until| now >= until);
        if is_over && self.sent.is_none() {
            self.permit_until = None;
            self.permit.give_up(leases);
        }
    }

    /// Nothing is to be ordered: the leases for it go back.
    fn rest(&mut self, leases: &mut LeaseSet) {
        leases.give_up(&self.lease);
        if self.permit_until.is_none() {
            self.permit.give_up(leases);
        }
    }

    /// Stands for the run of the engine: an announcement names none, and another run most likely
    /// listens elsewhere. One at the same address is told by its reports after [`REPORT_LAG`].
    pub(super) fn run(&self) -> Incarnation {
        Incarnation(u64::from(self.address.port()))
    }

    /// The order was carried out.
    pub(super) fn succeeded(&mut self, now: Duration, action: Action) {
        self.failures = 0;
        self.done.push((now, action));
    }

    /// The order failed; the next one follows after a pause.
    pub(super) fn failed(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        self.not_before = now + pause;
    }

    /// Gives everything up: the engine is gone, or its sidecar stops. The lease of an order that is
    /// under way is left to expire, since a release says that no order is.
    pub(super) fn give_up(&mut self, leases: &mut LeaseSet) {
        self.places.give_up(leases);
        if self.sent.is_none() {
            leases.give_up(&self.lease);
        }
        if self.permit_until.is_none() {
            self.permit.give_up(leases);
        }
    }
}

fn permits(loads: u32, upstream: &UpstreamName) -> Vec<Choice> {
    choices(loads, upstream, "", permit_lease)
}

/// What an action loads, by the manifest.
fn load_of(model: &Model, action: &Action) -> Load {
    let found = match action {
        Action::LoadModel { version, .. } => {
            let known = model.versions.iter().find(|v| v.name == *version);
            known.map(|version| (version.megabytes, version.replicas))
        }
        Action::LoadAdapter { adapter, .. } => {
            let known = model.adapters.iter().find(|a| a.name == *adapter);
            known.map(|adapter| (adapter.megabytes, adapter.replicas))
        }
        Action::UnloadAdapter { .. } | Action::SetRole { .. } => None,
    };
    let (megabytes, replicas) = found.unwrap_or_default();
    Load {
        megabytes,
        replicas,
    }
}
