//! Requests waiting in one pool, by client account.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::route::{PrefixMap, WaitingRequest, choose_request};
use coltsfootnotch_types::prelude::*;

use super::QueuedRequest;

/// How many of an account's oldest requests are passed to the choice for a pull.
const LOOKAHEAD: usize = 16;

/// Queues of one pool, first in, first out within an account; sidecars choose among the accounts.
#[derive(Debug, Default)]
pub struct PoolQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    len: usize,
}

#[derive(Debug, Default)]
struct AccountQueue {
    requests: VecDeque<QueueItem>,
    /// How many of them avoid a sidecar; while zero, all of them count for every sidecar.
    avoiding: usize,
}

#[derive(Debug)]
struct QueueItem {
    waiting: QueuedRequest,
    /// How often a younger request was taken first.
    passed: u32,
}

impl AccountQueue {
    fn push_with(
        &mut self,
        waiting: QueuedRequest,
        push: impl Fn(&mut VecDeque<QueueItem>, QueueItem),
    ) {
        self.avoiding += usize::from(!waiting.avoid.is_empty());
        let passed = 0;
        push(&mut self.requests, QueueItem { waiting, passed });
    }

    fn remove_at(&mut self, index: usize) -> Option<QueuedRequest> {
        let waiting = self.requests.remove(index)?.waiting;
        self.avoiding -= usize::from(!waiting.avoid.is_empty());
        Some(waiting)
    }
}

impl PoolQueue {
    /// Adds a request at the tail of its account's queue.
    pub fn push_back(&mut self, waiting: QueuedRequest) {
        self.queue_for_push(&waiting)
            .push_with(waiting, VecDeque::push_back);
    }

    /// Puts a request that was not started back at the head of its account's queue.
    pub fn push_front(&mut self, waiting: QueuedRequest) {
        self.queue_for_push(&waiting)
            .push_with(waiting, VecDeque::push_front);
    }

    /// Removes the request of `account` that suits `upstream` best, among those `allowed` there.
    ///
    /// Only the oldest requests are compared: this bounds the cost of the search, and how far a
    /// request without a cached prefix can be overtaken.
    pub fn take(
        &mut self,
        account: &AccountName,
        allowed: impl Fn(&QueuedRequest) -> bool,
        upstream: &UpstreamName,
        prefixes: &PrefixMap,
        now: Duration,
    ) -> Option<QueuedRequest> {
        let queue = self.accounts.get_mut(account)?;
        let numbered = queue.requests.iter().enumerate();
        let eligible: Vec<(usize, &QueueItem)> = numbered
            .filter(|(_, item)| allowed(&item.waiting))
            .take(LOOKAHEAD)
            .collect();
        let choices = eligible.iter().map(|(_, item)| WaitingRequest {
            prefix: item.waiting.prefix_key(),
            skipped: item.passed,
            avoid: &[],
        });
        let chosen = choose_request(choices, upstream, prefixes, now)?;
        let older: Vec<usize> = eligible[..chosen].iter().map(|(index, _)| *index).collect();
        let index = eligible[chosen].0;
        for passed in older {
            queue.requests[passed].passed += 1;
        }
        self.take_at(account, index)
    }

    /// Removes a request from any position.
    pub fn remove(&mut self, account: &AccountName, request: u64) -> Option<QueuedRequest> {
        let queue = self.accounts.get(account)?;
        let matches = |item: &QueueItem| item.waiting.request == request;
        let index = queue.requests.iter().position(matches)?;
        self.take_at(account, index)
    }

    /// Removes every request for which `expired` returns true.
    pub fn take_expired(&mut self, expired: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for queue in self.accounts.values_mut() {
            let is_expired = |item: &QueueItem| expired(&item.waiting);
            while let Some(index) = queue.requests.iter().position(is_expired) {
                taken.extend(queue.remove_at(index));
            }
        }
        self.accounts.retain(|_, queue| !queue.requests.is_empty());
        self.len -= taken.len();
        taken
    }

    /// Number of requests of one account.
    #[must_use]
    pub fn count(&self, account: &AccountName) -> usize {
        let queue = self.accounts.get(account);
        queue.map_or(0, |queue| queue.requests.len())
    }

    /// Number of requests of one account for which `allowed` returns true.
    #[must_use]
    pub fn count_allowed(
        &self,
        account: &AccountName,
        allowed: impl Fn(&QueuedRequest) -> bool,
    ) -> usize {
        let requests = self.accounts.get(account).map(|queue| &queue.requests);
        let requests = requests.into_iter().flatten();
        requests.filter(|item| allowed(&item.waiting)).count()
    }

    /// Whether any request of the account avoids a sidecar.
    #[must_use]
    pub fn has_avoiding(&self, account: &AccountName) -> bool {
        let queue = self.accounts.get(account);
        queue.is_some_and(|queue| queue.avoiding > 0)
    }

    /// Arrival of the request at the head of one account's queue.
    #[must_use]
    pub fn oldest(&self, account: &AccountName) -> Option<Duration> {
        let queue = self.accounts.get(account)?;
        queue.requests.front().map(|item| item.waiting.arrived)
    }

    /// Accounts with waiting requests.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.accounts.keys()
    }

    /// Number of requests of all accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The account's queue, for a request that is about to be pushed and is counted here.
    fn queue_for_push(&mut self, waiting: &QueuedRequest) -> &mut AccountQueue {
        self.len += 1;
        self.accounts.entry(waiting.account.clone()).or_default()
    }

    fn take_at(&mut self, account: &AccountName, index: usize) -> Option<QueuedRequest> {
        let queue = self.accounts.get_mut(account)?;
        let waiting = queue.remove_at(index)?;
        if queue.requests.is_empty() {
            self.accounts.remove(account);
        }
        self.len -= 1;
        Some(waiting)
    }
}
