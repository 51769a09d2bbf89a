//! The entry core: a request comes in, waits or is offered, is pulled, and leaves.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use coltsfootnotch_decide::route::PrefixMap;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, BeginCause};

use super::concurrency::Concurrency;
use super::{EntryAction, PoolQueue, SidecarView, Waiting};

/// How long a suspect that found another one running is first held back; each further time doubles
/// it. A run takes seconds: without the doubling, a handful of suspects that take their turns at the
/// head of their account's queue would get every pull that is meant for the rest of the account.
const SUSPECT_HOLD: Duration = Duration::from_millis(50);
/// Doublings at most: 0.8 s, which an upstream that comes free stands without a suspect at worst.
const SUSPECT_DOUBLINGS: u32 = 4;

/// A request that was admitted.
pub type NewRequest = Waiting;

/// Queues of one entry, and what it knows of the sidecars.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) me: Incarnation,
    pub(super) domain: DomainName,
    pub(super) queues: BTreeMap<PoolName, PoolQueue>,
    /// Requests that go back to their queue at a later time.
    held: BTreeMap<(Duration, u64), Waiting>,
    /// Every request that waits, held ones included.
    pub(super) numbers: HashSet<u64>,
    pub(super) sidecars: BTreeMap<HostName, SidecarView>,
    pub(super) prefixes: PrefixMap,
    pub(super) concurrency: Concurrency,
    pub(super) changed: BTreeSet<(PoolName, AccountName)>,
    pub(super) actions: Vec<EntryAction>,
}

impl EntryCore {
    /// An entry core with nothing waiting and no sidecar known.
    #[must_use]
    pub fn new(me: Incarnation, domain: DomainName) -> Self {
        Self {
            me,
            domain,
            queues: BTreeMap::new(),
            held: BTreeMap::new(),
            numbers: HashSet::new(),
            sidecars: BTreeMap::new(),
            prefixes: PrefixMap::new(),
            concurrency: Concurrency::default(),
            changed: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Takes the actions that have come up, in order.
    pub fn take_actions(&mut self, now: Duration) -> Vec<EntryAction> {
        self.flush_waits(now);
        std::mem::take(&mut self.actions)
    }

    /// Requests waiting in a pool.
    #[must_use]
    pub fn waiting(&self, pool: &PoolName) -> usize {
        let held = self.held.values().filter(|held| held.pool == *pool).count();
        self.queues
            .get(pool)
            .map_or(held, |queue| queue.len() + held)
    }

    /// Requests of one account waiting in a pool.
    #[must_use]
    pub fn waiting_of(&self, pool: &PoolName, account: &AccountName) -> usize {
        let queue = self.queues.get(pool);
        let queued = queue.map_or(0, |queue| queue.count(account));
        let is_of = |held: &&Waiting| held.pool == *pool && held.account == *account;
        queued + self.held.values().filter(is_of).count()
    }

    /// Requests waiting in all pools.
    #[must_use]
    pub fn waiting_in_all(&self) -> usize {
        self.numbers.len()
    }

    /// Whether any connected sidecar serves the pool.
    #[must_use]
    pub fn serves(&self, pool: &PoolName) -> bool {
        self.sidecars.values().any(|view| view.serves(pool))
    }

    /// Sidecars connected, and the pools that they serve.
    #[must_use]
    pub fn served(&self) -> (usize, BTreeSet<PoolName>) {
        let views = self.sidecars.values();
        let pools = views.flat_map(|view| view.pools.keys().cloned());
        (self.sidecars.len(), pools.collect())
    }

    /// Takes in an admitted request: offers it when a slot is free and nothing waits, else queues it.
    pub fn submit(&mut self, waiting: NewRequest) {
        match self.offer_target(&waiting) {
            Some(to) => self.offer(&to, waiting),
            None => self.enqueue(waiting, PoolQueue::push_back),
        }
    }

    /// Sets how many requests of an account may run at once; accounts not named have no limit.
    pub fn set_running_limits(&mut self, limits: HashMap<AccountName, u32>) {
        self.concurrency.set_limits(limits);
    }

    /// Notes that an attempt which was begun has ended, however it did.
    pub fn ended(&mut self, account: &AccountName) {
        if !self.concurrency.ended(account) {
            return;
        }
        for (pool, queue) in &self.queues {
            if queue.count(account) > 0 {
                self.changed.insert((pool.clone(), account.clone()));
            }
        }
    }

    /// Takes back a request whose attempt was not started.
    ///
    /// Not offered again but queued: the view of free slots that led to the offer was stale, and
    /// repeated offers to full sidecars would cost a round trip each while others wait their turn.
    pub fn requeue(&mut self, mut waiting: Waiting) {
        waiting.attempt += 1;
        self.enqueue(waiting, PoolQueue::push_front);
    }

    /// Takes back a suspect of crashes that found another suspect running.
    ///
    /// It waits for a while without being pulled: it would otherwise be pulled and sent back again
    /// and again, one round trip after the other, and stand in the way of the rest of its account.
    pub fn hold_back(&mut self, now: Duration, mut waiting: Waiting) {
        let hold = SUSPECT_HOLD * 2_u32.pow(waiting.attempt.min(SUSPECT_DOUBLINGS));
        waiting.attempt += 1;
        self.note(waiting.request);
        self.held.insert((now + hold, waiting.request), waiting);
    }

    /// Takes out a request whose caller has gone; none when it no longer waits.
    pub fn withdraw(
        &mut self,
        pool: &PoolName,
        account: &AccountName,
        request: u64,
    ) -> Option<Waiting> {
        if !self.numbers.contains(&request) {
            return None;
        }
        let held = self.held.keys().find(|(_, held)| *held == request).copied();
        let taken = match held {
            Some(key) => self.held.remove(&key)?,
            None => self.queues.get_mut(pool)?.remove(account, request)?,
        };
        self.numbers.remove(&request);
        self.mark(&taken);
        Some(taken)
    }

    /// A connection to a sidecar came up: it is told everything that waits once it says what it serves.
    pub fn sidecar_up(&mut self, host: HostName, incarnation: Incarnation, domain: DomainName) {
        self.sidecar_down(&host);
        let view = SidecarView::new(&host, incarnation, domain);
        self.sidecars.insert(host, view);
    }

    /// The connection to a sidecar is gone.
    pub fn sidecar_down(&mut self, host: &HostName) {
        let view = self.sidecars.remove(host);
        for pool in view.iter().flat_map(|view| view.pools.keys()) {
            self.retell_avoiding(pool);
        }
    }

    /// Ends the wait of requests whose deadline has passed, and queues those held until now.
    pub fn tick(&mut self, now: Duration) {
        let later = self.held.split_off(&(now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.held, later);
        for waiting in due.into_values() {
            self.numbers.remove(&waiting.request);
            self.enqueue(waiting, PoolQueue::push_front);
        }
        let queues = self.queues.values_mut();
        let expired = queues.flat_map(|queue| queue.take_expired(|w| w.deadline <= now));
        for waiting in expired.collect::<Vec<_>>() {
            self.numbers.remove(&waiting.request);
            self.mark(&waiting);
            self.actions.push(EntryAction::Expired { waiting });
        }
    }

    fn enqueue(&mut self, waiting: Waiting, push: impl Fn(&mut PoolQueue, Waiting)) {
        self.note(waiting.request);
        self.mark(&waiting);
        let queue = self.queues.entry(waiting.pool.clone()).or_default();
        push(queue, waiting);
    }

    /// Notes a request that begins to wait. One that waited twice could be started twice.
    fn note(&mut self, request: u64) {
        let is_new = self.numbers.insert(request);
        assert!(is_new, "request {request} waits twice");
    }

    pub(super) fn mark(&mut self, waiting: &Waiting) {
        let place = (waiting.pool.clone(), waiting.account.clone());
        self.changed.insert(place);
    }

    fn offer(&mut self, to: &HostName, waiting: Waiting) {
        let Some(view) = self.sidecars.get_mut(to) else {
            return self.enqueue(waiting, PoolQueue::push_back);
        };
        if let Some(pool) = view.pools.get_mut(&waiting.pool) {
            pool.free = pool.free.saturating_sub(1);
        }
        let sidecar = view.incarnation;
        let now = waiting.arrived;
        self.begin(now, to, sidecar, BeginCause::Offer, waiting);
    }

    pub(super) fn begin(
        &mut self,
        now: Duration,
        to: &HostName,
        sidecar: Incarnation,
        cause: BeginCause,
        waiting: Waiting,
    ) {
        if let Some((prefix, view)) = waiting.prefix_key().zip(self.sidecars.get(to)) {
            self.prefixes.on_cached(prefix, &view.route, now);
        }
        self.concurrency.began(&waiting.account);
        let attempt = AttemptId {
            entry: self.me,
            request: waiting.request,
            attempt: waiting.attempt,
        };
        let to = to.clone();
        self.actions.push(EntryAction::Begin {
            attempt,
            to,
            sidecar,
            cause,
            waiting,
        });
    }
}
