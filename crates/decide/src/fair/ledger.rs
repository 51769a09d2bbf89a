//! A sidecar's view of service: its counters and the queues of its pools, kept in step.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits, Weight};

use super::{ChoicePolicy, FairQueue, Waiting};
use crate::estimate::{CostEstimator, RunCharge};
use crate::service::{
    Cursor, OffsetRecord, Origin, ServiceCounters, ServiceDelta, ServiceNews, VirtualService,
};

/// Charges runs, learns of service elsewhere and chooses the account that goes next.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::fair::{ChoicePolicy, FairLedger, Waiting};
/// use coltsfootnotch_decide::service::{Cursor, Origin};
/// use coltsfootnotch_types::{AccountName, HostName, Incarnation, PoolName, ServiceUnits};
/// # fn main() -> Result<(), coltsfootnotch_types::NameError> {
/// let own = Origin::new(HostName::new("sidecar-1")?, Incarnation(1));
/// let (pool, bistro) = (PoolName::new("menu-writer")?, AccountName::new("bistro")?);
/// let mut ledger = FairLedger::new(own, ChoicePolicy::Fair, ServiceUnits(1_000_000));
/// let now = Duration::ZERO;
/// ledger.set_waiting(&pool, &bistro, Waiting::new(1, now), now);
/// let chosen = ledger.choose(&pool).cloned().expect("one account waits");
/// let mut run = ledger.start(&chosen, None);
/// ledger.stream(&mut run, ServiceUnits(40));
/// ledger.settle(run);
/// assert_eq!(ledger.counters().total(&bistro).service, ServiceUnits(40));
/// assert_eq!(ledger.delta_since(Cursor::default()).tallies.len(), 1);
/// # Ok(()) }
/// ```
#[derive(Debug, Clone)]
pub struct FairLedger {
    counters: ServiceCounters,
    policy: ChoicePolicy,
    horizon: VirtualService,
    weights: HashMap<AccountName, Weight>,
    elsewhere: HashMap<AccountName, VirtualService>,
    queues: BTreeMap<PoolName, FairQueue>,
    estimator: CostEstimator,
}

impl FairLedger {
    /// A ledger with no history.
    ///
    /// `horizon`, in units at weight 1, is the furthest two waiting accounts may stand apart; see
    /// [`FairnessBound::horizon`](super::FairnessBound::horizon).
    #[must_use]
    pub fn new(own: Origin, policy: ChoicePolicy, horizon: ServiceUnits) -> Self {
        Self {
            counters: ServiceCounters::new(own),
            policy,
            horizon: VirtualService::of(horizon, Weight::DEFAULT),
            weights: HashMap::new(),
            elsewhere: HashMap::new(),
            queues: BTreeMap::new(),
            estimator: CostEstimator::new(),
        }
    }

    /// Sets an account's weight; runs that have started keep the weight of their start.
    pub fn set_weight(&mut self, account: &AccountName, weight: Weight) {
        self.weights.insert(account.clone(), weight);
    }

    /// The weight of an account; one of which nothing was said has the default.
    #[must_use]
    pub fn weight(&self, account: &AccountName) -> Weight {
        let weight = self.weights.get(account).copied();
        weight.unwrap_or(Weight::DEFAULT)
    }

    /// Sets what waits of an account in a pool, over all entries.
    pub fn set_waiting(
        &mut self,
        pool: &PoolName,
        account: &AccountName,
        waiting: Waiting,
        now: Duration,
    ) {
        let queue = self.seeded_queue(pool, account);
        queue.set_waiting(account, waiting, now);
        self.collect_offsets();
    }

    /// The waiting account of a pool that goes next.
    #[must_use]
    pub fn choose(&self, pool: &PoolName) -> Option<&AccountName> {
        self.queues.get(pool)?.choose()
    }

    /// Waiting accounts of a pool, the one that goes next at the front.
    pub fn ranked(&self, pool: &PoolName) -> impl Iterator<Item = &AccountName> {
        self.queues
            .get(pool)
            .into_iter()
            .flat_map(FairQueue::ranked)
    }

    /// The queue of a pool, if anything ever waited in it.
    #[must_use]
    pub fn queue(&self, pool: &PoolName) -> Option<&FairQueue> {
        self.queues.get(pool)
    }

    /// Charges the estimate of a run that starts now.
    pub fn start(&mut self, account: &AccountName, hint: Option<ServiceUnits>) -> RunCharge {
        let estimate = self.estimator.estimate(account, hint);
        let weight = self.weight(account);
        let run = RunCharge::new(account.clone(), weight, hint, estimate);
        self.charge(&run, estimate);
        run
    }

    /// Charges what a run uses, as it streams, beyond its estimate.
    pub fn stream(&mut self, run: &mut RunCharge, units: ServiceUnits) {
        let beyond = run.use_units(units);
        if beyond > ServiceUnits(0) {
            self.charge(run, beyond);
        }
    }

    /// Ends a run, finished, cancelled or failed: gives back what it was charged and did not use.
    pub fn settle(&mut self, run: RunCharge) {
        let end = run.end();
        if end.unused > ServiceUnits(0) {
            let back = self.counters.refund(&end.account, end.weight, end.unused);
            self.add_own(&end.account, VirtualService::ZERO - back);
        }
        self.estimator.learn(&end.account, end.hint, end.used);
    }

    /// Takes in one message of a relay: offsets and sums of service on all other hosts.
    pub fn learn(&mut self, news: &ServiceNews) {
        for record in &news.offsets {
            self.learn_offset(record);
        }
        for sum in &news.sums {
            self.elsewhere.insert(sum.account.clone(), sum.normalised);
        }
        for queue in self.queues.values_mut() {
            let of_pool = news.sums.iter().filter(|s| queue.contains(&s.account));
            let sums: Vec<_> = of_pool.map(|s| (&s.account, s.normalised)).collect();
            queue.learn(sums);
        }
        self.collect_offsets();
    }

    /// What a relay has not yet acknowledged: service charged here and offsets set here.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> ServiceDelta {
        self.counters.delta_since(cursor)
    }

    /// The counters of service given here.
    #[must_use]
    pub fn counters(&self) -> &ServiceCounters {
        &self.counters
    }

    fn learn_offset(&mut self, record: &OffsetRecord) {
        let (pool, account) = (&record.pool, &record.account);
        if !self.counters.set_offset(pool, account, record.offset) {
            return;
        }
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.learn_offset(account, record.offset);
        }
    }

    fn charge(&mut self, run: &RunCharge, units: ServiceUnits) {
        let more = self.counters.charge(run.account(), run.weight(), units);
        self.add_own(run.account(), more);
    }

    fn add_own(&mut self, account: &AccountName, more: VirtualService) {
        for queue in self.queues.values_mut() {
            if queue.contains(account) {
                queue.add_own(account, more);
            }
        }
        self.collect_offsets();
    }

    /// The queue of a pool, in which `account` stands by all that is known of it.
    fn seeded_queue(&mut self, pool: &PoolName, account: &AccountName) -> &mut FairQueue {
        let by = self.counters.own().incarnation;
        let (policy, horizon) = (self.policy, self.horizon);
        let new_queue = || FairQueue::new(policy, horizon, by);
        let queue = self.queues.entry(pool.clone()).or_insert_with(new_queue);
        if !queue.contains(account) {
            let own = self.counters.tally(self.counters.own(), account);
            queue.add_own(account, own.normalised);
            queue.learn_offset(account, self.counters.offset(pool, account));
            let sum = self.elsewhere.get(account);
            queue.learn(sum.map(|s| (account, *s)));
        }
        queue
    }

    fn collect_offsets(&mut self) {
        for (pool, queue) in &mut self.queues {
            for (account, offset) in queue.take_moved() {
                self.counters.set_offset(pool, &account, offset);
            }
        }
    }
}
