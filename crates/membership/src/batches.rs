//! Service counters on their way from a host to its relay.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
use serde::{Deserialize, Serialize};

/// Service that a host has counted since its batch before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBatch {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Counted up by one with each batch of that run, whichever relay it goes to.
    pub seq: u64,
    /// Service to add, by account.
    pub added: Vec<(AccountName, ServiceUnits)>,
}

/// The batches of one host.
///
/// One batch at a time is on its way, and is sent again until a relay has acknowledged it. When the
/// host turns to another relay while a batch is unacknowledged, it sends the same batch there: if the
/// first relay had taken it after all, that one batch counts twice. Counting it twice was chosen over
/// dropping it, since the usual reason for turning away is that the relay was lost.
///
/// ```
/// use coltsfootnotch_membership::ServiceBatches;
/// use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
/// let mut batches = ServiceBatches::new(HostName::new("sidecar-1")?, Incarnation(7));
/// batches.add(&AccountName::new("bistro")?, ServiceUnits(30));
/// let seq = batches.next().map(|b| b.seq);
/// assert_eq!(batches.next().map(|b| b.seq), seq, "sent again until acknowledged");
/// batches.on_ack(1);
/// assert_eq!(batches.next(), None);
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ServiceBatches {
    host: HostName,
    incarnation: Incarnation,
    seq: u64,
    pending: BTreeMap<AccountName, ServiceUnits>,
    in_flight: Option<ServiceBatch>,
}

impl ServiceBatches {
    /// The batches of a process that has counted nothing yet.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            seq: 0,
            pending: BTreeMap::new(),
            in_flight: None,
        }
    }

    /// Counts service for an account.
    pub fn add(&mut self, account: &AccountName, units: ServiceUnits) {
        match self.pending.get_mut(account) {
            Some(sum) => *sum += units,
            None => {
                self.pending.insert(account.clone(), units);
            }
        }
    }

    /// The batch to send now, or again; `None` when there is nothing to tell.
    #[expect(clippy::should_implement_trait, reason = "it lends from itself")]
    pub fn next(&mut self) -> Option<&ServiceBatch> {
        if self.in_flight.is_none() && !self.pending.is_empty() {
            self.seq += 1;
            self.in_flight = Some(ServiceBatch {
                host: self.host.clone(),
                incarnation: self.incarnation,
                seq: self.seq,
                added: std::mem::take(&mut self.pending).into_iter().collect(),
            });
        }
        self.in_flight.as_ref()
    }

    /// Notes that a relay has taken the batch `seq`.
    pub fn on_ack(&mut self, seq: u64) {
        if self.in_flight.as_ref().is_some_and(|b| b.seq == seq) {
            self.in_flight = None;
        }
    }
}
