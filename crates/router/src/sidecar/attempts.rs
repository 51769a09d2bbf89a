//! Attempts at the sidecar: the decision to start them, their charges and their ends.

use std::time::Duration;

use coltsfootnotch_decide::crash::{ContentDigest, SuspectKey};
use coltsfootnotch_decide::route::HealthEvent;
use coltsfootnotch_decide::window::RunEnd;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, ContentKey, FromSidecar, NotStartedReason, OpenAttempt, OpenCause,
};

use super::runs::Run;
use super::{InFlightRequests, RunOutcome, SidecarCore, UpstreamSlots};

impl SidecarCore {
    /// Decides whether an attempt starts, and on which upstream.
    ///
    /// Every start is decided here: after `Ok` the request may reach the upstream, after `Err` it
    /// never does by this attempt.
    ///
    /// # Errors
    /// Returns the reason why the attempt is not started.
    pub fn try_start(
        &mut self,
        now: Duration,
        from: &HostName,
        open: &OpenAttempt,
    ) -> Result<UpstreamName, NotStartedReason> {
        if open.sidecar != self.incarnation {
            return Err(NotStartedReason::OtherIncarnation);
        }
        if self.runs.contains(open.attempt) {
            return Err(NotStartedReason::Duplicate);
        }
        let upstream = self.slot_for(now, from, open)?;
        let has_waiting = self.ledger.choose(&open.pool).is_some();
        let slots = self.upstreams.get_mut(&upstream);
        let slots = slots.ok_or(NotStartedReason::Leaving)?;
        isolate_suspect(slots, open)?;
        if !open.repeatable && !self.dispatched.dispatch(open.attempt) {
            // The suspect does not start, so it must not block other suspects.
            slots.isolation.release(&suspect_key(&content_key(open)));
            return Err(NotStartedReason::Duplicate);
        }
        slots.window.on_start(now, has_waiting);
        let slot = (upstream.clone(), slots.generation);
        let charge = self.ledger.start(&open.account, Some(open.estimate));
        let run = Run::new(open, slot, charge, now);
        self.runs.insert(open.attempt, run);
        Ok(upstream)
    }

    /// Records the first chunk of an attempt's answer.
    pub fn on_first_chunk(&mut self, now: Duration, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        run.tokens = Some((now, 0));
        let slots = self.upstreams.of_generation(&run.upstream, run.generation);
        if let Some(slots) = slots {
            slots.window.on_first_token(run.started, now);
        }
    }

    /// Records the tokens and service of a running attempt, as totals since its start.
    pub fn progress(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        tokens: u64,
        total: ServiceUnits,
    ) {
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        self.ledger.stream(&mut run.charge, total);
        let gap = run.token_gap(now, tokens);
        let slots = self.upstreams.of_generation(&run.upstream, run.generation);
        if let (Some(gap), Some(slots)) = (gap, slots) {
            slots.window.on_token_gap(gap, now);
        }
    }

    /// Settles the charge of an attempt that has ended, and frees its slot.
    pub fn finish(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        total: ServiceUnits,
        outcome: RunOutcome,
    ) {
        let Some(mut run) = self.runs.remove(attempt) else {
            return;
        };
        self.ledger.stream(&mut run.charge, total);
        self.ledger.settle(run.charge);
        let end = outcome.run_end();
        let slots = self.upstreams.of_generation(&run.upstream, run.generation);
        if let Some(slots) = slots {
            slots.window.on_end(run.started, now, end);
            if !run.suspected_of.is_empty() {
                slots.isolation.release(&suspect_key(&run.key));
            }
            match end {
                RunEnd::Finished => slots.health.on_event(HealthEvent::Succeeded, now),
                RunEnd::Failed => slots.health.on_event(HealthEvent::Failed, now),
                RunEnd::Cancelled => {}
            }
        }
        if end == RunEnd::Finished && !run.suspected_of.is_empty() {
            let (key, crashes) = (run.key, run.suspected_of);
            self.broadcast(&FromSidecar::Cleared { key, crashes });
        }
    }

    /// Records that an upstream wants no requests for `time`. Returns whether it took requests until now,
    /// and does not any more.
    pub fn on_backoff_requested(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        time: Duration,
    ) -> bool {
        let slots = self.upstreams.get_mut(upstream);
        slots.is_some_and(|slots| slots.request_backoff(now, time))
    }

    /// Records the crash of an upstream that ran `requests`, and reports it to all entries.
    pub fn on_upstream_crash(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        requests: InFlightRequests,
    ) {
        let pool = self.upstreams.get_mut(upstream).map(|slots| {
            slots.health.on_event(HealthEvent::Down, now);
            slots.pool.clone()
        });
        let report = self.crashes.record(now, upstream, pool, requests);
        self.broadcast(&FromSidecar::Crashed(report));
    }

    fn slot_for(
        &mut self,
        now: Duration,
        from: &HostName,
        open: &OpenAttempt,
    ) -> Result<UpstreamName, NotStartedReason> {
        let pulled = match open.cause {
            OpenCause::Pull { pull } => {
                let reservation = self.pulls.take(now, pull);
                let reservation = reservation.ok_or(NotStartedReason::PullExpired)?;
                let slot = (reservation.upstream.clone(), reservation.generation);
                self.unreserve(reservation);
                Some(slot)
            }
            OpenCause::Offer if !open.repeatable => return Err(NotStartedReason::PullExpired),
            OpenCause::Offer => {
                self.entries.on_offer(from, &open.pool);
                None
            }
            OpenCause::Resume { .. } => return Err(NotStartedReason::Duplicate),
        };
        if !self.accepts_work() {
            return Err(NotStartedReason::Leaving);
        }
        let reserved = pulled.and_then(|slot| self.if_still_usable(now, slot, &open.pool));
        let upstream = reserved.or_else(|| self.upstreams.with_most_free(now, &open.pool));
        upstream.ok_or(NotStartedReason::Busy)
    }

    /// The upstream of a reservation, if it still accepts work of the pool: between the pull and
    /// the start it may have announced that it leaves, stopped announcing or changed its pool.
    fn if_still_usable(
        &self,
        now: Duration,
        (upstream, generation): (UpstreamName, u64),
        pool: &PoolName,
    ) -> Option<UpstreamName> {
        let slots = self.upstreams.get(&upstream)?;
        let same = slots.generation == generation && slots.pool == *pool;
        (same && slots.usable(now) > 0).then_some(upstream)
    }
}

/// Admits a crash suspect only if no other suspect runs on the upstream.
fn isolate_suspect(slots: &mut UpstreamSlots, open: &OpenAttempt) -> Result<(), NotStartedReason> {
    if open.suspected_of.is_empty() {
        return Ok(());
    }
    if slots
        .isolation
        .try_acquire(&suspect_key(&content_key(open)))
    {
        Ok(())
    } else {
        Err(NotStartedReason::OtherSuspect)
    }
}

fn content_key(open: &OpenAttempt) -> ContentKey {
    ContentKey {
        account: open.account.clone(),
        content: open.content,
    }
}

fn suspect_key(key: &ContentKey) -> SuspectKey {
    SuspectKey {
        account: key.account.clone(),
        content: ContentDigest(key.content),
    }
}
