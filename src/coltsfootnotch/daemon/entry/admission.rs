//! What this entry lets in, and what it tells those it turns away.

use std::time::Duration;

use coltsfootnotch_decide::admit::{Admission, QueueLimits, RefusalReason};
use coltsfootnotch_decide::crash::RunPolicy;
use coltsfootnotch_types::prelude::*;

use super::Arrival;
use super::actor::EntryActor;
use crate::core::{Refusal, RefusalKind};

/// When a caller may come back to a pool that no upstream serves now, or to an entry that leaves.
pub(super) const RETRY_LATER: Duration = Duration::from_secs(2);

/// The queue bounds of an entry: an account's own come from the manifest.
pub(super) fn queue_of(total: usize) -> Admission {
    let total = u32::try_from(total).unwrap_or(u32::MAX);
    Admission::new(QueueLimits {
        per_account: total,
        total,
    })
}

impl EntryActor {
    /// Why a request is not let in, if it is not. It has reached no upstream.
    pub(super) fn refusal_of(&self, arrival: &Arrival) -> Option<Refusal> {
        let now = self.cx.now();
        if self.life.is_stopping() {
            return Some(Refusal::not_run(RefusalKind::NotReady).retry_after(RETRY_LATER));
        }
        if let RunPolicy::Refused { retry_after } = self.suspects.verdict(now, arrival) {
            return Some(Refusal::not_run(RefusalKind::Crashing).retry_after(retry_after));
        }
        if !self.core.has_sidecar_for(&arrival.pool) {
            return Some(Refusal::not_run(RefusalKind::NoUpstream).retry_after(RETRY_LATER));
        }
        self.queue_refusal(now, arrival)
    }

    /// Counts a request that is let in otherwise, and refuses it when its account sends too many.
    pub(super) fn rate_refusal(&mut self, arrival: &Arrival) -> Option<Refusal> {
        let configured = arrival.config.account(arrival.account.as_str())?;
        let per_s = configured.limits.requests_per_s?;
        let now = self.cx.now();
        let wait = self.rates.take(&arrival.account, per_s, now).err()?;
        Some(Refusal::not_run(RefusalKind::RateLimited).retry_after(wait))
    }

    fn queue_refusal(&self, now: Duration, arrival: &Arrival) -> Option<Refusal> {
        let (pool, account) = (&arrival.pool, &arrival.account);
        let configured = arrival.config.account(account.as_str());
        let most = configured.map_or(0, |configured| configured.limits.queue);
        if self.admission.queued_by(account) as usize >= most {
            let wait = self
                .admission
                .expected_wait(pool, account, now)
                .unwrap_or(RETRY_LATER);
            return Some(Refusal::not_run(RefusalKind::QueueFull).retry_after(wait / 2));
        }
        let refusal = self
            .admission
            .admit(pool, account, Some(arrival.deadline), now)
            .err()?;
        let kind = match refusal.reason {
            RefusalReason::AccountQueueFull => RefusalKind::Overloaded,
            RefusalReason::Deadline => RefusalKind::Deadline,
            RefusalReason::Connections | RefusalReason::Memory => RefusalKind::Overloaded,
        };
        Some(Refusal::not_run(kind).retry_after(refusal.retry_after))
    }

    /// The time after which a request like this one would be let in.
    pub(super) fn come_back_after(&self, pool: &PoolName, account: &AccountName) -> Duration {
        let wait = self.admission.expected_wait(pool, account, self.cx.now());
        wait.unwrap_or(RETRY_LATER).max(Duration::from_secs(1))
    }
}
