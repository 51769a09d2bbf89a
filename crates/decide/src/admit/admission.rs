//! The queue bounds and deadlines of one entry host.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootnotch_types::{AccountName, PoolName};

use super::{DrainMeter, QueueLimits, Refusal, RefusalReason};

/// When to come back to a pool from which nothing has ever started: long enough for an upstream to
/// be found or brought back, short enough to notice it.
const UNMEASURED_RETRY_AFTER: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, Default)]
struct Line {
    waiting: u32,
    drain: DrainMeter,
}

/// Decides what an entry host queues, from what waits and how fast it drains.
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
    lines: HashMap<PoolName, HashMap<AccountName, Line>>,
    accounts: HashMap<AccountName, u32>,
    queued: u32,
}

impl Admission {
    /// An empty queue with these bounds.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            lines: HashMap::new(),
            accounts: HashMap::new(),
            queued: 0,
        }
    }

    /// Whether a request is let in; `deadline` is the latest start that is of use to its caller.
    ///
    /// # Errors
    /// Returns a [`Refusal`] when the account's share of the queue is full, or when by the measured
    /// drain rate the request would not start by its deadline. It has not run, and nothing is kept.
    pub fn admit(
        &self,
        pool: &PoolName,
        account: &AccountName,
        deadline: Option<Duration>,
        now: Duration,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(pool, account, now);
        if self.waiting_of(account) >= self.limits.allowance(self.queued) {
            // The queue has room again after one more start, if nobody else takes the place. Half
            // the queue is the time after which that is likely to be so.
            let retry_after = wait.map_or(UNMEASURED_RETRY_AFTER, |w| w / 2);
            return Err(Refusal::new(RefusalReason::AccountQueueFull, retry_after));
        }
        let left = deadline.map(|d| d.saturating_sub(now));
        match wait.zip(left) {
            Some((wait, left)) if wait > left => {
                Err(Refusal::new(RefusalReason::Deadline, wait - left))
            }
            _ => Ok(()),
        }
    }

    /// How long a request that came now would wait; `None` while nothing has been measured.
    #[must_use]
    pub fn expected_wait(
        &self,
        pool: &PoolName,
        account: &AccountName,
        now: Duration,
    ) -> Option<Duration> {
        let line = self.line(pool, account);
        if line.waiting == 0 {
            return Some(Duration::ZERO);
        }
        line.drain.expected_wait(line.waiting, now)
    }

    /// Requests that wait in all.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Requests of one account that wait, over all pools.
    #[must_use]
    pub fn waiting_of(&self, account: &AccountName) -> u32 {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Counts a request that was let in and queued.
    pub fn on_queued(&mut self, pool: &PoolName, account: &AccountName, now: Duration) {
        self.queued += 1;
        *self.accounts.entry(account.clone()).or_default() += 1;
        let lines = self.lines.entry(pool.clone()).or_default();
        let line = lines.entry(account.clone()).or_default();
        if line.waiting == 0 {
            line.drain.on_backlog(now);
        }
        line.waiting += 1;
    }

    /// Counts a queued request that was started.
    pub fn on_started(&mut self, pool: &PoolName, account: &AccountName, now: Duration) {
        let line = self.take_one(pool, account);
        line.drain.on_start(now, line.waiting > 0);
    }

    /// Counts a queued request that left without being started: cancelled, refused or out of time.
    pub fn on_left(&mut self, pool: &PoolName, account: &AccountName) {
        let line = self.take_one(pool, account);
        if line.waiting == 0 {
            line.drain.on_empty();
        }
    }

    fn line(&self, pool: &PoolName, account: &AccountName) -> Line {
        let lines = self.lines.get(pool);
        let line = lines.and_then(|l| l.get(account));
        line.copied().unwrap_or_default()
    }

    fn take_one(&mut self, pool: &PoolName, account: &AccountName) -> &mut Line {
        let of_account = self.accounts.get_mut(account).filter(|count| **count > 0);
        *of_account.expect("a request that leaves the queue is in it") -= 1;
        self.queued -= 1;
        let line = self.lines.get_mut(pool).and_then(|l| l.get_mut(account));
        let line = line.expect("a request that leaves a pool's queue is in it");
        line.waiting -= 1;
        line
    }
}
