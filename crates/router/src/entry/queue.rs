//! Requests waiting in one pool, by client account.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::route::{PrefixMap, WaitingRequest, choose_request};
use coltsfootnotch_types::prelude::*;

use super::Waiting;

/// How many requests of an account a pull chooses among; the choice itself looks at fewer.
const OPEN: usize = 16;

/// First in, first out within an account; the accounts are chosen among by the sidecars.
#[derive(Debug, Default)]
pub struct PoolQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    len: usize,
}

#[derive(Debug, Default)]
struct AccountQueue {
    requests: VecDeque<Queued>,
    /// How many of them avoid a sidecar. While none does, a count for any sidecar is the length.
    avoiding: usize,
}

#[derive(Debug)]
struct Queued {
    waiting: Waiting,
    /// How often a younger request was taken before it.
    passed: u32,
}

impl AccountQueue {
    fn put(&mut self, waiting: Waiting, push: impl Fn(&mut VecDeque<Queued>, Queued)) {
        self.avoiding += usize::from(!waiting.avoid.is_empty());
        let passed = 0;
        push(&mut self.requests, Queued { waiting, passed });
    }

    fn remove_at(&mut self, index: usize) -> Option<Waiting> {
        let waiting = self.requests.remove(index)?.waiting;
        self.avoiding -= usize::from(!waiting.avoid.is_empty());
        Some(waiting)
    }
}

impl PoolQueue {
    /// Adds a request behind the others of its account.
    pub fn push_back(&mut self, waiting: Waiting) {
        self.queue_of(&waiting).put(waiting, VecDeque::push_back);
    }

    /// Puts a request that was not started back before the others of its account.
    pub fn push_front(&mut self, waiting: Waiting) {
        self.queue_of(&waiting).put(waiting, VecDeque::push_front);
    }

    /// Takes the request of `account` that suits `upstream` best, among those `allowed` there.
    ///
    /// Only the oldest few are looked at, so that a request without a cached prefix is passed over
    /// only by its neighbours, and the search costs the same in a long queue.
    pub fn take(
        &mut self,
        account: &AccountName,
        allowed: impl Fn(&Waiting) -> bool,
        upstream: &UpstreamName,
        prefixes: &PrefixMap,
        now: Duration,
    ) -> Option<Waiting> {
        let queue = self.accounts.get_mut(account)?;
        let numbered = queue.requests.iter().enumerate();
        let open: Vec<(usize, &Queued)> = numbered
            .filter(|(_, queued)| allowed(&queued.waiting))
            .take(OPEN)
            .collect();
        let choices = open.iter().map(|(_, queued)| WaitingRequest {
            prefix: queued.waiting.prefix_key(),
            skipped: queued.passed,
            avoid: &[],
        });
        let chosen = choose_request(choices, upstream, prefixes, now)?;
        let older: Vec<usize> = open[..chosen].iter().map(|(index, _)| *index).collect();
        let index = open[chosen].0;
        for passed in older {
            queue.requests[passed].passed += 1;
        }
        self.take_at(account, index)
    }

    /// Takes one request out, wherever it stands.
    pub fn remove(&mut self, account: &AccountName, request: u64) -> Option<Waiting> {
        let queue = self.accounts.get(account)?;
        let is_it = |queued: &Queued| queued.waiting.request == request;
        let index = queue.requests.iter().position(is_it)?;
        self.take_at(account, index)
    }

    /// Takes out every request that `expired` names.
    pub fn take_expired(&mut self, expired: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for queue in self.accounts.values_mut() {
            let is_out = |queued: &Queued| expired(&queued.waiting);
            while let Some(index) = queue.requests.iter().position(is_out) {
                taken.extend(queue.remove_at(index));
            }
        }
        self.accounts.retain(|_, queue| !queue.requests.is_empty());
        self.len -= taken.len();
        taken
    }

    /// Requests of one account.
    #[must_use]
    pub fn count(&self, account: &AccountName) -> usize {
        let queue = self.accounts.get(account);
        queue.map_or(0, |queue| queue.requests.len())
    }

    /// Requests of one account that `allowed` lets run somewhere.
    #[must_use]
    pub fn count_allowed(
        &self,
        account: &AccountName,
        allowed: impl Fn(&Waiting) -> bool,
    ) -> usize {
        let requests = self.accounts.get(account).map(|queue| &queue.requests);
        let requests = requests.into_iter().flatten();
        requests.filter(|queued| allowed(&queued.waiting)).count()
    }

    /// Whether a request of the account avoids a sidecar.
    #[must_use]
    pub fn has_avoiding(&self, account: &AccountName) -> bool {
        let queue = self.accounts.get(account);
        queue.is_some_and(|queue| queue.avoiding > 0)
    }

    /// Arrival of the oldest request of one account.
    #[must_use]
    pub fn oldest(&self, account: &AccountName) -> Option<Duration> {
        let queue = self.accounts.get(account)?;
        queue.requests.front().map(|queued| queued.waiting.arrived)
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

    fn queue_of(&mut self, waiting: &Waiting) -> &mut AccountQueue {
        self.len += 1;
        self.accounts.entry(waiting.account.clone()).or_default()
    }

    fn take_at(&mut self, account: &AccountName, index: usize) -> Option<Waiting> {
        let queue = self.accounts.get_mut(account)?;
        let waiting = queue.remove_at(index)?;
        if queue.requests.is_empty() {
            self.accounts.remove(account);
        }
        self.len -= 1;
        Some(waiting)
    }
}
