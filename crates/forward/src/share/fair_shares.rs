//! Demand and admitted service units of each account, over all entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{AccountDemand, EntryLoadReport};

use crate::load::decay;

/// Decay time of usage; half of the window over which operators measure shares, so that an account's
/// share follows its demand within the window and a single large request does not push it over.
const DECAY_TIME: Duration = Duration::from_millis(2_000);

/// Decay time of the demand by which the beginning and the end of a flood are noticed. By the demand
/// over the whole window, an account that sends its usual again is refused for seconds as if it still
/// flooded, and one that begins to flood gets several times its share at the cost of those that
/// flooded before.
const RECENT_TIME: Duration = Duration::from_millis(500);

/// Factor by which the recent demand has to differ before it counts. Entries report every 100 to 200
/// ms, so it fluctuates between reports by a tenth and more; without the margin every account's demand
/// is underestimated, and engines get more than they process in time.
const RECENT_MARGIN: f64 = 1.3;

/// Least recent demand that counts as the beginning of a flood, in mean requests. A single request is
/// no flood, however large it is beside the usual demand of its account.
const MIN_FLOOD_REQUESTS: f64 = 8.0;

/// Part by which a request moves the mean size of requests.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Refused share of the demand from which the fleet counts as saturated. Below it the refusals come
/// from single saturated upstreams.
const MIN_REFUSED_SHARE: f64 = 0.03;

/// Share of the stated capacity that counts as served even if less was. After an outage nothing was
/// served, and a level of zero admits nothing; an engine that can't do it shows by its backlog.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Interval at which the level is computed.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);

/// Multiple of the level beyond which an account's usage is forgotten within [`RECENT_TIME`]. Usage of
/// capacity that nobody else asked for is no debt: counted like other usage, it keeps an account from
/// its share for seconds once others begin to flood.
const MAX_DEBT: f64 = 1.15;

/// Least usage that is recorded, in service units.
const MIN_UNITS: f64 = 1.0;

#[derive(Debug, Clone, Copy, Default)]
struct AccountTotals {
    demand: f64,
    /// Demand that decays in [`RECENT_TIME`].
    recent_demand: f64,
    admitted: f64,
    /// The part of the admitted units that is held against the account.
    charged: f64,
    /// Of this entry alone, since its last report.
    unreported_demand: u64,
    unreported_admitted: u64,
}

impl AccountTotals {
    fn add_demand(&mut self, units: u64) {
        self.demand += units as f64;
        self.recent_demand += units as f64;
    }

    fn add_admitted(&mut self, units: u64) {
        self.admitted += units as f64;
        self.charged += units as f64;
    }

    /// The demand, or the recent one if the account has sent clearly less or more lately. `mean_units`
    /// is the mean size of requests.
    fn present_demand(&self, mean_units: f64) -> f64 {
        let scale = DECAY_TIME.as_secs_f64() / RECENT_TIME.as_secs_f64();
        let recent = self.recent_demand * scale;
        let has_ended = recent * RECENT_MARGIN < self.demand;
        let has_begun = recent > self.demand * RECENT_MARGIN
            && self.recent_demand > mean_units * MIN_FLOOD_REQUESTS;
        if has_ended || has_begun {
            recent
        } else {
            self.demand
        }
    }
}

/// Recent demand and admitted service units of each account, over the whole fleet.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use coltsfootnotch_forward::share::FairShares;
/// let (flood, small): (Arc<str>, Arc<str>) = ("flood".into(), "small".into());
/// let mut shares = FairShares::default();
/// let now = Duration::from_secs(1);
/// shares.record_requested(now, &flood, 9_000);
/// shares.record_admitted(now, &flood, 5_000);
/// shares.record_requested(now, &small, 1_000);
/// shares.record_admitted(now, &small, 1_000);
/// assert!(shares.pressure(now, &flood).unwrap() > 0.99);
/// assert!(shares.pressure(now, &small).unwrap() < 0.3);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    by_account: BTreeMap<Arc<str>, AccountTotals>,
    /// Demand of all accounts at this entry.
    local_demand: f64,
    /// Mean size of the requests at this entry, in service units.
    mean_units: f64,
    decayed_at: Duration,
    /// Capacity stated by the operator, in service units per [`DECAY_TIME`].
    stated_capacity: f64,
    level: Option<f64>,
    level_due: Duration,
}

impl FairShares {
    /// Records the demand of a request of `units` service units.
    pub fn record_requested(&mut self, now: Duration, account: &Arc<str>, units: u64) {
        self.decay(now);
        let used = self.by_account.entry(account.clone()).or_default();
        used.add_demand(units);
        used.unreported_demand += units;
        self.local_demand += units as f64;
        if self.mean_units == 0.0 {
            self.mean_units = units as f64;
        }
        self.mean_units += (units as f64 - self.mean_units) * MEAN_WEIGHT;
    }

    /// Records that a request of `units` service units is sent to an upstream.
    pub fn record_admitted(&mut self, now: Duration, account: &Arc<str>, units: u64) {
        self.decay(now);
        let used = self.by_account.entry(account.clone()).or_default();
        used.add_admitted(units);
        used.unreported_admitted += units;
    }

    /// Applies the usage at the other entries.
    pub fn apply_remote(&mut self, now: Duration, report: &EntryLoadReport) {
        self.decay(now);
        for other in &report.accounts {
            let used = self.by_account.entry(other.account.as_str().into());
            let used = used.or_default();
            used.add_demand(other.requested);
            used.add_admitted(other.admitted);
        }
    }

    /// Sets the capacity of all engines together that the operator states, in service units per
    /// second.
    pub fn set_capacity(&mut self, units_per_s: f64) {
        self.stated_capacity = units_per_s * DECAY_TIME.as_secs_f64();
    }

    /// This entry's share of the demand at all entries.
    pub fn local_share(&mut self, now: Duration) -> f64 {
        self.decay(now);
        let total_demand: f64 = self.by_account.values().map(|u| u.demand).sum();
        self.local_demand / total_demand.max(MIN_UNITS)
    }

    /// Usage at this entry since its last report.
    pub fn report(&mut self) -> Vec<AccountDemand> {
        let mut reports = Vec::new();
        for (account, used) in &mut self.by_account {
            let report = AccountDemand {
                account: account.to_string(),
                requested: std::mem::take(&mut used.unreported_demand),
                admitted: std::mem::take(&mut used.unreported_admitted),
            };
            if report.requested > 0 || report.admitted > 0 {
                reports.push(report);
            }
        }
        reports
    }

    /// The account's admitted units relative to the level: above 1 it has more than its fair share. What
    /// it had far beyond its share is forgotten soon. None while the fleet is not saturated.
    pub fn pressure(&mut self, now: Duration, account: &str) -> Option<f64> {
        let level = self.level(now)?;
        let charged = self.by_account.get(account).map_or(0.0, |u| u.charged);
        Some(charged / level.max(MIN_UNITS))
    }

    /// Fraction of the account's demand that is within its fair share: 1 for an account at or below
    /// it, and while the fleet is not saturated or its capacity is not stated.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::share::FairShares;
    /// let flood: Arc<str> = "flood".into();
    /// let mut shares = FairShares::default();
    /// shares.set_capacity(1_000.0);
    /// let now = Duration::from_secs(1);
    /// shares.record_requested(now, &flood, 8_000);
    /// shares.record_admitted(now, &flood, 2_000);
    /// assert_eq!(shares.fair_fraction(now, &flood), 0.25);
    /// ```
    pub fn fair_fraction(&mut self, now: Duration, account: &str) -> f64 {
        if self.stated_capacity <= 0.0 {
            return 1.0;
        }
        let level = self.level(now);
        let used = self.by_account.get(account);
        match (level, used) {
            (Some(level), Some(used)) => {
                let demand = used.present_demand(self.mean_units);
                (level / demand.max(MIN_UNITS)).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Time after which an account with this pressure is back at its share if nothing more of it is
    /// admitted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::share::FairShares;
    /// assert_eq!(FairShares::recovery_time(1.0), Duration::ZERO);
    /// assert!(FairShares::recovery_time(3.0) < Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn recovery_time(pressure: f64) -> Duration {
        let debt = DECAY_TIME.mul_f64(pressure.clamp(1.0, MAX_DEBT).ln());
        let excess = RECENT_TIME.mul_f64((pressure / MAX_DEBT).max(1.0).ln());
        debt + excess
    }

    /// The level, computed at intervals.
    fn level(&mut self, now: Duration) -> Option<f64> {
        self.decay(now);
        if now >= self.level_due {
            self.level_due = now + LEVEL_INTERVAL;
            self.level = self.compute_level();
        }
        self.level
    }

    /// Max-min fair level: if each account gets the lesser of it and its demand, the sum is what
    /// was served. None while the fleet is not saturated.
    fn compute_level(&self) -> Option<f64> {
        let total_demand: f64 = self.by_account.values().map(|u| u.demand).sum();
        let admitted: f64 = self.by_account.values().map(|u| u.admitted).sum();
        if admitted >= total_demand * (1.0 - MIN_REFUSED_SHARE) {
            return None;
        }
        let mut demands: Vec<f64> = self.by_account.values().map(|u| u.demand).collect();
        demands.sort_by(f64::total_cmp);
        let mut left = admitted.max(self.stated_capacity * MIN_SERVED_SHARE);
        let mut accounts = demands.len() as f64;
        for demand in demands {
            let even_share = left / accounts;
            if demand > even_share {
                return Some(even_share);
            }
            left -= demand;
            accounts -= 1.0;
        }
        None
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at);
        if passed < LEVEL_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let remaining = decay(passed, DECAY_TIME);
        let recent_remaining = decay(passed, RECENT_TIME);
        self.local_demand *= remaining;
        let max_debt = self.level.map_or(f64::INFINITY, |level| level * MAX_DEBT);
        for used in self.by_account.values_mut() {
            used.demand *= remaining;
            used.recent_demand *= recent_remaining;
            used.admitted *= remaining;
            used.charged *= remaining;
            let excess = (used.charged - max_debt).max(0.0);
            used.charged -= excess * (1.0 - recent_remaining);
        }
        let is_used = |u: &AccountTotals| {
            u.demand > MIN_UNITS || u.unreported_demand > 0 || u.unreported_admitted > 0
        };
        self.by_account.retain(|_, used| is_used(used));
    }
}
