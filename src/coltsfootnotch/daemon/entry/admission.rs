//! Admission of requests, and the refusals of those that are not admitted.

use std::time::Duration;

use coltsfootnotch_decide::admit::{Admission, QueueLimits, RefusalReason};
use coltsfootnotch_decide::crash::RunPolicy;
use coltsfootnotch_types::prelude::*;

use super::ClientRequest;
use super::actor::EntryActor;
use crate::core::{Refusal, RefusalKind};

/// Retry-After for a pool without upstreams, an entry that shuts down, or an unknown queue wait.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Creates the admission with the queue bound of the entry. The manifest bounds each account.
pub(super) fn new_admission(total: usize) -> Admission {
    let total = u32::try_from(total).unwrap_or(u32::MAX);
    Admission::new(QueueLimits {
        per_account: total,
        total,
    })
}

impl EntryActor {
    /// Returns the refusal of a request that is not admitted; it has reached no upstream.
    pub(super) fn admission_refusal(&self, req: &ClientRequest) -> Option<Refusal> {
        let now = self.cx.now();
        if self.lifecycle.is_stopping() {
            return Some(Refusal::not_run(RefusalKind::NotReady).retry_after(DEFAULT_RETRY_AFTER));
        }
        if let RunPolicy::Refused { retry_after } = self.suspects.run_policy(now, req) {
            return Some(Refusal::not_run(RefusalKind::Crashing).retry_after(retry_after));
        }
        if !self.core.has_sidecar_for(&req.pool) {
            return Some(
                Refusal::not_run(RefusalKind::NoUpstream).retry_after(DEFAULT_RETRY_AFTER),
            );
        }
        self.queue_refusal(now, req)
    }

    /// Counts an otherwise admitted request towards its account's rate limit; refuses one above it.
    pub(super) fn rate_limit_refusal(&mut self, req: &ClientRequest) -> Option<Refusal> {
        let configured = req.config.account(req.account.as_str())?;
        let per_s = configured.limits.requests_per_s?;
        let now = self.cx.now();
        let wait = self.rate_limits.take(&req.account, per_s, now).err()?;
        Some(Refusal::not_run(RefusalKind::RateLimited).retry_after(wait))
    }

    fn queue_refusal(&self, now: Duration, req: &ClientRequest) -> Option<Refusal> {
        let (pool, account) = (&req.pool, &req.account);
        let configured = req.config.account(account.as_str());
        let max_queued = configured.map_or(0, |configured| configured.limits.queue);
        if self.admission.queued_by(account) as usize >= max_queued {
            let wait = self
                .admission
                .expected_wait(pool, account, now)
                .unwrap_or(DEFAULT_RETRY_AFTER);
            return Some(Refusal::not_run(RefusalKind::QueueFull).retry_after(wait / 2));
        }
        let refusal = self
            .admission
            .admit(pool, account, Some(req.deadline), now)
            .err()?;
        let kind = match refusal.reason {
            RefusalReason::AccountQueueFull => RefusalKind::Overloaded,
            RefusalReason::Deadline => RefusalKind::Deadline,
            RefusalReason::Connections | RefusalReason::Memory => RefusalKind::Overloaded,
        };
        Some(Refusal::not_run(kind).retry_after(refusal.retry_after))
    }

    /// Time after which a similar request is expected to be admitted, at least one second.
    pub(super) fn retry_after(&self, pool: &PoolName, account: &AccountName) -> Duration {
        let wait = self.admission.expected_wait(pool, account, self.cx.now());
        wait.unwrap_or(DEFAULT_RETRY_AFTER)
            .max(Duration::from_secs(1))
    }
}
