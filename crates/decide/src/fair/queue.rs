//! Waiting accounts of one pool, ordered by virtual service.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::AccountName;

use super::account::{Account, Idle};
use super::{Backlog, ChoicePolicy, VirtualService};

/// How long an account may be idle and keep its deficit against the others.
///
/// The queue of a backlogged account can be empty for a moment between two requests, which must not
/// cost it the service that it is still owed.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Sort key and index of a waiting account.
pub(super) type OrderKey = (VirtualService, usize);

/// Waiting accounts of one pool in the order of their virtual service.
///
/// Every operation takes `O(log n)` for `n` accounts.
#[derive(Debug, Clone)]
pub struct FairQueue {
    pub(super) policy: ChoicePolicy,
    pub(super) horizon: VirtualService,
    accounts: Vec<Account>,
    index: HashMap<AccountName, usize>,
    pub(super) order: BTreeSet<OrderKey>,
    /// Highest virtual service of an account that was served, or became idle, while none waited.
    idle_floor: VirtualService,
}

impl FairQueue {
    /// An empty queue in which waiting accounts differ by at most `horizon`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairQueue, VirtualService};
    /// use coltsfootnotch_types::AccountName;
    /// let (flood, bistro) = (AccountName::new("flood")?, AccountName::new("bistro")?);
    /// let mut queue = FairQueue::new(ChoicePolicy::Fair, VirtualService(1_000_000));
    /// let now = Duration::ZERO;
    /// queue.set_backlog(&flood, Backlog::new(500, now), now);
    /// queue.set_backlog(&bistro, Backlog::new(1, now), now);
    /// queue.add_local(&flood, VirtualService(10));
    /// assert_eq!(queue.choose(), Some(&bistro));
    /// # Ok::<(), coltsfootnotch_types::NameError>(())
    /// ```
    #[must_use]
    pub fn new(policy: ChoicePolicy, horizon: VirtualService) -> Self {
        Self {
            policy,
            horizon,
            accounts: Vec::new(),
            index: HashMap::new(),
            order: BTreeSet::new(),
            idle_floor: VirtualService::ZERO,
        }
    }

    /// The waiting account to serve next.
    #[must_use]
    pub fn choose(&self) -> Option<&AccountName> {
        self.ranked().next()
    }

    /// Waiting accounts in the order in which they are served.
    pub fn ranked(&self) -> impl Iterator<Item = &AccountName> {
        self.order.iter().map(|(_, i)| &self.accounts[*i].name)
    }

    /// Number of waiting accounts.
    #[must_use]
    pub fn waiting_accounts(&self) -> usize {
        self.order.len()
    }

    /// Backlog of an account; empty if the account is unknown.
    #[must_use]
    pub fn backlog(&self, account: &AccountName) -> Backlog {
        let i = self.index.get(account);
        i.map(|i| self.accounts[*i].backlog).unwrap_or_default()
    }

    /// Whether the account has been seen in this pool.
    #[must_use]
    pub fn contains(&self, account: &AccountName) -> bool {
        self.index.contains_key(account)
    }

    /// Virtual service of an account; `None` if it has not been seen in this pool.
    #[must_use]
    pub fn virtual_service(&self, account: &AccountName) -> Option<VirtualService> {
        let i = *self.index.get(account)?;
        Some(self.accounts[i].virtual_service)
    }

    /// Sets the backlog of an account. An account that returns from idle gets no credit for that
    /// time.
    pub fn set_backlog(&mut self, account: &AccountName, backlog: Backlog, now: Duration) {
        let i = self.index_or_insert(account);
        let was_waiting = self.accounts[i].is_waiting();
        if was_waiting && backlog.count == 0 {
            self.on_idle(i, now);
            return;
        }
        if !was_waiting && backlog.count > 0 {
            self.raise_to_floor(i, now);
        }
        self.change(i, |a| a.backlog = backlog);
        self.limit_spread();
    }

    /// Adds service per weight given by the local host; negative for a refund.
    pub fn add_local(&mut self, account: &AccountName, more: VirtualService) {
        let i = self.index_or_insert(account);
        self.add(i, more);
    }

    /// Adds service per weight given by remote hosts.
    pub fn add_remote(&mut self, account: &AccountName, more: VirtualService) {
        if self.policy != ChoicePolicy::Fair {
            return;
        }
        let i = self.index_or_insert(account);
        // Remote service of an idle account is reported only after it waits here again. The raise
        // on its return covers that service already, so only the excess is added.
        let raised = std::mem::take(&mut self.accounts[i].raised);
        let beyond = (more - raised).max(VirtualService::ZERO);
        self.add(i, beyond);
    }

    fn add(&mut self, i: usize, more: VirtualService) {
        // Service given while no account waits raises the floor at which the next one starts.
        if self.order.is_empty() {
            self.idle_floor = self.idle_floor.max(self.accounts[i].virtual_service);
        }
        self.change(i, |a| a.virtual_service += more);
        self.limit_spread();
    }

    fn index_or_insert(&mut self, account: &AccountName) -> usize {
        if let Some(i) = self.index.get(account) {
            return *i;
        }
        let i = self.accounts.len();
        let floor = self.floor();
        self.accounts.push(Account::new(account.clone(), floor));
        self.index.insert(account.clone(), i);
        i
    }

    /// Changes an account and re-sorts it.
    fn change(&mut self, i: usize, update: impl FnOnce(&mut Account)) {
        let account = &mut self.accounts[i];
        if account.is_waiting() {
            self.order.remove(&(account.sort_key(self.policy), i));
        }
        update(account);
        if account.is_waiting() {
            self.order.insert((account.sort_key(self.policy), i));
        }
    }

    fn on_idle(&mut self, i: usize, now: Duration) {
        self.change(i, |a| a.backlog = Backlog::default());
        let virtual_service = self.accounts[i].virtual_service;
        let behind = (self.floor() - virtual_service).max(VirtualService::ZERO);
        self.accounts[i].idle = Some(Idle { since: now, behind });
        if self.order.is_empty() {
            self.idle_floor = self.idle_floor.max(virtual_service);
        }
    }

    /// Raises an account that starts to wait to the floor, less its deficit from before a short
    /// idle time.
    fn raise_to_floor(&mut self, i: usize, now: Duration) {
        if self.policy == ChoicePolicy::Fifo {
            return;
        }
        let idle = self.accounts[i].idle;
        let recent = idle.filter(|idle| now.saturating_sub(idle.since) <= IDLE_GRACE);
        let owed = recent.map(|idle| idle.behind).unwrap_or_default();
        let target = self.floor() - owed;
        let account = &mut self.accounts[i];
        account.raised = (target - account.virtual_service).max(VirtualService::ZERO);
        account.virtual_service += account.raised;
    }

    /// Lowest virtual service among the waiting accounts, or [`idle_floor`](Self::idle_floor) if
    /// none waits.
    fn floor(&self) -> VirtualService {
        let lowest = self.order.first();
        lowest.map_or(self.idle_floor, |(_, i)| self.accounts[*i].virtual_service)
    }

    pub(super) fn set_virtual_service(&mut self, i: usize, target: VirtualService) {
        self.change(i, |a| a.virtual_service = target);
    }
}
