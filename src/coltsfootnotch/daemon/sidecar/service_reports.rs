//! Reports of the service given here, to the relay.
//!
//! The relay sums what sidecars report, so a report states what was added, each under a number, and
//! is sent again until it is acknowledged. It also names the accounts whose totals the sidecar wants,
//! as changes: all names in every report were most of a sidecar's control traffic.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_decide::fair::FairLedger;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ServiceBatch;

/// Time between two reports: what hosts know of each other's service is at most about this old,
/// twice over (host to relay, relay to host). Half of it doubles the traffic and narrows the gap by
/// less than one request.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// Time after which a report without an acknowledgement is sent again.
const REPORT_AGAIN: Duration = Duration::from_millis(500);
/// Time for which an account is watched after its last request was started: accounts that come and
/// go with each request would be named in every report.
const WATCH_LINGER: Duration = Duration::from_secs(5);

/// What was reported, and what is on its way.
#[derive(Debug, Default)]
pub(super) struct ServiceReports {
    seq: u64,
    in_flight: Option<(Duration, ServiceBatch)>,
    last: Duration,
    /// Watched accounts, and when they last waited.
    watched: BTreeMap<AccountName, Duration>,
    /// All service reported so far. Only the host itself can tell a new relay which part of a total
    /// is its own; taken for service elsewhere, it would count twice.
    reported: BTreeMap<AccountName, ServiceUnits>,
}

impl ServiceReports {
    /// The report that is due, if one is; `waiting` gives the accounts that wait, asked only then.
    pub(super) fn due(
        &mut self,
        now: Duration,
        fair: &mut FairLedger,
        waiting: impl FnOnce() -> BTreeSet<AccountName>,
    ) -> Option<ServiceBatch> {
        if let Some((sent, batch)) = &mut self.in_flight {
            if now < *sent + REPORT_AGAIN {
                return None;
            }
            *sent = now;
            return Some(batch.clone());
        }
        if now < self.last + REPORT_EVERY {
            return None;
        }
        self.last = now;
        let served = fair.take_unsent();
        for (account, units) in &served {
            *self.reported.entry(account.clone()).or_default() += *units;
        }
        let (watch, unwatch) = self.rewatch(now, &waiting());
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

    /// The relay has taken a report in.
    pub(super) fn acknowledged(&mut self, seq: u64) {
        let taken = |(_, batch): &(Duration, ServiceBatch)| batch.seq <= seq;
        if self.in_flight.as_ref().is_some_and(taken) {
            self.in_flight = None;
        }
    }

    /// The connection to the relay is a new one, which knows of no watched account.
    pub(super) fn relay_changed(&mut self) {
        self.watched.clear();
    }

    /// The accounts to watch from now on, and those to watch no more.
    fn rewatch(
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
        let is_stale = |waited: &Duration| now.saturating_sub(*waited) > WATCH_LINGER;
        let stale = self.watched.iter().filter(|(_, waited)| is_stale(waited));
        let unwatch: Vec<AccountName> = stale.map(|(account, _)| account.clone()).collect();
        for account in &unwatch {
            self.watched.remove(account);
        }
        (watch, unwatch)
    }
}
