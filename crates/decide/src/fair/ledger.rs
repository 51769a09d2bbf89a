//! A sidecar's view of service: what it has counted and the queues of its pools, kept in step.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits, Weight};

use super::served::Served;
use super::{ChoicePolicy, FairQueue, VirtualService, Waiting};
use crate::estimate::{CostEstimator, RunCharge, Settlement};

/// Charges runs, learns of service elsewhere and chooses the account that goes next.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::fair::{ChoicePolicy, FairLedger, Waiting};
/// use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits};
/// # fn main() -> Result<(), coltsfootnotch_types::NameError> {
/// let (pool, bistro) = (PoolName::new("menu-writer")?, AccountName::new("bistro")?);
/// let mut ledger = FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000));
/// let now = Duration::ZERO;
/// ledger.set_waiting(&pool, &bistro, Waiting::new(1, now), now);
/// let chosen = ledger.choose(&pool).cloned().expect("one account waits");
/// let mut run = ledger.start(&chosen, Some(ServiceUnits(100)));
/// ledger.stream(&mut run, ServiceUnits(40));
/// ledger.settle(run);
/// assert_eq!(ledger.take_unsent(), [(bistro, ServiceUnits(40))]);
/// # Ok(()) }
/// ```
#[derive(Debug, Clone)]
pub struct FairLedger {
    policy: ChoicePolicy,
    horizon: VirtualService,
    weights: HashMap<AccountName, Weight>,
    served: Served,
    queues: BTreeMap<PoolName, FairQueue>,
    estimator: CostEstimator,
}

impl FairLedger {
    /// A ledger with no history.
    ///
    /// `horizon`, in units at weight 1, is the furthest two waiting accounts may stand apart; see
    /// [`FairnessBound::horizon`](super::FairnessBound::horizon).
    #[must_use]
    pub fn new(policy: ChoicePolicy, horizon: ServiceUnits) -> Self {
        Self {
            policy,
            horizon: VirtualService::of(horizon, Weight::DEFAULT),
            weights: HashMap::new(),
            served: Served::default(),
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
        let (policy, horizon) = (self.policy, self.horizon);
        let new_queue = || FairQueue::new(policy, horizon);
        let queue = self.queues.entry(pool.clone()).or_insert_with(new_queue);
        queue.set_waiting(account, waiting, now);
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

    /// Charges what a run that starts now is expected to use; `hint` is what was said of its cost.
    pub fn start(&mut self, account: &AccountName, hint: Option<ServiceUnits>) -> RunCharge {
        let estimate = self.estimator.estimate(account, hint);
        let run = RunCharge::new(account.clone(), self.weight(account), hint, estimate);
        self.charge(&run, estimate);
        run
    }

    /// Notes that a run has used `total` since its start, and charges what its estimate didn't cover.
    pub fn stream(&mut self, run: &mut RunCharge, total: ServiceUnits) {
        let used = run.use_total(total);
        self.served.add_here(run.account(), used.more);
        if used.beyond > ServiceUnits(0) {
            self.charge(run, used.beyond);
        }
    }

    /// Ends a run, finished, cancelled or failed: gives back what it was charged and did not use.
    pub fn settle(&mut self, run: RunCharge) {
        let end = run.end();
        self.give_back(&end);
        self.estimator.learn(&end.account, end.hint, end.used);
    }

    /// Ends the charge of a run that never started: gives all of it back and learns nothing of it.
    ///
    /// A slot that asks for work is best charged to the account it asks for at once. Several slots
    /// that come free together would otherwise all ask for the same account.
    ///
    /// # Panics
    /// If the run has used anything.
    pub fn abandon(&mut self, run: RunCharge) {
        let end = run.end();
        assert_eq!(end.used, ServiceUnits(0), "an abandoned run never started");
        self.give_back(&end);
    }

    /// Takes in totals of service that all other hosts gave.
    pub fn learn_elsewhere<'a>(
        &mut self,
        totals: impl IntoIterator<Item = (&'a AccountName, ServiceUnits)>,
    ) {
        for (account, total) in totals {
            let grown = self.served.learn_elsewhere(account, total);
            let more = VirtualService::of(grown, self.weight(account));
            for queue in self.queues.values_mut() {
                if queue.contains(account) {
                    queue.add_elsewhere(account, more);
                }
            }
        }
    }

    /// Takes the service given here since the last call, for the relay.
    pub fn take_unsent(&mut self) -> Vec<(AccountName, ServiceUnits)> {
        self.served.take_unsent()
    }

    /// Service of an account in all, as far as it is known here.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        self.served.total(account)
    }

    fn charge(&mut self, run: &RunCharge, units: ServiceUnits) {
        let more = VirtualService::of(units, run.weight());
        self.add_here(run.account(), more);
    }

    fn give_back(&mut self, end: &Settlement) {
        let unused = VirtualService::of(end.unused, end.weight);
        self.add_here(&end.account, VirtualService::ZERO - unused);
    }

    fn add_here(&mut self, account: &AccountName, more: VirtualService) {
        for queue in self.queues.values_mut() {
            if queue.contains(account) {
                queue.add_here(account, more);
            }
        }
    }
}
