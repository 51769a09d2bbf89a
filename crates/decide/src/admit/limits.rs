//! Bounds of the queue of one entry host.

/// How many requests may wait on one entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Of one account.
    pub per_account: u32,
    /// Of all accounts.
    pub total: u32,
}

impl QueueLimits {
    /// How many requests one account may hold while `queued` wait in all.
    ///
    /// It is as many as are still free. One flooding account comes to rest at half the queue, and
    /// `n` of them at `n/(n+1)` of it together, so whoever comes next always finds room. A fixed
    /// share per account would have to be tiny to promise the same.
    ///
    /// ```
    /// use coltsfootnotch_decide::admit::QueueLimits;
    /// let limits = QueueLimits { per_account: 1_000, total: 1_000 };
    /// assert_eq!(limits.allowance(0), 1_000);
    /// assert_eq!(limits.allowance(500), 500);
    /// ```
    #[must_use]
    pub fn allowance(&self, queued: u32) -> u32 {
        let free = self.total.saturating_sub(queued);
        self.per_account.min(free)
    }
}
