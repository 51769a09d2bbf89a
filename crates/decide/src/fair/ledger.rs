//! Service accounting and fair queues of one sidecar.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits, Weight};

use super::service_totals::ServiceTotals;
use super::{Backlog, ChoicePolicy, FairQueue, VirtualService};
use crate::estimate::{CostEstimator, RunCharge, Settlement};

/// Charges runs, merges remote service and chooses the account to serve next.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
/// use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits};
/// # fn main() -> Result<(), coltsfootnotch_types::NameError> {
/// let (pool, bistro) = (PoolName::new("menu-writer")?, AccountName::new("bistro")?);
/// let mut ledger = FairLedger::new(ChoicePolicy::Fair, ServiceUnits(1_000_000));
/// let now = Duration::ZERO;
/// ledger.set_backlog(&pool, &bistro, Backlog::new(1, now), now);
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
    service: ServiceTotals,
    queues: BTreeMap<PoolName, FairQueue>,
    estimator: CostEstimator,
}

impl FairLedger {
    /// A ledger with no history.
    ///
    /// `horizon`, in units at weight 1, is the largest difference between two waiting accounts; see
    /// [`FairnessBound::horizon`](super::FairnessBound::horizon).
    #[must_use]
    pub fn new(policy: ChoicePolicy, horizon: ServiceUnits) -> Self {
        Self {
            policy,
            horizon: VirtualService::of(horizon, Weight::DEFAULT),
            weights: HashMap::new(),
            service: ServiceTotals::default(),
            queues: BTreeMap::new(),
            estimator: CostEstimator::new(),
        }
    }

    /// Sets the weight of an account. Runs in progress keep the weight that they started with.
    pub fn set_weight(&mut self, account: &AccountName, weight: Weight) {
        self.weights.insert(account.clone(), weight);
    }

    /// Weight of an account, [`Weight::DEFAULT`] unless set.
    #[must_use]
    pub fn weight(&self, account: &AccountName) -> Weight {
        let weight = self.weights.get(account).copied();
        weight.unwrap_or(Weight::DEFAULT)
    }

    /// Sets the backlog of an account in a pool, summed over all entries.
    pub fn set_backlog(
        &mut self,
        pool: &PoolName,
        account: &AccountName,
        backlog: Backlog,
        now: Duration,
    ) {
        let (policy, horizon) = (self.policy, self.horizon);
        let new_queue = || FairQueue::new(policy, horizon);
        let queue = self.queues.entry(pool.clone()).or_insert_with(new_queue);
        queue.set_backlog(account, backlog, now);
    }

    /// The waiting account of a pool to serve next.
    #[must_use]
    pub fn choose(&self, pool: &PoolName) -> Option<&AccountName> {
        self.queues.get(pool)?.choose()
    }

    /// Waiting accounts of a pool in the order in which they are served.
    pub fn ranked(&self, pool: &PoolName) -> impl Iterator<Item = &AccountName> {
        self.queues
            .get(pool)
            .into_iter()
            .flat_map(FairQueue::ranked)
    }

    /// Queue of a pool; `None` before the first [`set_backlog`](Self::set_backlog) for it.
    #[must_use]
    pub fn queue(&self, pool: &PoolName) -> Option<&FairQueue> {
        self.queues.get(pool)
    }

    /// Charges the estimated cost of a run that starts; `hint` is the caller's estimate.
    pub fn start(&mut self, account: &AccountName, hint: Option<ServiceUnits>) -> RunCharge {
        let estimate = self.estimator.estimate(account, hint);
        let run = RunCharge::new(account.clone(), self.weight(account), hint, estimate);
        self.charge(&run, estimate);
        run
    }

    /// Records that a run has used `total` since its start and charges the part above its estimate.
    pub fn stream(&mut self, run: &mut RunCharge, total: ServiceUnits) {
        let usage = run.record_usage(total);
        self.service.add_local(run.account(), usage.added);
        if usage.over_estimate > ServiceUnits(0) {
            self.charge(run, usage.over_estimate);
        }
    }

    /// Settles a run that finished, failed or was cancelled: refunds the unused part of its charge.
    pub fn settle(&mut self, run: RunCharge) {
        let settlement = run.settle();
        self.refund_unused(&settlement);
        self.estimator
            .record(&settlement.account, settlement.hint, settlement.used);
    }

    /// Refunds the whole charge of a run that never started, without an update of the estimator.
    ///
    /// A pull is charged before its run starts, so that several slots that become free together
    /// pull for different accounts.
    ///
    /// # Panics
    /// If the run has used anything.
    pub fn refund(&mut self, run: RunCharge) {
        let settlement = run.settle();
        assert_eq!(
            settlement.used,
            ServiceUnits(0),
            "a refunded run has used no service"
        );
        self.refund_unused(&settlement);
    }

    /// Merges totals of the service that all other hosts have given.
    pub fn merge_remote<'a>(
        &mut self,
        totals: impl IntoIterator<Item = (&'a AccountName, ServiceUnits)>,
    ) {
        for (account, total) in totals {
            let increase = self.service.merge_remote(account, total);
            let more = VirtualService::of(increase, self.weight(account));
            for queue in self.queues.values_mut() {
                if queue.contains(account) {
                    queue.add_remote(account, more);
                }
            }
        }
    }

    /// Takes the local service since the last call, for the relay.
    pub fn take_unsent(&mut self) -> Vec<(AccountName, ServiceUnits)> {
        self.service.take_unsent()
    }

    /// Total service of an account, local and remote.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        self.service.total(account)
    }

    fn charge(&mut self, run: &RunCharge, units: ServiceUnits) {
        let more = VirtualService::of(units, run.weight());
        self.add_local(run.account(), more);
    }

    fn refund_unused(&mut self, settlement: &Settlement) {
        let unused = VirtualService::of(settlement.unused, settlement.weight);
        self.add_local(&settlement.account, VirtualService::ZERO - unused);
    }

    fn add_local(&mut self, account: &AccountName, more: VirtualService) {
        for queue in self.queues.values_mut() {
            if queue.contains(account) {
                queue.add_local(account, more);
            }
        }
    }
}
