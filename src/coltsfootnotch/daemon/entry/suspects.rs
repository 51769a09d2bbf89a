//! What this entry knows of requests that crash upstreams, from every sidecar.

use std::time::Duration;

use coltsfootnotch_decide::crash::{
    Clearance, ContentDigest, CrashDelta, CrashId, CrashReport, CrashTracker, Origin, RunPolicy,
    SuspectKey,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ContentKey, CrashNews, CrashRef};

use super::Arrival;

/// Verdicts on requests by their content, whoever sends them again and through whichever entry.
pub(super) struct Suspects {
    watch: CrashTracker,
}

impl Suspects {
    pub(super) fn new(host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            watch: CrashTracker::new(Origin::new(host.clone(), incarnation)),
        }
    }

    /// A sidecar tells of a crash.
    pub(super) fn on_crash(&mut self, now: Duration, news: CrashNews) {
        let report = CrashReport {
            id: crash_id(&news.crash),
            upstream: news.upstream,
            suspects: news.suspects.iter().map(suspect).collect(),
            age: Duration::from_millis(news.age_ms),
        };
        let delta = CrashDelta {
            reports: vec![report],
            ..CrashDelta::default()
        };
        self.watch.merge(&delta, now);
    }

    /// A sidecar tells that a suspect ended well.
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
        self.watch.merge(&delta, now);
    }

    /// Whether and how a request may run.
    pub(super) fn verdict(&self, now: Duration, arrival: &Arrival) -> RunPolicy {
        self.watch.run_policy(&key_of(arrival), now)
    }

    /// The crashes that a request is suspected of.
    pub(super) fn suspected_of(&self, now: Duration, arrival: &Arrival) -> Vec<CrashRef> {
        let crashes = self.watch.suspected_of(&key_of(arrival), now);
        crashes.into_iter().map(crash_ref).collect()
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.watch.remove_expired(now);
    }
}

fn key_of(arrival: &Arrival) -> SuspectKey {
    SuspectKey {
        account: arrival.account.clone(),
        content: ContentDigest(arrival.content),
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
