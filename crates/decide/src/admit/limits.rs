//! Queue bounds of one entry host.

/// Largest number of requests that may wait on one entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests of one account.
    pub per_account: u32,
    /// Requests of all accounts.
    pub total: u32,
}

impl QueueLimits {
    /// Largest number of queued requests of one account while `queued` requests wait in total.
    ///
    /// It is the free part of the queue, so `n` flooding accounts together fill at most `n/(n+1)`
    /// of it and leave capacity for others.
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
