//! Admission to the queues of one entry host, by queue bounds and deadlines.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName};

use super::{DrainMeter, QueueLimits, Refusal, RefusalReason};

/// `retry_after` without a measured drain rate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, Default)]
struct AccountQueue {
    waiting: u32,
    drain: DrainMeter,
}

/// Admits requests to the queues of an entry host, by their lengths and drain rates.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::admit::{Admission, QueueLimits};
/// use coltsfootnotch_types::{AccountName, PoolName};
/// let (pool, bistro) = (PoolName::new("menu-writer")?, AccountName::new("bistro")?);
/// let mut admission = Admission::new(QueueLimits { per_account: 1, total: 10 });
/// let now = Duration::ZERO;
/// assert!(admission.admit(&pool, &bistro, None, now).is_ok());
/// admission.on_queued(&pool, &bistro, now);
/// assert!(admission.admit(&pool, &bistro, None, now).is_err());
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Admission {
    limits: QueueLimits,
    queues: HashMap<PoolName, HashMap<AccountName, AccountQueue>>,
    accounts: HashMap<AccountName, u32>,
    queued: u32,
}

impl Admission {
    /// Empty queues with these bounds.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            queues: HashMap::new(),
            accounts: HashMap::new(),
            queued: 0,
        }
    }

    /// Whether a request is admitted; `deadline` is the latest start that is of use to its caller.
    ///
    /// # Errors
    /// Returns a [`Refusal`] when the account has reached its bound of the queue, or when the request
    /// is not expected to start by its deadline. Nothing is counted in either case.
    pub fn admit(
        &self,
        pool: &PoolName,
        account: &AccountName,
        deadline: Option<Duration>,
        now: Duration,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(pool, account, now);
        if self.queued_by(account) >= self.limits.allowance(self.queued) {
            // One start frees an entry, but other requests compete for it.
            let retry_after = wait.map_or(DEFAULT_RETRY_AFTER, |w| w / 2);
            return Err(Refusal::new(RefusalReason::AccountQueueFull, retry_after));
        }
        let time_left = deadline.map(|d| d.saturating_sub(now));
        match wait.zip(time_left) {
            Some((wait, time_left)) if wait > time_left => {
                Err(Refusal::new(RefusalReason::Deadline, wait - time_left))
            }
            _ => Ok(()),
        }
    }

    /// Expected wait of a request that arrives now; `None` without a measured drain rate.
    #[must_use]
    pub fn expected_wait(
        &self,
        pool: &PoolName,
        account: &AccountName,
        now: Duration,
    ) -> Option<Duration> {
        let queue = self.queue(pool, account);
        if queue.waiting == 0 {
            return Some(Duration::ZERO);
        }
        queue.drain.expected_wait(queue.waiting, now)
    }

    /// Number of queued requests over all pools and accounts.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Number of queued requests of one account over all pools.
    #[must_use]
    pub fn queued_by(&self, account: &AccountName) -> u32 {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Counts an admitted request that was queued.
    pub fn on_queued(&mut self, pool: &PoolName, account: &AccountName, now: Duration) {
        self.queued += 1;
        *self.accounts.entry(account.clone()).or_default() += 1;
        let queues = self.queues.entry(pool.clone()).or_default();
        let queue = queues.entry(account.clone()).or_default();
        if queue.waiting == 0 {
            queue.drain.on_backlog(now);
        }
        queue.waiting += 1;
    }

    /// Counts a queued request that was started.
    pub fn on_started(&mut self, pool: &PoolName, account: &AccountName, now: Duration) {
        let queue = self.remove_one(pool, account);
        queue.drain.on_start(now, queue.waiting > 0);
    }

    /// Counts a queued request that was removed without a start: cancelled, refused or timed out.
    pub fn on_removed(&mut self, pool: &PoolName, account: &AccountName) {
        let queue = self.remove_one(pool, account);
        if queue.waiting == 0 {
            queue.drain.on_empty();
        }
    }

    fn queue(&self, pool: &PoolName, account: &AccountName) -> AccountQueue {
        let queues = self.queues.get(pool);
        let queue = queues.and_then(|q| q.get(account));
        queue.copied().unwrap_or_default()
    }

    fn remove_one(&mut self, pool: &PoolName, account: &AccountName) -> &mut AccountQueue {
        let account_count = self.accounts.get_mut(account).filter(|count| **count > 0);
        *account_count.expect("a request that leaves the queue is in it") -= 1;
        self.queued -= 1;
        let queue = self.queues.get_mut(pool).and_then(|q| q.get_mut(account));
        let queue = queue.expect("a request that leaves a pool's queue is in it");
        queue.waiting -= 1;
        queue
    }
}
