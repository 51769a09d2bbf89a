//! The entry core: a request comes in, waits or is offered, is pulled, and leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AccountWait, AttemptId, BeginCause, FromSidecar, ToSidecar};

use super::{PoolQueue, SidecarView, Waiting};

/// How many of an account's waiting requests are looked at for a cached prefix.
const LOOK_AHEAD: usize = 16;

/// A request that was admitted.
pub type NewRequest = Waiting;

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Send a control message to a sidecar.
    Send {
        /// The sidecar.
        to: HostName,
        /// The message.
        message: ToSidecar,
    },
    /// Open an attempt at a sidecar. From here on only its `NotStarted` means not run.
    Begin {
        /// The attempt.
        attempt: AttemptId,
        /// The sidecar.
        to: HostName,
        /// The run of the sidecar that may dispatch it.
        sidecar: Incarnation,
        /// Offered, or pulled.
        cause: BeginCause,
        /// The request; handed back by [`EntryCore::requeue`] when it was not started.
        waiting: Waiting,
    },
    /// The deadline passed while the request waited: it did not run.
    Expired {
        /// The request.
        waiting: Waiting,
    },
}

/// Queues of one entry, and what it knows of the sidecars.
#[derive(Debug)]
pub struct EntryCore {
    me: Incarnation,
    domain: DomainName,
    queues: BTreeMap<PoolName, PoolQueue>,
    sidecars: BTreeMap<HostName, SidecarView>,
    changed: BTreeSet<(PoolName, AccountName)>,
    actions: Vec<EntryAction>,
}

impl EntryCore {
    /// An entry core with nothing waiting and no sidecar known.
    #[must_use]
    pub fn new(me: Incarnation, domain: DomainName) -> Self {
        Self {
            me,
            domain,
            queues: BTreeMap::new(),
            sidecars: BTreeMap::new(),
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
        self.queues.get(pool).map_or(0, PoolQueue::len)
    }

    /// Requests of one account waiting in a pool.
    #[must_use]
    pub fn waiting_of(&self, pool: &PoolName, account: &AccountName) -> usize {
        self.queues
            .get(pool)
            .map_or(0, |queue| queue.count(account))
    }

    /// Requests waiting in all pools.
    #[must_use]
    pub fn waiting_in_all(&self) -> usize {
        self.queues.values().map(PoolQueue::len).sum()
    }

    /// Whether any connected sidecar serves the pool.
    #[must_use]
    pub fn serves(&self, pool: &PoolName) -> bool {
        self.sidecars.values().any(|view| view.serves(pool))
    }

    /// Sidecars connected, and the pools that they serve.
    #[must_use]
    pub fn served(&self) -> (usize, BTreeSet<PoolName>) {
        let pools = self
            .sidecars
            .values()
            .flat_map(|view| view.free.keys().cloned());
        (self.sidecars.len(), pools.collect())
    }

    /// Takes in an admitted request: offers it when a slot is free and nothing waits, else queues it.
    pub fn submit(&mut self, waiting: NewRequest) {
        match self.offer_target(&waiting) {
            Some(to) => self.offer(&to, waiting),
            None => self.enqueue(waiting, PoolQueue::push_back),
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

    /// Takes out a request whose caller has gone; none when it no longer waits.
    pub fn withdraw(
        &mut self,
        pool: &PoolName,
        account: &AccountName,
        request: u64,
    ) -> Option<Waiting> {
        let taken = self.queues.get_mut(pool)?.remove(account, request)?;
        self.changed.insert((pool.clone(), account.clone()));
        Some(taken)
    }

    /// A connection to a sidecar came up: it is told everything that waits once it says what it serves.
    pub fn sidecar_up(&mut self, host: HostName, incarnation: Incarnation, domain: DomainName) {
        self.sidecars
            .insert(host, SidecarView::new(incarnation, domain));
    }

    /// The connection to a sidecar is gone.
    pub fn sidecar_down(&mut self, host: &HostName) {
        self.sidecars.remove(host);
    }

    /// Takes in a message from a sidecar.
    pub fn on_message(&mut self, now: Duration, from: &HostName, message: FromSidecar) {
        match message {
            FromSidecar::Free {
                pool,
                slots,
                cached,
            } => self.on_free(from, &pool, slots, &cached),
            FromSidecar::Pull {
                pull,
                pool,
                accounts,
            } => {
                self.on_pull(now, from, pull, &pool, &accounts);
            }
            // What crashes say of a request is weighed before it is submitted.
            FromSidecar::Crashed(_)
            | FromSidecar::Cleared { .. }
            | FromSidecar::Disowned { .. } => {}
        }
    }

    /// Ends the wait of requests whose deadline has passed.
    pub fn tick(&mut self, now: Duration) {
        for (pool, queue) in &mut self.queues {
            for waiting in queue.take_expired(|waiting| waiting.deadline <= now) {
                self.changed.insert((pool.clone(), waiting.account.clone()));
                self.actions.push(EntryAction::Expired { waiting });
            }
        }
    }

    fn enqueue(&mut self, waiting: Waiting, push: impl Fn(&mut PoolQueue, Waiting)) {
        self.changed
            .insert((waiting.pool.clone(), waiting.account.clone()));
        push(
            self.queues.entry(waiting.pool.clone()).or_default(),
            waiting,
        );
    }

    /// The sidecar to offer to: one with a cached prefix first, then a near one, then the freest.
    ///
    /// A call that may not be repeated is never offered: its slot is reserved by a pull before the
    /// intent is committed, and the pull's number lets it start once only.
    fn offer_target(&self, waiting: &Waiting) -> Option<HostName> {
        if !waiting.repeatable || self.waiting(&waiting.pool) > 0 {
            return None;
        }
        let free = |view: &SidecarView| view.free.get(&waiting.pool).copied().unwrap_or(0);
        self.sidecars
            .iter()
            .filter(|(host, view)| free(view) > 0 && !waiting.avoid.contains(host))
            .max_by_key(|(_, view)| {
                let cached = view.has_prefix(waiting.prefix);
                let near = view.domain == self.domain;
                (cached, near, free(view))
            })
            .map(|(host, _)| host.clone())
    }

    fn offer(&mut self, to: &HostName, waiting: Waiting) {
        let Some(view) = self.sidecars.get_mut(to) else {
            return self.enqueue(waiting, PoolQueue::push_back);
        };
        if let Some(free) = view.free.get_mut(&waiting.pool) {
            *free = free.saturating_sub(1);
        }
        let sidecar = view.incarnation;
        self.begin(to, sidecar, BeginCause::Offer, waiting);
    }

    fn begin(&mut self, to: &HostName, sidecar: Incarnation, cause: BeginCause, waiting: Waiting) {
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

    fn on_free(&mut self, from: &HostName, pool: &PoolName, slots: u32, cached: &[u64]) {
        let Some(view) = self.sidecars.get_mut(from) else {
            return;
        };
        view.learn_prefixes(cached);
        let first = view.free.insert(pool.clone(), slots).is_none();
        if !first {
            return;
        }
        let Some(queue) = self.queues.get(pool) else {
            return;
        };
        for account in queue.accounts() {
            self.changed.insert((pool.clone(), account.clone()));
        }
    }

    fn on_pull(
        &mut self,
        now: Duration,
        from: &HostName,
        pull: u64,
        pool: &PoolName,
        accounts: &[AccountName],
    ) {
        let taken = accounts
            .iter()
            .find_map(|account| self.take_for(now, from, pool, account));
        let Some(view) = self.sidecars.get(from) else {
            return;
        };
        let sidecar = view.incarnation;
        if let Some(waiting) = taken {
            self.changed.insert((pool.clone(), waiting.account.clone()));
            return self.begin(from, sidecar, BeginCause::Pull { pull }, waiting);
        }
        // The sidecar must hear that nothing waits before it hears that the pull is answered, or it
        // would pull the same account again at once.
        self.changed.extend(
            accounts
                .iter()
                .map(|account| (pool.clone(), account.clone())),
        );
        self.flush_waits(now);
        let message = ToSidecar::Nothing { pull };
        self.actions.push(EntryAction::Send {
            to: from.clone(),
            message,
        });
    }

    fn take_for(
        &mut self,
        now: Duration,
        from: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> Option<Waiting> {
        let elsewhere = self.sidecars.len() > 1;
        let view = self.sidecars.get(from)?;
        let score = |waiting: &Waiting| {
            let avoided = elsewhere && waiting.avoid.contains(from);
            let live = waiting.deadline > now && !avoided;
            live.then(|| u32::from(view.has_prefix(waiting.prefix)))
        };
        self.queues.get_mut(pool)?.take(account, LOOK_AHEAD, score)
    }

    fn flush_waits(&mut self, now: Duration) {
        let mut batches: BTreeMap<(HostName, PoolName), Vec<AccountWait>> = BTreeMap::new();
        for (pool, account) in std::mem::take(&mut self.changed) {
            let wait = self.wait_of(now, &pool, &account);
            for (host, view) in &mut self.sidecars {
                if view.serves(&pool) && view.tell(&pool, &account, wait.count) {
                    let batch = batches.entry((host.clone(), pool.clone())).or_default();
                    batch.push(wait.clone());
                }
            }
        }
        for ((to, pool), changes) in batches {
            let message = ToSidecar::Waits {
                pool,
                full: false,
                changes,
            };
            self.actions.push(EntryAction::Send { to, message });
        }
    }

    fn wait_of(&self, now: Duration, pool: &PoolName, account: &AccountName) -> AccountWait {
        let queue = self.queues.get(pool);
        let count = queue.map_or(0, |queue| queue.count(account));
        let oldest = queue.and_then(|queue| queue.oldest(account));
        let age = oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        AccountWait {
            account: account.clone(),
            count: u32::try_from(count).unwrap_or(u32::MAX),
            oldest_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
