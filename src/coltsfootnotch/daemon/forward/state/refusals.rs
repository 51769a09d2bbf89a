//! Refusals of requests, with what callers and operators are told.

use std::time::Duration;

use coltsfootnotch_forward::line::{Patience, may_wait};
use coltsfootnotch_forward::place::{Refusal, RefusalReason};

use super::State;
use crate::daemon::forward::messages::{AccountShare, PlaceRequest, PlacementError};

/// `Retry-After` while all upstreams of a service are in evacuated domains. Operators end an
/// evacuation in seconds at the earliest.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after the start of this host from which it knows the upstreams. After a loss of power control hosts learn
/// them from announcements, of which each upstream sends one in about two seconds.
const UPSTREAMS_KNOWN_AFTER: Duration = Duration::from_secs(4);

impl State {
    /// The error for a refused request, with the share of its account.
    pub(super) fn refused(
        &mut self,
        now: Duration,
        req: &PlaceRequest,
        refusal: Refusal,
    ) -> PlacementError {
        let service = &req.config.services()[req.service].name;
        let account = req.account.as_ref();
        let share = account.and_then(|account| {
            Some(AccountShare {
                pressure: self.shares.pressure(now, account)?,
                fraction: self.shares.fair_fraction(now, account),
                age: now.saturating_sub(self.remote_at),
            })
        });
        PlacementError::Refused(self.explain(now, service, req, refusal), share)
    }

    /// How long a refused request waits for an engine with room; none if it is refused for good. One that
    /// reached an upstream before has no time left, and one that resumes a stream is placed again anyway.
    pub(in crate::daemon::forward) fn wait(
        &self,
        now: Duration,
        req: &PlaceRequest,
        refusal: &Refusal,
        share: Option<&AccountShare>,
    ) -> Option<Duration> {
        if !req.is_first() || req.origin.is_some() {
            return None;
        }
        if share.is_some_and(|share| !may_wait(share.pressure, share.fraction)) {
            return None;
        }
        let service = &req.config.services()[req.service].name;
        let rate = self.engine_rates.prefill_rate(&req.config, service);
        let own_ms = rate.base_ms + req.prompt.own_tokens() as f64 / rate.tokens_per_ms;
        let patience = Patience {
            target_left: req.target_left?,
            own_time: Duration::from_secs_f64(own_ms / 1e3),
        };
        let may_know_few =
            refusal.reason == RefusalReason::NoUpstream && now < UPSTREAMS_KNOWN_AFTER;
        if may_know_few {
            patience.longest_wait()
        } else {
            patience.wait(refusal)
        }
    }

    /// Replaces a refusal for want of an upstream if there are some which may not be used now.
    fn explain(
        &self,
        now: Duration,
        service: &str,
        req: &PlaceRequest,
        refusal: Refusal,
    ) -> Refusal {
        if refusal.reason != RefusalReason::NoUpstream {
            return refusal;
        }
        if req.origin.is_some() && !self.has_untried(service, req) {
            let reason = RefusalReason::VersionGone;
            return Refusal { reason, ..refusal };
        }
        let is_announced = self.registry.ready(service).next().is_some();
        if is_announced && self.available_share(service) == 0.0 {
            return Refusal {
                reason: RefusalReason::Evacuated,
                retry_after: EVACUATED_RETRY_AFTER,
                ..refusal
            };
        }
        let Some(end) = self.first_backoff_end(now, service) else {
            return refusal;
        };
        Refusal {
            reason: RefusalReason::Backoff,
            retry_after: end.saturating_sub(now),
            ..refusal
        }
    }

    /// Whether an upstream that has not been tried runs the version that began the stream to resume.
    fn has_untried(&self, service: &str, req: &PlaceRequest) -> bool {
        let mut ready = self.registry.ready(service);
        ready.any(|upstream| {
            let announcement = &upstream.announcement;
            req.may_go_to(announcement) && !req.avoid.contains(&announcement.id)
        })
    }

    /// When the first upstream of the service accepts requests again, if all of them asked for none
    /// until a later time.
    fn first_backoff_end(&self, now: Duration, service: &str) -> Option<Duration> {
        let notices = self.notices.lock();
        let available = self
            .registry
            .ready(service)
            .map(|upstream| &upstream.announcement)
            .filter(|announcement| !self.evacuated.contains(&announcement.domain));
        let staying = available.filter(|a| !notices.is_leaving(&a.id, a.born_ms));
        let ends = staying.map(|a| notices.backoff_end(now, &a.id, a.born_ms));
        ends.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
