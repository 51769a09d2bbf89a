//! The entry core: admitted requests are offered or queued, pulled by sidecars, and may expire.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use coltsfootnotch_decide::route::PrefixMap;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, OpenCause};

use super::concurrency::Concurrency;
use super::{EntryAction, PoolQueue, QueuedRequest, SidecarView};

/// First backoff of a crash suspect that was refused because another suspect was running; it
/// doubles with each attempt. Without it a few suspects at the head of their account's queue
/// consume every pull meant for the rest of the account.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(50);
/// Limits the backoff to 0.8 s, the longest that a free upstream waits for its next suspect.
const MAX_SUSPECT_DOUBLINGS: u32 = 4;

/// An admitted request.
pub type NewRequest = QueuedRequest;

/// Request queues of one entry, and its view of the connected sidecars.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) incarnation: Incarnation,
    pub(super) domain: DomainName,
    pub(super) queues: BTreeMap<PoolName, PoolQueue>,
    /// Requests in backoff, by the time at which they return to their queue.
    delayed: BTreeMap<(Duration, u64), QueuedRequest>,
    /// Numbers of all waiting requests, delayed ones included.
    pub(super) pending: HashSet<u64>,
    pub(super) sidecars: BTreeMap<HostName, SidecarView>,
    pub(super) prefixes: PrefixMap,
    pub(super) concurrency: Concurrency,
    pub(super) changed: BTreeSet<(PoolName, AccountName)>,
    pub(super) actions: Vec<EntryAction>,
}

impl EntryCore {
    /// Creates an entry core with empty queues and no sidecars.
    #[must_use]
    pub fn new(incarnation: Incarnation, domain: DomainName) -> Self {
        Self {
            incarnation,
            domain,
            queues: BTreeMap::new(),
            delayed: BTreeMap::new(),
            pending: HashSet::new(),
            sidecars: BTreeMap::new(),
            prefixes: PrefixMap::new(),
            concurrency: Concurrency::default(),
            changed: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self, now: Duration) -> Vec<EntryAction> {
        self.flush_waits(now);
        std::mem::take(&mut self.actions)
    }

    /// Number of requests that wait in a pool.
    #[must_use]
    pub fn waiting_in(&self, pool: &PoolName) -> usize {
        let delayed = self
            .delayed
            .values()
            .filter(|waiting| waiting.pool == *pool)
            .count();
        self.queues
            .get(pool)
            .map_or(delayed, |queue| queue.len() + delayed)
    }

    /// Number of requests of one account that wait in a pool.
    #[must_use]
    pub fn waiting_of(&self, pool: &PoolName, account: &AccountName) -> usize {
        let queue = self.queues.get(pool);
        let queued = queue.map_or(0, |queue| queue.count(account));
        let matches =
            |waiting: &&QueuedRequest| waiting.pool == *pool && waiting.account == *account;
        queued + self.delayed.values().filter(matches).count()
    }

    /// Number of requests that wait in all pools.
    #[must_use]
    pub fn total_waiting(&self) -> usize {
        self.pending.len()
    }

    /// Whether any connected sidecar serves the pool.
    #[must_use]
    pub fn has_sidecar_for(&self, pool: &PoolName) -> bool {
        self.sidecars.values().any(|view| view.has_pool(pool))
    }

    /// Number of connected sidecars, and the pools that they serve.
    #[must_use]
    pub fn connection_summary(&self) -> (usize, BTreeSet<PoolName>) {
        let views = self.sidecars.values();
        let pools = views.flat_map(|view| view.pools.keys().cloned());
        (self.sidecars.len(), pools.collect())
    }

    /// Offers an admitted request if a slot is free and none waits in its pool; else queues it.
    pub fn submit(&mut self, waiting: NewRequest) {
        match self.offer_target(&waiting) {
            Some(to) => self.offer(&to, waiting),
            None => self.enqueue(waiting, PoolQueue::push_back),
        }
    }

    /// Sets the limits on concurrent requests; accounts that are not listed have none.
    pub fn set_running_limits(&mut self, limits: HashMap<AccountName, u32>) {
        self.concurrency.set_limits(limits);
    }

    /// Records that a started attempt of the account has ended, with any outcome.
    pub fn on_attempt_ended(&mut self, account: &AccountName) {
        if !self.concurrency.on_ended(account) {
            return;
        }
        for (pool, queue) in &self.queues {
            if queue.count(account) > 0 {
                self.changed.insert((pool.clone(), account.clone()));
            }
        }
    }

    /// Puts a request whose attempt was not started back at the head of its queue.
    ///
    /// It is not offered again: the view of free slots was stale, and each offer to a saturated
    /// sidecar costs a round trip.
    pub fn requeue(&mut self, mut waiting: QueuedRequest) {
        waiting.attempt += 1;
        self.enqueue(waiting, PoolQueue::push_front);
    }

    /// Requeues a crash suspect that was refused because another suspect was running, after a
    /// backoff during which it can't be pulled.
    ///
    /// Without the backoff it is pulled and refused once per round trip, ahead of the rest of its
    /// account.
    pub fn requeue_with_backoff(&mut self, now: Duration, mut waiting: QueuedRequest) {
        let backoff = SUSPECT_BACKOFF * 2_u32.pow(waiting.attempt.min(MAX_SUSPECT_DOUBLINGS));
        waiting.attempt += 1;
        self.record_pending(waiting.request);
        self.delayed
            .insert((now + backoff, waiting.request), waiting);
    }

    /// Removes a request whose caller has disconnected; `None` if it no longer waits.
    pub fn withdraw(
        &mut self,
        pool: &PoolName,
        account: &AccountName,
        request: u64,
    ) -> Option<QueuedRequest> {
        if !self.pending.contains(&request) {
            return None;
        }
        let delayed = self
            .delayed
            .keys()
            .find(|(_, number)| *number == request)
            .copied();
        let taken = match delayed {
            Some(key) => self.delayed.remove(&key)?,
            None => self.queues.get_mut(pool)?.remove(account, request)?,
        };
        self.pending.remove(&request);
        self.mark_changed(&taken);
        Some(taken)
    }

    /// Registers a newly connected sidecar; it is sent all waits of a pool once it reports that
    /// pool.
    pub fn on_sidecar_connected(
        &mut self,
        host: HostName,
        incarnation: Incarnation,
        domain: DomainName,
    ) {
        self.on_sidecar_disconnected(&host);
        let view = SidecarView::new(&host, incarnation, domain);
        self.sidecars.insert(host, view);
    }

    /// Removes a sidecar whose connection was lost.
    pub fn on_sidecar_disconnected(&mut self, host: &HostName) {
        let view = self.sidecars.remove(host);
        for pool in view.iter().flat_map(|view| view.pools.keys()) {
            self.mark_avoiding(pool);
        }
    }

    /// Expires requests whose deadline has passed, and requeues those whose backoff has ended.
    pub fn tick(&mut self, now: Duration) {
        let later = self.delayed.split_off(&(now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.delayed, later);
        for waiting in due.into_values() {
            self.pending.remove(&waiting.request);
            self.enqueue(waiting, PoolQueue::push_front);
        }
        let queues = self.queues.values_mut();
        let expired = queues.flat_map(|queue| queue.take_expired(|w| w.deadline <= now));
        for waiting in expired.collect::<Vec<_>>() {
            self.pending.remove(&waiting.request);
            self.mark_changed(&waiting);
            self.actions.push(EntryAction::Expired { waiting });
        }
    }

    fn enqueue(&mut self, waiting: QueuedRequest, push: impl Fn(&mut PoolQueue, QueuedRequest)) {
        self.record_pending(waiting.request);
        self.mark_changed(&waiting);
        let queue = self.queues.entry(waiting.pool.clone()).or_default();
        push(queue, waiting);
    }

    /// Records a request that starts to wait. A request queued twice could be started twice.
    fn record_pending(&mut self, request: u64) {
        let is_new = self.pending.insert(request);
        assert!(is_new, "request {request} is queued twice");
    }

    pub(super) fn mark_changed(&mut self, waiting: &QueuedRequest) {
        let key = (waiting.pool.clone(), waiting.account.clone());
        self.changed.insert(key);
    }

    fn offer(&mut self, to: &HostName, waiting: QueuedRequest) {
        let Some(view) = self.sidecars.get_mut(to) else {
            return self.enqueue(waiting, PoolQueue::push_back);
        };
        if let Some(pool) = view.pools.get_mut(&waiting.pool) {
            pool.free = pool.free.saturating_sub(1);
        }
        let sidecar = view.incarnation;
        let now = waiting.arrived;
        self.open_attempt(now, to, sidecar, OpenCause::Offer, waiting);
    }

    pub(super) fn open_attempt(
        &mut self,
        now: Duration,
        to: &HostName,
        sidecar: Incarnation,
        cause: OpenCause,
        waiting: QueuedRequest,
    ) {
        if let Some((prefix, view)) = waiting.prefix_key().zip(self.sidecars.get(to)) {
            self.prefixes.on_cached(prefix, &view.routing_name, now);
        }
        self.concurrency.on_started(&waiting.account);
        let attempt = AttemptId {
            entry: self.incarnation,
            request: waiting.request,
            attempt: waiting.attempt,
        };
        let to = to.clone();
        self.actions.push(EntryAction::OpenAttempt {
            attempt,
            to,
            sidecar,
            cause,
            waiting,
        });
    }
}
