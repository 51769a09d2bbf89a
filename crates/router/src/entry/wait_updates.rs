//! Reports to sidecars of the requests that wait at this entry.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AccountWait, ToSidecar};

use super::matching::can_run_at;
use super::{EntryAction, EntryCore, PoolQueue, PoolView, QueuedRequest};

impl EntryCore {
    /// Sends the changes that are due to each sidecar.
    pub(super) fn flush_waits(&mut self, now: Duration) {
        let changed = std::mem::take(&mut self.changed);
        for (pool, account) in changed {
            let views = self.sidecars.values_mut();
            for pool_view in views.filter_map(|view| view.pools.get_mut(&pool)) {
                pool_view.mark_changed(&account);
            }
        }
        let mut due = Vec::new();
        for (host, view) in &self.sidecars {
            let pools = view
                .pools
                .iter()
                .filter(|(_, pool_view)| pool_view.is_due(now));
            due.extend(pools.map(|(pool, _)| (host.clone(), pool.clone())));
        }
        for (host, pool) in due {
            self.flush_to(now, &host, &pool);
        }
    }

    /// Sends a sidecar the changes in a pool since its last update.
    fn flush_to(&mut self, now: Duration, host: &HostName, pool: &PoolName) {
        let Some(pool_view) = self.pool_view_mut(host, pool) else {
            return;
        };
        let mut waits = Vec::new();
        for account in pool_view.take_changed(now) {
            let count = self.reportable_count(now, host, pool, &account);
            let wait = self.account_wait(now, pool, &account, count);
            let pool_view = self.pool_view_mut(host, pool);
            if pool_view
                .is_some_and(|pool_view| pool_view.record_if_significant(&account, wait.count))
            {
                waits.push(wait);
            }
        }
        if !waits.is_empty() {
            self.send_waits(host.clone(), pool.clone(), false, waits);
        }
    }

    fn pool_view_mut(&mut self, host: &HostName, pool: &PoolName) -> Option<&mut PoolView> {
        self.sidecars.get_mut(host)?.pools.get_mut(pool)
    }

    /// Sends all waits of a pool to a sidecar that has started to serve it.
    ///
    /// Updates from before it stopped serving the pool may have crossed with its `NotServed`.
    /// Without the full update, stale counts could make it pull endlessly.
    pub(super) fn send_all_waits(&mut self, now: Duration, host: &HostName, pool: &PoolName) {
        let accounts = self.queues.get(pool).map(PoolQueue::accounts);
        let accounts: Vec<AccountName> = accounts.into_iter().flatten().cloned().collect();
        let waits = self.refresh_waits(now, host, pool, &accounts);
        let waiting = waits.into_iter().filter(|wait| wait.count > 0).collect();
        self.send_waits(host.clone(), pool.clone(), true, waiting);
    }

    /// Answers a pull that no request matches.
    ///
    /// The current counts of its accounts are sent before the answer; without them the sidecar
    /// would repeat the same pull endlessly.
    pub(super) fn answer_empty_pull(
        &mut self,
        now: Duration,
        to: &HostName,
        pull: u64,
        pool: &PoolName,
        accounts: &[AccountName],
    ) {
        self.flush_to(now, to, pool);
        let waits = self.refresh_waits(now, to, pool, accounts);
        self.send_waits(to.clone(), pool.clone(), false, waits);
        let message = ToSidecar::NoWork { pull };
        let to = to.clone();
        self.actions.push(EntryAction::Send { to, message });
    }

    /// Marks the accounts with requests that avoid a sidecar, after the set of sidecars of the pool
    /// has changed: such a request may run at a sidecar that it avoids if no other one is left.
    pub(super) fn mark_avoiding(&mut self, pool: &PoolName) {
        let Some(queue) = self.queues.get(pool) else {
            return;
        };
        let avoiding = queue
            .accounts()
            .filter(|account| queue.has_avoiding(account));
        let marks = avoiding.map(|account| (pool.clone(), account.clone()));
        self.changed.extend(marks);
    }

    /// Marks all accounts of a pool for a sidecar that has more free slots: while it was saturated,
    /// the counts sent to it were rough.
    pub(super) fn mark_for_more_slots(&mut self, host: &HostName, pool: &PoolName) {
        let view = self.sidecars.get_mut(host);
        let pool_view = view.and_then(|view| view.pools.get_mut(pool));
        if let Some((pool_view, queue)) = pool_view.zip(self.queues.get(pool)) {
            queue
                .accounts()
                .for_each(|account| pool_view.mark_changed(account));
        }
    }

    /// Records the accounts' current counts as sent to a sidecar, and returns them.
    fn refresh_waits(
        &mut self,
        now: Duration,
        host: &HostName,
        pool: &PoolName,
        accounts: &[AccountName],
    ) -> Vec<AccountWait> {
        let mut waits = Vec::new();
        for account in accounts {
            let count = self.eligible_count(now, host, pool, account);
            let wait = self.account_wait(now, pool, account, count);
            if let Some(pool_view) = self.pool_view_mut(host, pool) {
                pool_view.record_sent(account, wait.count);
                waits.push(wait);
            }
        }
        waits
    }

    /// Number of an account's requests to report to a sidecar. Expired requests count until the
    /// next tick, unless the queue has to be searched for avoided sidecars.
    fn reportable_count(
        &self,
        now: Duration,
        host: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> usize {
        match self.queues.get(pool) {
            Some(queue) if !queue.has_avoiding(account) => {
                queue.count(account).min(self.concurrency.headroom(account))
            }
            _ => self.eligible_count(now, host, pool, account),
        }
    }

    /// Number of an account's requests that the sidecar could pull now.
    fn eligible_count(
        &self,
        now: Duration,
        host: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> usize {
        let eligible = |waiting: &QueuedRequest| {
            waiting.deadline > now && can_run_at(self.sidecars.iter(), host, waiting)
        };
        let queue = self.queues.get(pool);
        let count = queue.map_or(0, |queue| queue.count_allowed(account, eligible));
        count.min(self.concurrency.headroom(account))
    }

    fn account_wait(
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
