//! The accounts that wait in one pool, ordered by who is furthest behind.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::{AccountName, Incarnation};

use super::account::{Account, Left};
use super::{ChoicePolicy, Waiting};
use crate::service::{Offset, VirtualService};

/// How long an account may stop waiting and keep its place below the others.
///
/// The queue of a backlogged account runs empty for moments between two requests; lifting it each
/// time would cost it what it is owed. A second is several times the age of what hosts know of each
/// other, and what can be owed from one second is within the fairness bound.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// A waiting account: its place and its index.
pub(super) type Standing = (VirtualService, usize);

/// Waiting accounts of one pool in the order of their virtual service.
///
/// Every operation costs at most the logarithm of the number of accounts.
#[derive(Debug, Clone)]
pub struct FairQueue {
    pub(super) policy: ChoicePolicy,
    pub(super) horizon: VirtualService,
    by: Incarnation,
    pub(super) accounts: Vec<Account>,
    index: HashMap<AccountName, usize>,
    pub(super) order: BTreeSet<Standing>,
    /// Place of the account that was served last while nobody waited.
    level: VirtualService,
    /// Whether this host has heard of service elsewhere at all.
    heard: bool,
    last_stamp: u64,
    moved: BTreeSet<usize>,
}

impl FairQueue {
    /// An empty queue that never lets two waiting accounts stand further apart than `horizon`.
    ///
    /// `by` signs the offsets that this queue sets.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_decide::fair::{ChoicePolicy, FairQueue, Waiting};
    /// use coltsfootnotch_decide::service::VirtualService;
    /// use coltsfootnotch_types::{AccountName, Incarnation};
    /// let (flood, bistro) = (AccountName::new("flood")?, AccountName::new("bistro")?);
    /// let mut queue = FairQueue::new(ChoicePolicy::Fair, VirtualService(1_000_000), Incarnation(1));
    /// let now = Duration::ZERO;
    /// queue.set_waiting(&flood, Waiting::new(500, now), now);
    /// queue.set_waiting(&bistro, Waiting::new(1, now), now);
    /// queue.add_own(&flood, VirtualService(10));
    /// assert_eq!(queue.choose(), Some(&bistro));
    /// # Ok::<(), coltsfootnotch_types::NameError>(())
    /// ```
    #[must_use]
    pub fn new(policy: ChoicePolicy, horizon: VirtualService, by: Incarnation) -> Self {
        Self {
            policy,
            horizon,
            by,
            accounts: Vec::new(),
            index: HashMap::new(),
            order: BTreeSet::new(),
            level: VirtualService::ZERO,
            heard: false,
            last_stamp: 0,
            moved: BTreeSet::new(),
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
        Some(self.accounts[i].place(self.policy))
    }

    /// Sets what waits of an account; an account that returns from idle brings no credit.
    pub fn set_waiting(&mut self, account: &AccountName, waiting: Waiting, now: Duration) {
        let i = self.slot(account);
        let was_waiting = self.accounts[i].is_waiting();
        if was_waiting && waiting.count == 0 {
            self.leave(i, now);
            return;
        }
        self.change(i, |a| a.waiting = waiting);
        if !was_waiting && waiting.count > 0 {
            self.lift(i, now);
        }
        self.narrow();
    }

    /// Counts service per weight given here; negative when a settlement gives some back.
    pub fn add_own(&mut self, account: &AccountName, more: VirtualService) {
        let i = self.slot(account);
        self.raise_level(i, more);
        self.change(i, |a| a.own += more);
        self.narrow();
    }

    /// Takes in service per weight given by all other hosts, as a relay told it in one message.
    ///
    /// Offsets told in the same message come first, through [`Self::learn_offset`]. An account that
    /// began to wait before its service was known is now lifted to the lowest of those heard of
    /// before. One that already waited when this host had heard of nobody, as after a restart, is
    /// not: how it stands is what it is owed.
    pub fn learn<'a>(&mut self, sums: impl IntoIterator<Item = (&'a AccountName, VirtualService)>) {
        if self.policy != ChoicePolicy::Fair {
            return;
        }
        let floor = self.floor(|a| a.is_known());
        let mut first_heard = Vec::new();
        for (account, sum) in sums {
            let i = self.slot(account);
            let known = self.accounts[i].elsewhere;
            self.raise_level(i, sum - known.unwrap_or_default());
            self.change(i, |a| {
                a.elsewhere = Some(sum);
                a.provisional = VirtualService::ZERO;
            });
            if std::mem::take(&mut self.accounts[i].lift_when_heard) {
                first_heard.push(i);
            }
            self.heard = true;
        }
        for i in first_heard {
            self.lift_to(i, floor);
        }
        self.narrow();
    }

    /// Takes in the offset that another host set, if it is later than the one known.
    pub fn learn_offset(&mut self, account: &AccountName, offset: Offset) {
        if self.policy != ChoicePolicy::Fair {
            return;
        }
        self.last_stamp = self.last_stamp.max(offset.stamp);
        let i = self.slot(account);
        if !offset.supersedes(&self.accounts[i].offset) {
            return;
        }
        self.moved.remove(&i);
        self.change(i, |a| a.offset = offset);
        self.narrow();
    }

    /// Offsets set here since the last call, to be shared with the pool's other sidecars.
    pub fn take_moved(&mut self) -> Vec<(AccountName, Offset)> {
        let moved = std::mem::take(&mut self.moved);
        let offset_of = |i: usize| (self.accounts[i].name.clone(), self.accounts[i].offset);
        moved.into_iter().map(offset_of).collect()
    }

    fn slot(&mut self, account: &AccountName) -> usize {
        if let Some(i) = self.index.get(account) {
            return *i;
        }
        let i = self.accounts.len();
        self.accounts.push(Account::new(account.clone()));
        self.index.insert(account.clone(), i);
        i
    }

    /// Changes an account and keeps the order in step with it.
    fn change(&mut self, i: usize, update: impl FnOnce(&mut Account)) {
        let account = &mut self.accounts[i];
        if account.is_waiting() {
            self.order.remove(&(account.place(self.policy), i));
        }
        update(account);
        if account.is_waiting() {
            self.order.insert((account.place(self.policy), i));
        }
    }

    fn leave(&mut self, i: usize, now: Duration) {
        self.change(i, |a| a.waiting = Waiting::default());
        self.accounts[i].lift_when_heard = false;
        let place = self.accounts[i].place(self.policy);
        let behind = self.lowest().map(|lowest| lowest - place);
        let behind = behind.unwrap_or_default().max(VirtualService::ZERO);
        self.accounts[i].left = Some(Left { at: now, behind });
        if self.order.is_empty() {
            self.level = self.level.max(place);
        }
    }

    fn lift(&mut self, i: usize, now: Duration) {
        let left = self.accounts[i].left;
        let recent = left.filter(|l| now.saturating_sub(l.at) <= IDLE_GRACE);
        let owed = recent.map(|l| l.behind).unwrap_or_default();
        let account = &self.accounts[i];
        let (name, known) = (account.name.clone(), account.is_known());
        self.accounts[i].lift_when_heard = !known && self.heard;
        let floor = self.floor(|a| a.name != name && (!known || a.is_known()));
        self.lift_to(i, floor - owed);
    }

    fn lift_to(&mut self, i: usize, target: VirtualService) {
        if self.policy == ChoicePolicy::Fifo {
            return;
        }
        if self.accounts[i].place(self.policy) < target {
            self.move_to(i, target);
        }
    }

    /// The place that a newcomer is lifted to: the lowest of the waiting accounts that `counts`.
    ///
    /// Where it skips accounts of which this host has not heard, there are few: a relay answers
    /// within one round trip.
    fn floor(&self, counts: impl Fn(&Account) -> bool) -> VirtualService {
        let mut counted = self
            .order
            .iter()
            .filter(|(_, i)| counts(&self.accounts[*i]));
        counted.next().map_or(self.level, |(place, _)| *place)
    }

    fn lowest(&self) -> Option<VirtualService> {
        self.order.first().map(|(place, _)| *place)
    }

    /// Service given while nobody waits ends all claims: whoever waits next starts level with it.
    fn raise_level(&mut self, i: usize, more: VirtualService) {
        if self.order.is_empty() && more > VirtualService::ZERO {
            self.level = self.level.max(self.accounts[i].place(self.policy));
        }
    }

    /// Moves an account, for the whole pool if its service elsewhere is known, else for this host.
    pub(super) fn move_to(&mut self, i: usize, target: VirtualService) {
        let by = target - self.accounts[i].place(self.policy);
        if !self.accounts[i].is_known() {
            self.change(i, |a| a.provisional += by);
            return;
        }
        self.last_stamp += 1;
        let stamp = self.last_stamp;
        let signed = Some(self.by);
        self.change(i, |a| {
            a.offset.stamp = stamp;
            a.offset.by = signed;
            a.offset.value += by;
        });
        self.moved.insert(i);
    }
}
