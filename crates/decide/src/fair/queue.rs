//! The accounts that wait in one pool, ordered by who is furthest behind.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::AccountName;

use super::account::{Account, Left};
use super::{ChoicePolicy, VirtualService, Waiting};

/// How long an account may stop waiting and keep its place below the others.
///
/// The queue of a backlogged account runs empty for moments between two requests; lifting it each
/// time would cost it what it is owed. A second is several times the age of what hosts know of each
/// other, and what can be owed from one second is within the fairness bound.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// A waiting account: what it is ordered by, and its index.
pub(super) type Standing = (VirtualService, usize);

/// Waiting accounts of one pool in the order of their virtual service.
///
/// Every operation costs at most the logarithm of the number of accounts.
#[derive(Debug, Clone)]
pub struct FairQueue {
    pub(super) policy: ChoicePolicy,
    pub(super) horizon: VirtualService,
    accounts: Vec<Account>,
    index: HashMap<AccountName, usize>,
    pub(super) order: BTreeSet<Standing>,
    /// Place of the account that was served last while nobody waited.
    level: VirtualService,
}

impl FairQueue {
    /// An empty queue that never lets two waiting accounts stand further apart than `horizon`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_decide::fair::{ChoicePolicy, FairQueue, VirtualService, Waiting};
    /// use coltsfootnotch_types::AccountName;
    /// let (flood, bistro) = (AccountName::new("flood")?, AccountName::new("bistro")?);
    /// let mut queue = FairQueue::new(ChoicePolicy::Fair, VirtualService(1_000_000));
    /// let now = Duration::ZERO;
    /// queue.set_waiting(&flood, Waiting::new(500, now), now);
    /// queue.set_waiting(&bistro, Waiting::new(1, now), now);
    /// queue.add_here(&flood, VirtualService(10));
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
            level: VirtualService::ZERO,
        }
    }

    /// The waiting account that goes first.
    #[must_use]
    pub fn choose(&self) -> Option<&AccountName> {
        self.ranked().next()
    }

    /// Waiting accounts, the one that goes first at the front.
    pub fn ranked(&self) -> impl Iterator<Item = &AccountName> {
        self.order.iter().map(|(_, i)| &self.accounts[*i].name)
    }

    /// How many accounts wait.
    #[must_use]
    pub fn waiting_accounts(&self) -> usize {
        self.order.len()
    }

    /// What is known to wait of an account.
    #[must_use]
    pub fn waiting(&self, account: &AccountName) -> Waiting {
        let i = self.index.get(account);
        i.map(|i| self.accounts[*i].waiting).unwrap_or_default()
    }

    /// Whether the account has been seen in this pool.
    #[must_use]
    pub fn contains(&self, account: &AccountName) -> bool {
        self.index.contains_key(account)
    }

    /// The virtual service of an account; `None` when it was never seen here.
    #[must_use]
    pub fn place(&self, account: &AccountName) -> Option<VirtualService> {
        let i = *self.index.get(account)?;
        Some(self.accounts[i].place)
    }

    /// Sets what waits of an account; an account that returns from idle brings no credit.
    pub fn set_waiting(&mut self, account: &AccountName, waiting: Waiting, now: Duration) {
        let i = self.slot(account);
        let was_waiting = self.accounts[i].is_waiting();
        if was_waiting && waiting.count == 0 {
            self.leave(i, now);
            return;
        }
        if !was_waiting && waiting.count > 0 {
            self.lift(i, now);
        }
        self.change(i, |a| a.waiting = waiting);
        self.narrow();
    }

    /// Counts service per weight given here; negative when a settlement gives some back.
    pub fn add_here(&mut self, account: &AccountName, more: VirtualService) {
        let i = self.slot(account);
        self.add(i, more);
    }

    /// Counts service per weight that other hosts are heard to have given.
    pub fn add_elsewhere(&mut self, account: &AccountName, more: VirtualService) {
        if self.policy != ChoicePolicy::Fair {
            return;
        }
        let i = self.slot(account);
        // An account that is idle here may be served elsewhere, and that is heard of only once it
        // waits here again. By then it has been lifted level with the others; what it received
        // meanwhile is in that lift, and counting it again would be a debt for nothing.
        let lifted = std::mem::take(&mut self.accounts[i].lifted);
        let beyond = (more - lifted).max(VirtualService::ZERO);
        self.add(i, beyond);
    }

    fn add(&mut self, i: usize, more: VirtualService) {
        // Service given while nobody waits ends all claims: whoever waits next starts level with it.
        if self.order.is_empty() {
            self.level = self.level.max(self.accounts[i].place);
        }
        self.change(i, |a| a.place += more);
        self.narrow();
    }

    fn slot(&mut self, account: &AccountName) -> usize {
        if let Some(i) = self.index.get(account) {
            return *i;
        }
        let i = self.accounts.len();
        let place = self.floor();
        self.accounts.push(Account::new(account.clone(), place));
        self.index.insert(account.clone(), i);
        i
    }

    /// Changes an account and keeps the order in step with it.
    fn change(&mut self, i: usize, update: impl FnOnce(&mut Account)) {
        let account = &mut self.accounts[i];
        if account.is_waiting() {
            self.order.remove(&(account.key(self.policy), i));
        }
        update(account);
        if account.is_waiting() {
            self.order.insert((account.key(self.policy), i));
        }
    }

    fn leave(&mut self, i: usize, now: Duration) {
        self.change(i, |a| a.waiting = Waiting::default());
        let place = self.accounts[i].place;
        let behind = (self.floor() - place).max(VirtualService::ZERO);
        self.accounts[i].left = Some(Left { at: now, behind });
        if self.order.is_empty() {
            self.level = self.level.max(place);
        }
    }

    /// Lifts an account that begins to wait to the lowest of the others.
    fn lift(&mut self, i: usize, now: Duration) {
        if self.policy == ChoicePolicy::Fifo {
            return;
        }
        let left = self.accounts[i].left;
        let recent = left.filter(|l| now.saturating_sub(l.at) <= IDLE_GRACE);
        let owed = recent.map(|l| l.behind).unwrap_or_default();
        let target = self.floor() - owed;
        let account = &mut self.accounts[i];
        account.lifted = (target - account.place).max(VirtualService::ZERO);
        account.place += account.lifted;
    }

    /// The place that a newcomer is lifted to: that of the lowest account that waits, or where the
    /// last one stood.
    fn floor(&self) -> VirtualService {
        let lowest = self.order.first();
        lowest.map_or(self.level, |(_, i)| self.accounts[*i].place)
    }

    pub(super) fn move_to(&mut self, i: usize, target: VirtualService) {
        self.change(i, |a| a.place = target);
    }
}
