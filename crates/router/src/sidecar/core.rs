//! The sidecar core: slots come free, work is pulled into them, and every start is decided here.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, Begin, BeginCause, FromSidecar, NotStartedReason, ToSidecar};

use super::{Dispatched, PULL_TIMEOUT, PullTable, Reserved, Served, UpstreamTable, WaitTable};

/// How many accounts a pull names: the first may have been emptied by another sidecar meanwhile.
const RANKED_ACCOUNTS: usize = 4;

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SidecarAction {
    /// Send a control message to an entry.
    Send {
        /// The entry.
        to: HostName,
        /// The message.
        message: FromSidecar,
    },
    /// End an attempt that runs: its caller has gone.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

#[derive(Debug)]
struct Running {
    account: AccountName,
    upstream: UpstreamName,
    charged: ServiceUnits,
    estimate: ServiceUnits,
    first_piece: Option<Duration>,
}

/// Slots, waiting work and service as one sidecar knows them.
#[derive(Debug)]
pub struct SidecarCore {
    me: Incarnation,
    upstreams: UpstreamTable,
    waits: WaitTable,
    pulls: PullTable,
    served: Served,
    weights: BTreeMap<AccountName, Weight>,
    running: HashMap<AttemptId, Running>,
    dispatched: Dispatched,
    entries: BTreeMap<HostName, Told>,
    leaving: bool,
    actions: Vec<SidecarAction>,
}

impl SidecarCore {
    /// A sidecar core with no upstream and nothing waiting.
    #[must_use]
    pub fn new(me: Incarnation) -> Self {
        Self {
            me,
            upstreams: UpstreamTable::default(),
            waits: WaitTable::default(),
            pulls: PullTable::default(),
            served: Served::default(),
            weights: BTreeMap::new(),
            running: HashMap::new(),
            dispatched: Dispatched::default(),
            entries: BTreeMap::new(),
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// The upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// The upstreams, to be changed; the next [`SidecarCore::take_actions`] pulls into new slots.
    pub fn upstreams_mut(&mut self) -> &mut UpstreamTable {
        &mut self.upstreams
    }

    /// Service per account.
    pub fn served_mut(&mut self) -> &mut Served {
        &mut self.served
    }

    /// Accounts that wait anywhere, whose totals are worth knowing.
    #[must_use]
    pub fn watched(&self) -> Vec<AccountName> {
        self.waits.all_accounts().into_iter().collect()
    }

    /// Takes in the weights of the configuration in force.
    pub fn set_weights(&mut self, weights: BTreeMap<AccountName, Weight>) {
        self.weights = weights;
    }

    /// Starts to leave: no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Attempts in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// A connection from an entry came up.
    pub fn entry_up(&mut self, entry: HostName) {
        self.waits.forget(&entry);
        self.entries.insert(entry, Told::default());
    }

    /// The connection from an entry is gone: its pulls end, its waiting work is forgotten.
    pub fn entry_down(&mut self, now: Duration, entry: &HostName) {
        self.entries.remove(entry);
        self.waits.forget(entry);
        self.end_pulls(now, Some(entry));
    }

    /// Takes in a message from an entry.
    pub fn on_message(&mut self, now: Duration, from: &HostName, message: ToSidecar) {
        match message {
            ToSidecar::Waits {
                pool,
                full,
                changes,
            } => {
                self.waits.update(from, &pool, full, &changes);
            }
            ToSidecar::Nothing { pull } => {
                if let Some(reserved) = self.pulls.release(pull) {
                    self.unreserve(&reserved);
                }
            }
            ToSidecar::Cancel { attempt } => {
                self.actions.push(SidecarAction::Cancel { attempt });
            }
            ToSidecar::Disown { attempt } => self.disown(now, from, attempt),
        }
        self.end_pulls(now, None);
    }

    /// Decides whether an attempt starts, and on which upstream.
    ///
    /// This is the one place that decides: after `Ok` the upstream may see the request, after `Err`
    /// it never will by this attempt.
    ///
    /// # Errors
    /// Returns the reason for which the attempt is not started.
    pub fn begin(
        &mut self,
        now: Duration,
        from: &HostName,
        begin: &Begin,
    ) -> Result<UpstreamName, NotStartedReason> {
        if begin.sidecar != self.me {
            return Err(NotStartedReason::OtherIncarnation);
        }
        if self.running.contains_key(&begin.attempt) {
            return Err(NotStartedReason::Duplicate);
        }
        self.count_offer(from, begin);
        let upstream = self.slot_for(now, begin)?;
        if !begin.repeatable && !self.dispatched.dispatch(begin.attempt) {
            return Err(NotStartedReason::Duplicate);
        }
        let slots = self
            .upstreams
            .get_mut(&upstream)
            .ok_or(NotStartedReason::Leaving)?;
        slots.running += 1;
        self.served.charge(&begin.account, begin.estimate);
        let running = Running {
            account: begin.account.clone(),
            upstream: upstream.clone(),
            charged: begin.estimate,
            estimate: begin.estimate,
            first_piece: None,
        };
        self.running.insert(begin.attempt, running);
        Ok(upstream)
    }

    /// Charges service beyond the estimate while an attempt runs; `total` is its service so far.
    pub fn progress(&mut self, attempt: AttemptId, total: ServiceUnits) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        if total > running.charged {
            let more = ServiceUnits(total.0 - running.charged.0);
            running.charged = total;
            self.served.charge(&running.account, more);
        }
    }

    /// Settles an attempt that has ended and frees its slot.
    ///
    /// Counters only grow, so that they merge in any order: what the estimate charged too much is
    /// not taken back but returned, to lower the next estimate of the account.
    pub fn finish(&mut self, attempt: AttemptId, total: ServiceUnits) -> ServiceUnits {
        self.progress(attempt, total);
        let Some(running) = self.running.remove(&attempt) else {
            return ServiceUnits(0);
        };
        if let Some(slots) = self.upstreams.get_mut(&running.upstream) {
            assert!(
                slots.running > 0,
                "an upstream ends more attempts than it began"
            );
            slots.running -= 1;
        }
        ServiceUnits(running.estimate.0.saturating_sub(total.0))
    }

    /// The first piece of an attempt's answer has come.
    pub fn first_piece(&mut self, now: Duration, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.first_piece = Some(now);
        }
    }

    /// The upstream that runs an attempt.
    #[must_use]
    pub fn upstream_of(&self, attempt: AttemptId) -> Option<&UpstreamName> {
        self.running.get(&attempt).map(|running| &running.upstream)
    }

    /// Takes in prefixes that an upstream of the pool has cached, to be told to the entries.
    pub fn learn_cached(&mut self, pool: &PoolName, prefixes: &[u64]) {
        for told in self.entries.values_mut() {
            let cached = told.cached.entry(pool.clone()).or_default();
            cached.extend(prefixes);
        }
    }

    /// Ends expired reservations and forgets silent upstreams.
    pub fn tick(&mut self, now: Duration) {
        self.end_pulls(now, None);
        self.dispatched.tick(now);
        self.upstreams.forget_silent(now);
    }

    /// Takes the actions that have come up: pulls for free slots, and news of free slots.
    pub fn take_actions(&mut self, now: Duration) -> Vec<SidecarAction> {
        for pool in self.upstreams.pools(now).into_keys() {
            while self.pull_one(now, &pool) {}
        }
        self.tell_free(now);
        std::mem::take(&mut self.actions)
    }

    fn slot_for(&mut self, now: Duration, begin: &Begin) -> Result<UpstreamName, NotStartedReason> {
        match begin.cause {
            BeginCause::Pull { pull } => {
                let reserved = self
                    .pulls
                    .take(now, pull)
                    .ok_or(NotStartedReason::PullExpired)?;
                self.unreserve(&reserved);
                Ok(reserved.upstream)
            }
            BeginCause::Offer if self.leaving => Err(NotStartedReason::Leaving),
            BeginCause::Offer if !begin.repeatable => Err(NotStartedReason::PullExpired),
            BeginCause::Offer => self
                .upstreams
                .freest(now, &begin.pool)
                .ok_or(NotStartedReason::Busy),
            BeginCause::Resume { .. } => Err(NotStartedReason::Duplicate),
        }
    }

    /// Keeps what an entry believes to be free in step: it takes off one slot with each offer.
    fn count_offer(&mut self, from: &HostName, begin: &Begin) {
        let told = self.entries.get_mut(from);
        let told = told.and_then(|told| told.free.get_mut(&begin.pool));
        if let (BeginCause::Offer, Some(slots)) = (begin.cause, told) {
            *slots = slots.saturating_sub(1);
        }
    }

    fn pull_one(&mut self, now: Duration, pool: &PoolName) -> bool {
        if self.leaving {
            return false;
        }
        let Some(upstream) = self.upstreams.freest(now, pool) else {
            return false;
        };
        let ranked = self.ranked(pool);
        let choice = ranked.iter().find_map(|account| {
            let entry = self
                .waits
                .entry_for(pool, account, |entry| self.asked(pool, account, entry));
            Some((account.clone(), entry?))
        });
        let Some((account, entry)) = choice else {
            return false;
        };
        let accounts = ranked
            .into_iter()
            .skip_while(|ranked| *ranked != account)
            .filter(|ranked| self.waits.waits_at(pool, ranked, &entry))
            .take(RANKED_ACCOUNTS)
            .collect();
        let pool = pool.clone();
        if let Some(slots) = self.upstreams.get_mut(&upstream) {
            slots.reserved += 1;
        }
        let until = now + PULL_TIMEOUT;
        let reserved = Reserved {
            entry: entry.clone(),
            account,
            pool: pool.clone(),
            upstream,
            until,
        };
        let pull = self.pulls.reserve(reserved);
        let message = FromSidecar::Pull {
            pull,
            pool,
            accounts,
        };
        self.actions
            .push(SidecarAction::Send { to: entry, message });
        true
    }

    fn ranked(&self, pool: &PoolName) -> Vec<AccountName> {
        let mut ranked: Vec<_> = self
            .waits
            .accounts(pool)
            .map(|account| (self.virtual_service(account), account.clone()))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, account)| account).collect()
    }

    fn virtual_service(&self, account: &AccountName) -> u64 {
        let weight = self
            .weights
            .get(account)
            .copied()
            .unwrap_or(Weight::DEFAULT);
        self.served.total(account).0 * 1000 / u64::from(weight.get())
    }

    fn asked(&self, pool: &PoolName, account: &AccountName, entry: &HostName) -> u32 {
        let same = |reserved: &&Reserved| {
            reserved.pool == *pool && reserved.account == *account && reserved.entry == *entry
        };
        u32::try_from(self.pulls.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    fn unreserve(&mut self, reserved: &Reserved) {
        if let Some(slots) = self.upstreams.get_mut(&reserved.upstream) {
            assert!(
                slots.reserved > 0,
                "an upstream frees more slots than it reserved"
            );
            slots.reserved -= 1;
        }
    }

    fn end_pulls(&mut self, now: Duration, gone: Option<&HostName>) {
        for (_, reserved) in self.pulls.expire(now, gone) {
            self.unreserve(&reserved);
        }
    }

    fn disown(&mut self, now: Duration, from: &HostName, attempt: AttemptId) {
        let never = self.dispatched.disown(now, attempt);
        let message = FromSidecar::Disowned { attempt, never };
        let to = from.clone();
        self.actions.push(SidecarAction::Send { to, message });
    }

    /// Tells every entry the free slots of each pool, when they have changed between none and some
    /// or by a power of two.
    fn tell_free(&mut self, now: Duration) {
        let free: Vec<(PoolName, u32)> = self
            .upstreams
            .pools(now)
            .into_keys()
            .map(|pool| {
                let slots = if self.leaving {
                    0
                } else {
                    self.upstreams.free(now, &pool)
                };
                (pool, slots)
            })
            .collect();
        for (entry, told) in &mut self.entries {
            for (pool, slots) in &free {
                let cached = told.cached.remove(pool).unwrap_or_default();
                let same = told
                    .free
                    .get(pool)
                    .is_some_and(|last| magnitude(*last) == magnitude(*slots));
                if same && cached.is_empty() {
                    continue;
                }
                told.free.insert(pool.clone(), *slots);
                let message = FromSidecar::Free {
                    pool: pool.clone(),
                    slots: *slots,
                    cached,
                };
                let to = entry.clone();
                self.actions.push(SidecarAction::Send { to, message });
            }
        }
    }
}

/// What one entry has been told, and is to be told next.
#[derive(Debug, Default)]
struct Told {
    free: BTreeMap<PoolName, u32>,
    cached: BTreeMap<PoolName, Vec<u64>>,
}

/// Bits of a count: two counts of the same size are told as one.
fn magnitude(count: u32) -> u32 {
    u32::BITS - count.leading_zeros()
}
