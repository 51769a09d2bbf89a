//! Batches of service counters that a host sends to its relay.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
use serde::{Deserialize, Serialize};

/// Service that a host has counted since its previous batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBatch {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Incremented by one with each batch of that run, across all relays.
    pub seq: u64,
    /// Service to add, by account.
    pub added: Vec<(AccountName, ServiceUnits)>,
}

/// The batches of one host.
///
/// One batch at a time is in flight, and is resent until a relay has acknowledged it. A host that
/// connects to another relay resends an unacknowledged batch there. If the first relay had applied
/// it as well, the batch counts twice; dropping it could lose the service if that relay has failed.
///
/// ```
/// use coltsfootnotch_membership::ServiceBatches;
/// use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
/// let mut batches = ServiceBatches::new(HostName::new("sidecar-1")?, Incarnation(7));
/// batches.add(&AccountName::new("bistro")?, ServiceUnits(30));
/// let seq = batches.next().map(|b| b.seq);
/// assert_eq!(batches.next().map(|b| b.seq), seq, "resent until acknowledged");
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
    /// Creates the batches of a process that has counted no service yet.
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

    /// Adds service of an account to the next batch.
    pub fn add(&mut self, account: &AccountName, units: ServiceUnits) {
        match self.pending.get_mut(account) {
            Some(sum) => *sum += units,
            None => {
                self.pending.insert(account.clone(), units);
            }
        }
    }

    /// The batch to send or resend; `None` if no service is pending.
    #[expect(clippy::should_implement_trait, reason = "the item borrows from self")]
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

    /// Handles the acknowledgement of batch `seq`.
    pub fn on_ack(&mut self, seq: u64) {
        if self.in_flight.as_ref().is_some_and(|b| b.seq == seq) {
            self.in_flight = None;
        }
    }
}
