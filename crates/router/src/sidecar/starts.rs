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
use super::{RunOutcome, SidecarCore};

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
        self.keep_apart(&upstream, begin)?;
        if !begin.repeatable && !self.dispatched.dispatch(begin.attempt) {
            return Err(NotStartedReason::Duplicate);
        }
        let more_waits = self.fair.choose(&begin.pool).is_some();
        if let Some(slots) = self.upstreams.get_mut(&upstream) {
            slots.window.on_start(now, more_waits);
        }
        let charge = self.fair.start(&begin.account, Some(begin.estimate));
        self.runs.insert(
            begin.attempt,
            Run::new(begin, upstream.clone(), charge, now),
        );
        Ok(upstream)
    }

    /// The first piece of an attempt's answer has come.
    pub fn first_piece(&mut self, now: Duration, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        run.tokens = Some((now, 0));
        if let Some(slots) = self.upstreams.get_mut(&run.upstream) {
            slots.window.on_first(run.started, now);
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
        if let (Some(gap), Some(slots)) = (gap, self.upstreams.get_mut(&run.upstream)) {
            slots.window.on_gap(gap, now);
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
        if let Some(slots) = self.upstreams.get_mut(&run.upstream) {
            slots.window.on_end(run.started, now, end);
            slots.apart.leave(&suspect_key(&run.key));
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
        match begin.cause {
            BeginCause::Pull { pull } => {
                let reserved = self
                    .pulls
                    .take(now, pull)
                    .ok_or(NotStartedReason::PullExpired)?;
                self.unreserve(&reserved);
                Ok(reserved.upstream)
            }
            BeginCause::Offer if self.leaving => Err(NotStartedReason::Leaving),
            BeginCause::Offer if !begin.repeatable => Err(NotStartedReason::PullExpired),
            BeginCause::Offer => {
                self.entries.count_offer(from, &begin.pool);
                self.upstreams
                    .freest(now, &begin.pool)
                    .ok_or(NotStartedReason::Busy)
            }
            BeginCause::Resume { .. } => Err(NotStartedReason::Duplicate),
        }
    }

    /// A suspect of crashes starts only where no other suspect runs.
    fn keep_apart(
        &mut self,
        upstream: &UpstreamName,
        begin: &Begin,
    ) -> Result<(), NotStartedReason> {
        let slots = self
            .upstreams
            .get_mut(upstream)
            .ok_or(NotStartedReason::Leaving)?;
        if begin.suspected_of.is_empty() {
            return Ok(());
        }
        let key = ContentKey {
            account: begin.account.clone(),
            content: begin.content,
        };
        if slots.apart.enter(&suspect_key(&key)) {
            Ok(())
        } else {
            Err(NotStartedReason::OtherSuspect)
        }
    }
}

fn suspect_key(key: &ContentKey) -> SuspectKey {
    SuspectKey {
        account: key.account.clone(),
        content: ContentDigest(key.content),
    }
}
