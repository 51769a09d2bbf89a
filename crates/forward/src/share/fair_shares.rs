//! What each account asked for and got, here and at the other entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{AccountUse, LoadWord};

use crate::load::fade;

/// Time in which use loses about two thirds of its weight. Half of the window of some seconds over
/// which operators judge shares, so that an account's share follows its demand within the window and
/// a single large request does not push it over.
pub(crate) const MEMORY: Duration = Duration::from_millis(2_000);

/// Share of what was asked that must have been refused before there is a level at all. Below it the
/// refusals are those of single full upstreams, not of a fleet that is short.
const SHORTAGE: f64 = 0.03;

/// Share of the operator's figure that counts as done even if less was. After an outage nothing was, and
/// a level of nothing would let nothing in; an engine that can't do it says so by what waits there.
const SURELY_DONE: f64 = 0.5;

/// Between two computations of the level.
const LEVEL_EVERY: Duration = Duration::from_millis(50);

/// Least use that is kept in mind, in service units.
const FORGET_BELOW: f64 = 1.0;

#[derive(Debug, Clone, Copy, Default)]
struct Use {
    asked: f64,
    admitted: f64,
    /// Of this entry alone, since the last report.
    own_asked: u64,
    own_admitted: u64,
}

/// What each account asked for and got lately, over the whole fleet.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use coltsfootnotch_forward::share::FairShares;
/// let (flood, small): (Arc<str>, Arc<str>) = ("flood".into(), "small".into());
/// let mut shares = FairShares::default();
/// let now = Duration::from_secs(1);
/// shares.ask(now, &flood, 9_000);
/// shares.admit(now, &flood, 5_000);
/// shares.ask(now, &small, 1_000);
/// shares.admit(now, &small, 1_000);
/// assert!(shares.pressure(now, &flood).unwrap() > 0.99);
/// assert!(shares.pressure(now, &small).unwrap() < 0.3);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    by_account: BTreeMap<Arc<str>, Use>,
    /// What was asked at this entry, of all accounts.
    asked_here: f64,
    faded_at: Duration,
    /// What the engines can do within [`MEMORY`], by the operator's figure.
    stated: f64,
    level: Option<f64>,
    level_due: Duration,
}

impl FairShares {
    /// A request of `units` asks to be served.
    pub fn ask(&mut self, now: Duration, account: &Arc<str>, units: u64) {
        self.fade(now);
        let used = self.by_account.entry(account.clone()).or_default();
        used.asked += units as f64;
        used.own_asked += units;
        self.asked_here += units as f64;
    }

    /// A request of `units` is sent to an upstream.
    pub fn admit(&mut self, now: Duration, account: &Arc<str>, units: u64) {
        self.fade(now);
        let used = self.by_account.entry(account.clone()).or_default();
        used.admitted += units as f64;
        used.own_admitted += units;
    }

    /// Takes in what happened at the other entries.
    pub fn take_others(&mut self, now: Duration, word: &LoadWord) {
        self.fade(now);
        for other in &word.accounts {
            let used = self.by_account.entry(other.account.as_str().into());
            let used = used.or_default();
            used.asked += other.asked as f64;
            used.admitted += other.admitted as f64;
        }
    }

    /// The operator states what all engines together can do, in units a second.
    pub fn state_capacity(&mut self, units_per_s: f64) {
        self.stated = units_per_s * MEMORY.as_secs_f64();
    }

    /// Part of what all entries are asked that this one is.
    pub fn part_here(&mut self, now: Duration) -> f64 {
        self.fade(now);
        let asked: f64 = self.by_account.values().map(|u| u.asked).sum();
        self.asked_here / asked.max(FORGET_BELOW)
    }

    /// What happened here since the last report.
    pub fn report(&mut self) -> Vec<AccountUse> {
        let mut words = Vec::new();
        for (account, used) in &mut self.by_account {
            let word = AccountUse {
                account: account.to_string(),
                asked: std::mem::take(&mut used.own_asked),
                admitted: std::mem::take(&mut used.own_admitted),
            };
            if word.asked > 0 || word.admitted > 0 {
                words.push(word);
            }
        }
        words
    }

    /// What the account got against the level: above 1 it has more than its fair share. None while the
    /// fleet is not short.
    pub fn pressure(&mut self, now: Duration, account: &str) -> Option<f64> {
        let level = self.level(now)?;
        let admitted = self.by_account.get(account).map_or(0.0, |u| u.admitted);
        Some(admitted / level.max(FORGET_BELOW))
    }

    /// Part of what the account asks for that is its fair share: 1 for one that asks no more, and while
    /// the fleet is not short or nobody stated what the engines can do.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::share::FairShares;
    /// let flood: Arc<str> = "flood".into();
    /// let mut shares = FairShares::default();
    /// shares.state_capacity(1_000.0);
    /// let now = Duration::from_secs(1);
    /// shares.ask(now, &flood, 8_000);
    /// shares.admit(now, &flood, 2_000);
    /// assert_eq!(shares.fraction(now, &flood), 0.25);
    /// ```
    pub fn fraction(&mut self, now: Duration, account: &str) -> f64 {
        if self.stated <= 0.0 {
            return 1.0;
        }
        let level = self.level(now);
        let used = self.by_account.get(account);
        match (level, used) {
            (Some(level), Some(used)) => (level / used.asked.max(FORGET_BELOW)).min(1.0),
            _ => 1.0,
        }
    }

    /// The level now; computed anew now and then.
    fn level(&mut self, now: Duration) -> Option<f64> {
        self.fade(now);
        if now >= self.level_due {
            self.level_due = now + LEVEL_EVERY;
            self.level = self.find_level();
        }
        self.level
    }

    /// The level at which giving each account the lesser of it and what the account asks gives away
    /// all that was served. None while the fleet is not short.
    fn find_level(&self) -> Option<f64> {
        let asked: f64 = self.by_account.values().map(|u| u.asked).sum();
        let admitted: f64 = self.by_account.values().map(|u| u.admitted).sum();
        if admitted >= asked * (1.0 - SHORTAGE) {
            return None;
        }
        let mut demands: Vec<f64> = self.by_account.values().map(|u| u.asked).collect();
        demands.sort_by(f64::total_cmp);
        let mut left = admitted.max(self.stated * SURELY_DONE);
        let mut accounts = demands.len() as f64;
        for demand in demands {
            let even = left / accounts;
            if demand > even {
                return Some(even);
            }
            left -= demand;
            accounts -= 1.0;
        }
        None
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.faded_at);
        if passed < LEVEL_EVERY {
            return;
        }
        self.faded_at = now;
        let left = fade(passed, MEMORY);
        self.asked_here *= left;
        for used in self.by_account.values_mut() {
            used.asked *= left;
            used.admitted *= left;
        }
        let is_used = |u: &Use| u.asked > FORGET_BELOW || u.own_asked > 0 || u.own_admitted > 0;
        self.by_account.retain(|_, used| is_used(used));
    }
}
