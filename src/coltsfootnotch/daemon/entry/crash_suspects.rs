//! Tracks requests suspected of crashing upstreams, from the reports of all sidecars.

use std::time::Duration;

use coltsfootnotch_decide::crash::{
    Clearance, ContentDigest, CrashDelta, CrashId, CrashReport, CrashTracker, Origin, RunPolicy,
    SuspectKey,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ContentKey, CrashRef, UpstreamCrash};

use super::ClientRequest;

/// Crash suspects by account and content, so that a request sent again through another entry is
/// recognised.
pub(super) struct CrashSuspects {
    tracker: CrashTracker,
}

impl CrashSuspects {
    pub(super) fn new(host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            tracker: CrashTracker::new(Origin::new(host.clone(), incarnation)),
        }
    }

    /// Merges the crash report of a sidecar.
    pub(super) fn on_crash(&mut self, now: Duration, crash: UpstreamCrash) {
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

    /// How a request may run: unrestricted, isolated or refused.
    pub(super) fn run_policy(&self, now: Duration, req: &ClientRequest) -> RunPolicy {
        self.tracker.run_policy(&key_of(req), now)
    }

    /// The crashes of which a request is suspected.
    pub(super) fn suspected_of(&self, now: Duration, req: &ClientRequest) -> Vec<CrashRef> {
        let crashes = self.tracker.suspected_of(&key_of(req), now);
        crashes.into_iter().map(crash_ref).collect()
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.tracker.remove_expired(now);
    }
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
