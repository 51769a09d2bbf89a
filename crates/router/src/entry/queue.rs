//! Requests waiting in one pool, by client account.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Number of the request within the entry's run.
    pub request: u64,
    /// Number of its next attempt.
    pub attempt: u32,
    /// Whose it is.
    pub account: AccountName,
    /// Where it waits.
    pub pool: PoolName,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller no longer wants the answer.
    pub deadline: Duration,
    /// Estimated service.
    pub estimate: ServiceUnits,
    /// Digest of its prompt's beginning, for cache affinity.
    pub prefix: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Sidecars that failed it before; a retry goes elsewhere while there is an elsewhere.
    pub avoid: Vec<HostName>,
}

/// First in, first out within an account; the accounts are chosen among by the sidecars.
#[derive(Debug, Default)]
pub struct PoolQueue {
    accounts: BTreeMap<AccountName, VecDeque<Waiting>>,
    len: usize,
}

impl PoolQueue {
    /// Adds a request behind the others of its account.
    pub fn push_back(&mut self, waiting: Waiting) {
        self.len += 1;
        self.accounts
            .entry(waiting.account.clone())
            .or_default()
            .push_back(waiting);
    }

    /// Puts a request that was not started back before the others of its account.
    pub fn push_front(&mut self, waiting: Waiting) {
        self.len += 1;
        self.accounts
            .entry(waiting.account.clone())
            .or_default()
            .push_front(waiting);
    }

    /// Takes the request of `account` that `prefer` scores highest among the first `look_ahead`,
    /// the oldest of equals; `None` skips one.
    ///
    /// The look-ahead is bounded so that a request without a cached prefix is passed over only by
    /// neighbours in its own account's queue, and the search costs the same in a long queue.
    pub fn take(
        &mut self,
        account: &AccountName,
        look_ahead: usize,
        prefer: impl Fn(&Waiting) -> Option<u32>,
    ) -> Option<Waiting> {
        let queue = self.accounts.get_mut(account)?;
        let mut best: Option<(u32, usize)> = None;
        for (index, waiting) in queue.iter().take(look_ahead).enumerate() {
            let Some(score) = prefer(waiting) else {
                continue;
            };
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, index));
            }
        }
        let waiting = queue.remove(best?.1)?;
        self.forget_if_empty(account);
        self.len -= 1;
        Some(waiting)
    }

    /// Takes one request out, wherever it stands.
    pub fn remove(&mut self, account: &AccountName, request: u64) -> Option<Waiting> {
        let queue = self.accounts.get_mut(account)?;
        let index = queue
            .iter()
            .position(|waiting| waiting.request == request)?;
        let waiting = queue.remove(index)?;
        self.forget_if_empty(account);
        self.len -= 1;
        Some(waiting)
    }

    /// Takes out every request that `expired` names.
    pub fn take_expired(&mut self, expired: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for queue in self.accounts.values_mut() {
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                queue.drain(..).partition(|waiting| expired(waiting));
            *queue = kept;
            taken.extend(out);
        }
        self.accounts.retain(|_, queue| !queue.is_empty());
        self.len -= taken.len();
        taken
    }

    /// Requests of one account.
    #[must_use]
    pub fn count(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, VecDeque::len)
    }

    /// Arrival of the oldest request of one account.
    #[must_use]
    pub fn oldest(&self, account: &AccountName) -> Option<Duration> {
        self.accounts
            .get(account)?
            .front()
            .map(|waiting| waiting.arrived)
    }

    /// Accounts with requests waiting.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.accounts.keys()
    }

    /// Requests of all accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn forget_if_empty(&mut self, account: &AccountName) {
        if self.accounts.get(account).is_some_and(VecDeque::is_empty) {
            self.accounts.remove(account);
        }
    }
}
