//! Recent crashes of the upstreams beside a sidecar, to be reported to every entry.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{CrashRef, UpstreamCrash};

use super::InFlightRequests;
use super::action::millis_since;

/// How long a crash is reported to entries that connect; they keep it no longer.
const RETENTION: Duration = Duration::from_secs(600);
/// Largest number of crashes to report; bounds the log if an upstream crashes repeatedly by itself.
const MAX_RECENT: usize = 64;

/// Crashes recorded by one sidecar incarnation, oldest first.
#[derive(Debug)]
pub struct CrashLog {
    host: HostName,
    incarnation: Incarnation,
    recorded: u64,
    recent: VecDeque<(Duration, UpstreamCrash)>,
}

impl CrashLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            recorded: 0,
            recent: VecDeque::new(),
        }
    }

    /// Records a crash under the next number, and returns its report.
    pub fn record(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        pool: Option<PoolName>,
        requests: InFlightRequests,
    ) -> UpstreamCrash {
        self.recorded += 1;
        let crash = CrashRef {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.recorded,
        };
        let report = UpstreamCrash {
            crash,
            upstream: upstream.clone(),
            pool,
            suspects: requests.keys,
            prefixes: requests.prefixes,
            age_ms: 0,
        };
        self.recent.push_back((now, report.clone()));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        report
    }

    /// The crashes to report to an entry that connects now.
    pub fn recent(&mut self, now: Duration) -> impl Iterator<Item = UpstreamCrash> {
        self.recent
            .retain(|(at, _)| now.saturating_sub(*at) < RETENTION);
        self.recent.iter().map(move |(at, report)| UpstreamCrash {
            age_ms: millis_since(*at, now),
            ..report.clone()
        })
    }
}
