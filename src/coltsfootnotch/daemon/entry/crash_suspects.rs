//! Tracks requests, and prefixes of prompts, suspected of crashing upstreams, from the reports of all sidecars.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use coltsfootnotch_decide::crash::{
    Clearance, ContentDigest, CrashDelta, CrashId, CrashReport, CrashTracker, Origin, RunPolicy,
    SuspectKey,
};
use coltsfootnotch_forward::load::PromptSegment;
use coltsfootnotch_forward::retry::{CrashEvidence, RefusedSegments};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ContentKey, CrashRef, CrashSuspects as PrefixSuspects, UpstreamCrash};

use super::ClientRequest;

/// Time in which the sidecars report a crash.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// `Retry-After` of a prompt whose prefix crashes upstreams. It is refused for minutes.
const PREFIX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Crash suspects by account and content, so that a request sent again through another entry is
/// recognised, and by the prefix of their prompt, so that others like it are.
pub(super) struct CrashSuspects {
    tracker: CrashTracker,
    evidence: CrashEvidence,
    prefixes: RefusedSegments,
}

impl CrashSuspects {
    pub(super) fn new(host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            tracker: CrashTracker::new(Origin::new(host.clone(), incarnation)),
            evidence: CrashEvidence::default(),
            prefixes: RefusedSegments::default(),
        }
    }

    /// Merges the crash report of a sidecar.
    pub(super) fn on_crash(&mut self, now: Duration, crash: UpstreamCrash) {
        if let Some(suspects) = prefix_suspects(&crash) {
            self.prefixes.record_crash(suspects);
        }
        let report = CrashReport {
            id: crash_id(&crash.crash),
            upstream: crash.upstream,
            suspects: crash.suspects.iter().map(suspect).collect(),
            age: Duration::from_millis(crash.age_ms),
        };
        let delta = CrashDelta {
            reports: vec![report],
            ..CrashDelta::default()
        };
        self.tracker.merge(&delta, now);
    }

    /// Merges the report of a sidecar that a suspect completed without a crash.
    pub(super) fn on_cleared(&mut self, now: Duration, key: &ContentKey, crashes: &[CrashRef]) {
        let key = suspect(key);
        let clear = |crash| Clearance {
            key: key.clone(),
            crash: crash_id(crash),
        };
        let clearances = crashes.iter().map(clear).collect();
        let delta = CrashDelta {
            clearances,
            ..CrashDelta::default()
        };
        self.tracker.merge(&delta, now);
    }

    /// Records that an upstream of the pool answered a prompt with the prefix.
    pub(super) fn on_answer(&mut self, now: Duration, pool: &PoolName, prefix: u64) {
        if prefix != 0 {
            let service = pool.as_str().into();
            self.prefixes.on_answer(now, &service, &[segment(prefix)]);
        }
    }

    /// How a request may run: unrestricted, isolated or refused.
    pub(super) fn run_policy(&self, now: Duration, req: &ClientRequest) -> RunPolicy {
        if self.prefixes.is_refused(now, &[segment(req.prefix)]) {
            let retry_after = PREFIX_RETRY_AFTER;
            return RunPolicy::Refused { retry_after };
        }
        self.tracker.run_policy(&key_of(req), now)
    }

    /// The crashes of which a request is suspected.
    pub(super) fn suspected_of(&self, now: Duration, req: &ClientRequest) -> Vec<CrashRef> {
        let crashes = self.tracker.suspected_of(&key_of(req), now);
        crashes.into_iter().map(crash_ref).collect()
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.tracker.remove_expired(now);
        let report = self.prefixes.report(now);
        self.evidence.on_report(now, REPORT_TIME, &report);
        let conclusions = self.evidence.take_report(now, REPORT_TIME);
        self.prefixes.apply(now, &conclusions);
    }
}

/// The prefixes that were in flight at a crash; none if it is unknown which pool they are of.
fn prefix_suspects(crash: &UpstreamCrash) -> Option<PrefixSuspects> {
    let pool = crash.pool.as_ref()?;
    Some(PrefixSuspects {
        run: hash_of(&crash.crash),
        upstream: hash_of(&crash.upstream),
        service: pool.to_string(),
        segments: crash.prefixes.clone(),
    })
}

/// The prefix of a prompt as its only segment.
fn segment(prefix: u64) -> PromptSegment {
    PromptSegment {
        id: prefix,
        tokens: 0,
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn key_of(req: &ClientRequest) -> SuspectKey {
    SuspectKey {
        account: req.account.clone(),
        content: ContentDigest(req.content),
    }
}

fn suspect(key: &ContentKey) -> SuspectKey {
    SuspectKey {
        account: key.account.clone(),
        content: ContentDigest(key.content),
    }
}

fn crash_id(crash: &CrashRef) -> CrashId {
    let origin = Origin::new(crash.host.clone(), crash.incarnation);
    CrashId {
        origin,
        number: crash.number,
    }
}

fn crash_ref(id: CrashId) -> CrashRef {
    CrashRef {
        host: id.origin.host,
        incarnation: id.origin.incarnation,
        number: id.number,
    }
}

#[cfg(test)]
#[path = "crash_suspects_tests.rs"]
mod tests;
