//! Attempts at the sidecar core: whether they start, what they are charged, how they end.

use std::time::Duration;

use coltsfootnotch_decide::crash::{ContentDigest, SuspectKey};
use coltsfootnotch_decide::route::HealthEvent;
use coltsfootnotch_decide::window::RunEnd;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, Begin, BeginCause, ContentKey, FromSidecar, NotStartedReason,
};

use super::runs::Run;
use super::{RunOutcome, SidecarCore, UpstreamSlots};

impl SidecarCore {
    /// Decides whether an attempt starts, and on which upstream.
    ///
    /// This is the one place that decides: after `Ok` the upstream may see the request, after `Err`
    /// it never will by this attempt.
    ///
    /// # Errors
    /// Returns the reason for which the attempt is not started.
    pub fn begin(
        &mut self,
        now: Duration,
        from: &HostName,
        begin: &Begin,
    ) -> Result<UpstreamName, NotStartedReason> {
        if begin.sidecar != self.me {
            return Err(NotStartedReason::OtherIncarnation);
        }
        if self.runs.contains(begin.attempt) {
            return Err(NotStartedReason::Duplicate);
        }
        let upstream = self.slot_for(now, from, begin)?;
        let more_waits = self.fair.choose(&begin.pool).is_some();
        let slots = self.upstreams.get_mut(&upstream);
        let slots = slots.ok_or(NotStartedReason::Leaving)?;
        keep_apart(slots, begin)?;
        if !begin.repeatable && !self.dispatched.dispatch(begin.attempt) {
            // Held on, the place of the suspect that does not start would keep all others out.
            slots.apart.release(&suspect_key(&content_key(begin)));
            return Err(NotStartedReason::Duplicate);
        }
        slots.window.on_start(now, more_waits);
        let place = (upstream.clone(), slots.generation);
        let charge = self.fair.start(&begin.account, Some(begin.estimate));
        let run = Run::new(begin, place, charge, now);
        self.runs.insert(begin.attempt, run);
        Ok(upstream)
    }

    /// The first piece of an attempt's answer has come.
    pub fn first_piece(&mut self, now: Duration, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        run.tokens = Some((now, 0));
        let slots = self.upstreams.of_generation(&run.upstream, run.generation);
        if let Some(slots) = slots {
            slots.window.on_first_token(run.started, now);
        }
    }

    /// Counts tokens and service while an attempt runs; both are totals so far.
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
        self.fair.stream(&mut run.charge, total);
        let gap = run.gap(now, tokens);
        let slots = self.upstreams.of_generation(&run.upstream, run.generation);
        if let (Some(gap), Some(slots)) = (gap, slots) {
            slots.window.on_token_gap(gap, now);
        }
    }

    /// Settles an attempt that has ended and frees its slot.
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
        self.fair.stream(&mut run.charge, total);
        self.fair.settle(run.charge);
        let end = outcome.end();
        let slots = self.upstreams.of_generation(&run.upstream, run.generation);
        if let Some(slots) = slots {
            slots.window.on_end(run.started, now, end);
            if !run.suspected_of.is_empty() {
                slots.apart.release(&suspect_key(&run.key));
            }
            match end {
                RunEnd::Finished => slots.health.on_event(HealthEvent::Succeeded, now),
                RunEnd::Failed => slots.health.on_event(HealthEvent::Failed, now),
                RunEnd::Cancelled => {}
            }
        }
        if end == RunEnd::Finished && !run.suspected_of.is_empty() {
            let (key, crashes) = (run.key, run.suspected_of);
            self.tell_all(&FromSidecar::Cleared { key, crashes });
        }
    }

    /// An upstream has crashed with `suspects` in flight.
    pub fn crashed(&mut self, now: Duration, upstream: &UpstreamName, suspects: Vec<ContentKey>) {
        if let Some(slots) = self.upstreams.get_mut(upstream) {
            slots.health.on_event(HealthEvent::Down, now);
        }
        let news = self.crashes.notice(now, upstream, suspects);
        self.tell_all(&FromSidecar::Crashed(news));
    }

    fn slot_for(
        &mut self,
        now: Duration,
        from: &HostName,
        begin: &Begin,
    ) -> Result<UpstreamName, NotStartedReason> {
        let pulled = match begin.cause {
            BeginCause::Pull { pull } => {
                let reserved = self.pulls.take(now, pull);
                let reserved = reserved.ok_or(NotStartedReason::PullExpired)?;
                let place = (reserved.upstream.clone(), reserved.generation);
                self.unreserve(reserved);
                Some(place)
            }
            BeginCause::Offer if !begin.repeatable => return Err(NotStartedReason::PullExpired),
            BeginCause::Offer => {
                self.entries.count_offer(from, &begin.pool);
                None
            }
            BeginCause::Resume { .. } => return Err(NotStartedReason::Duplicate),
        };
        if self.leaving {
            return Err(NotStartedReason::Leaving);
        }
        let kept = pulled.and_then(|place| self.still_open(now, place, &begin.pool));
        let upstream = kept.or_else(|| self.upstreams.freest(now, &begin.pool));
        upstream.ok_or(NotStartedReason::Busy)
    }

    /// The upstream of a reservation, if it still takes work of the pool.
    ///
    /// Between the pull and the start it may have announced that it leaves, fallen silent or changed
    /// its pool: the request would run on an upstream that is going away, or on a wrong one.
    fn still_open(
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

/// A suspect of crashes starts only where no other suspect runs.
fn keep_apart(slots: &mut UpstreamSlots, begin: &Begin) -> Result<(), NotStartedReason> {
    if begin.suspected_of.is_empty() {
        return Ok(());
    }
    if slots.apart.try_acquire(&suspect_key(&content_key(begin))) {
        Ok(())
    } else {
        Err(NotStartedReason::OtherSuspect)
    }
}

fn content_key(begin: &Begin) -> ContentKey {
    ContentKey {
        account: begin.account.clone(),
        content: begin.content,
    }
}

fn suspect_key(key: &ContentKey) -> SuspectKey {
    SuspectKey {
        account: key.account.clone(),
        content: ContentDigest(key.content),
    }
}
