//! Reports of the service given here, to the relay.
//!
//! The relay sums what sidecars report, so a report states what was added, each under a number, and
//! is sent again until it is acknowledged.

use std::time::Duration;

use coltsfootnotch_decide::fair::FairLedger;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ServiceBatch;

/// Time between two reports: what hosts know of each other's service is at most about this old,
/// twice over (host to relay, relay to host).
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// Time after which a report without an acknowledgement is sent again.
const REPORT_AGAIN: Duration = Duration::from_millis(500);

/// What was reported, and what is on its way.
#[derive(Debug, Default)]
pub(super) struct ServiceReports {
    seq: u64,
    in_flight: Option<(Duration, ServiceBatch)>,
    last: Duration,
}

impl ServiceReports {
    /// The report that is due, if one is.
    pub(super) fn due(
        &mut self,
        now: Duration,
        fair: &mut FairLedger,
        watched: Vec<AccountName>,
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
        if served.is_empty() && watched.is_empty() {
            return None;
        }
        self.seq += 1;
        let batch = ServiceBatch {
            seq: self.seq,
            served,
            watched,
        };
        self.in_flight = Some((now, batch.clone()));
        Some(batch)
    }

    /// The relay has taken a report in.
    pub(super) fn acknowledged(&mut self, seq: u64) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(_, batch)| batch.seq <= seq)
        {
            self.in_flight = None;
        }
    }
}
