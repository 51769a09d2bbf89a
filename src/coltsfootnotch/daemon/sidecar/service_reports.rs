//! Reports to the relay of the service that this sidecar has provided.
//!
//! The relay sums the reports of all sidecars. A report contains the increments since the previous
//! one under a sequence number, and is resent until it is acknowledged. It also adds and removes
//! watched accounts, whose totals the relay sends, since a full list each time costs far more
//! traffic.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_decide::fair::FairLedger;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ServiceBatch;

/// Time between two reports; the totals of other hosts are up to about twice as old, with one
/// interval to the relay and one back.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unacknowledged report is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an account stays watched after its last request has started, so that reports
/// don't add and remove it for each request.
const WATCH_LINGER: Duration = Duration::from_secs(5);

/// State of the reports: what was reported, and the unacknowledged report.
#[derive(Debug, Default)]
pub(super) struct ServiceReports {
    seq: u64,
    in_flight: Option<(Duration, ServiceBatch)>,
    last_report: Duration,
    /// Watched accounts, and when they last had a queued request.
    watched: BTreeMap<AccountName, Duration>,
    /// All service reported so far. It is sent when an account is watched, so that a new relay
    /// excludes it from the totals of other hosts and doesn't count it twice.
    reported: BTreeMap<AccountName, ServiceUnits>,
}

impl ServiceReports {
    /// Returns the report to send now, if one is due. Only then is `waiting` called, which returns
    /// the accounts with queued requests.
    pub(super) fn take_due(
        &mut self,
        now: Duration,
        fair: &mut FairLedger,
        waiting: impl FnOnce() -> BTreeSet<AccountName>,
    ) -> Option<ServiceBatch> {
        if let Some((sent_at, batch)) = &mut self.in_flight {
            if now < *sent_at + RESEND_INTERVAL {
                return None;
            }
            *sent_at = now;
            return Some(batch.clone());
        }
        if now < self.last_report + REPORT_INTERVAL {
            return None;
        }
        self.last_report = now;
        let served = fair.take_unsent();
        for (account, units) in &served {
            *self.reported.entry(account.clone()).or_default() += *units;
        }
        let (watch, unwatch) = self.update_watched(now, &waiting());
        if served.is_empty() && watch.is_empty() && unwatch.is_empty() {
            return None;
        }
        self.seq += 1;
        let batch = ServiceBatch {
            seq: self.seq,
            served,
            watch,
            unwatch,
        };
        self.in_flight = Some((now, batch.clone()));
        Some(batch)
    }

    /// Handles the acknowledgement of a report.
    pub(super) fn on_acknowledged(&mut self, seq: u64) {
        let is_applied = |(_, batch): &(Duration, ServiceBatch)| batch.seq <= seq;
        if self.in_flight.as_ref().is_some_and(is_applied) {
            self.in_flight = None;
        }
    }

    /// Handles a new connection to a relay, which has no watched accounts yet.
    pub(super) fn on_relay_connected(&mut self) {
        self.watched.clear();
    }

    /// Updates the watched accounts; returns those to add, with the service reported so far, and
    /// those to remove.
    fn update_watched(
        &mut self,
        now: Duration,
        waiting: &BTreeSet<AccountName>,
    ) -> (Vec<(AccountName, ServiceUnits)>, Vec<AccountName>) {
        let mut watch = Vec::new();
        for account in waiting {
            if self.watched.insert(account.clone(), now).is_none() {
                let reported = self.reported.get(account).copied();
                watch.push((account.clone(), reported.unwrap_or_default()));
            }
        }
        let is_stale = |last_queued: &Duration| now.saturating_sub(*last_queued) > WATCH_LINGER;
        let stale = self
            .watched
            .iter()
            .filter(|(_, last_queued)| is_stale(last_queued));
        let unwatch: Vec<AccountName> = stale.map(|(account, _)| account.clone()).collect();
        for account in &unwatch {
            self.watched.remove(account);
        }
        (watch, unwatch)
    }
}
