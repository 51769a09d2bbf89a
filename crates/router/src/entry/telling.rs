//! What the sidecars are told to wait here.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AccountWait, ToSidecar};

use super::choosing::may_run_at;
use super::{EntryAction, EntryCore, PoolQueue, PoolView, Waiting};

impl EntryCore {
    /// Tells each sidecar what has changed, when that is due.
    pub(super) fn flush_waits(&mut self, now: Duration) {
        let changed = std::mem::take(&mut self.changed);
        for (pool, account) in changed {
            let views = self.sidecars.values_mut();
            for told in views.filter_map(|view| view.pools.get_mut(&pool)) {
                told.note_changed(&account);
            }
        }
        let mut due = Vec::new();
        for (host, view) in &self.sidecars {
            let pools = view.pools.iter().filter(|(_, told)| told.is_due(now));
            due.extend(pools.map(|(pool, _)| (host.clone(), pool.clone())));
        }
        for (host, pool) in due {
            self.flush_to(now, &host, &pool);
        }
    }

    /// Tells a sidecar what has changed in a pool since it was last told.
    fn flush_to(&mut self, now: Duration, host: &HostName, pool: &PoolName) {
        let Some(told) = self.told_at(host, pool) else {
            return;
        };
        let mut waits = Vec::new();
        for account in told.take_changed(now) {
            let count = self.count_at(now, host, pool, &account);
            let wait = self.wait_of(now, pool, &account, count);
            let told = self.told_at(host, pool);
            if told.is_some_and(|told| told.tell(&account, wait.count)) {
                waits.push(wait);
            }
        }
        if !waits.is_empty() {
            self.send_waits(host.clone(), pool.clone(), false, waits);
        }
    }

    fn told_at(&mut self, host: &HostName, pool: &PoolName) -> Option<&mut PoolView> {
        self.sidecars.get_mut(host)?.pools.get_mut(pool)
    }

    /// Tells a sidecar that has begun to serve a pool all that waits in it.
    ///
    /// What it was told before it stopped serving may have crossed with its word that it stopped, so
    /// it can't be relied on: without a fresh start it would pull work for ever that is long gone.
    pub(super) fn tell_all_of(&mut self, now: Duration, host: &HostName, pool: &PoolName) {
        let accounts = self.queues.get(pool).map(PoolQueue::accounts);
        let accounts: Vec<AccountName> = accounts.into_iter().flatten().cloned().collect();
        let waits = self.tell_anyway(now, host, pool, &accounts);
        let waiting = waits.into_iter().filter(|wait| wait.count > 0).collect();
        self.send_waits(host.clone(), pool.clone(), true, waiting);
    }

    /// Answers a pull for which there is nothing.
    ///
    /// The sidecar must hear what waits of these accounts, and before it hears that the pull is
    /// answered, or it would pull the same again at once and for ever.
    pub(super) fn answer_nothing(
        &mut self,
        now: Duration,
        to: &HostName,
        pull: u64,
        pool: &PoolName,
        accounts: &[AccountName],
    ) {
        self.flush_to(now, to, pool);
        let waits = self.tell_anyway(now, to, pool, accounts);
        self.send_waits(to.clone(), pool.clone(), false, waits);
        let message = ToSidecar::Nothing { pull };
        let to = to.clone();
        self.actions.push(EntryAction::Send { to, message });
    }

    /// Marks for telling what a change of who serves a pool can allow: a request that avoids a
    /// sidecar may run there when it is the last.
    pub(super) fn retell_avoiding(&mut self, pool: &PoolName) {
        let Some(queue) = self.queues.get(pool) else {
            return;
        };
        let avoiding = queue
            .accounts()
            .filter(|account| queue.has_avoiding(account));
        let marks = avoiding.map(|account| (pool.clone(), account.clone()));
        self.changed.extend(marks);
    }

    /// Marks for telling what a sidecar with more free slots can use: while it was full it was told
    /// of fewer requests than wait.
    pub(super) fn retell_for_more_slots(&mut self, host: &HostName, pool: &PoolName) {
        let view = self.sidecars.get_mut(host);
        let told = view.and_then(|view| view.pools.get_mut(pool));
        if let Some((told, queue)) = told.zip(self.queues.get(pool)) {
            queue
                .accounts()
                .for_each(|account| told.note_changed(account));
        }
    }

    fn tell_anyway(
        &mut self,
        now: Duration,
        host: &HostName,
        pool: &PoolName,
        accounts: &[AccountName],
    ) -> Vec<AccountWait> {
        let mut waits = Vec::new();
        for account in accounts {
            let count = self.count_allowed(now, host, pool, account);
            let wait = self.wait_of(now, pool, account, count);
            if let Some(told) = self.told_at(host, pool) {
                told.tell_anyway(account, wait.count);
                waits.push(wait);
            }
        }
        waits
    }

    /// Requests of an account that a sidecar may be told of. Those that have just expired count
    /// until the next tick, unless the queue has to be looked through anyway.
    fn count_at(
        &self,
        now: Duration,
        host: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> usize {
        match self.queues.get(pool) {
            Some(queue) if !queue.has_avoiding(account) => {
                queue.count(account).min(self.concurrency.room(account))
            }
            _ => self.count_allowed(now, host, pool, account),
        }
    }

    /// Requests of an account that a pull of the sidecar would get.
    fn count_allowed(
        &self,
        now: Duration,
        host: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> usize {
        let live = |waiting: &Waiting| {
            waiting.deadline > now && may_run_at(self.sidecars.iter(), host, waiting)
        };
        let queue = self.queues.get(pool);
        let count = queue.map_or(0, |queue| queue.count_allowed(account, live));
        count.min(self.concurrency.room(account))
    }

    fn wait_of(
        &self,
        now: Duration,
        pool: &PoolName,
        account: &AccountName,
        count: usize,
    ) -> AccountWait {
        let oldest = self
            .queues
            .get(pool)
            .and_then(|queue| queue.oldest(account));
        let age = oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        AccountWait {
            account: account.clone(),
            count: u32::try_from(count).unwrap_or(u32::MAX),
            oldest_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn send_waits(&mut self, to: HostName, pool: PoolName, full: bool, changes: Vec<AccountWait>) {
        let message = ToSidecar::Waits {
            pool,
            full,
            changes,
        };
        self.actions.push(EntryAction::Send { to, message });
    }
}
