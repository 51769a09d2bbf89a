//! Finished orders that the log has not recorded yet.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_state::{Op, OrderDone};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ProposeError;

use crate::core::encode_op;

/// Time between two proposals of one record; about the length of an election.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Unrecorded orders, at most one for each upstream, whose next order waits until it is recorded.
#[derive(Debug, Default)]
pub(super) struct PendingRecords {
    pending: BTreeMap<UpstreamName, PendingRecord>,
}

#[derive(Debug)]
struct PendingRecord {
    done: OrderDone,
    /// Number and time of the latest proposal.
    proposal: Option<(u64, Duration)>,
}

impl PendingRecords {
    /// Adds an order to record.
    pub(super) fn add(&mut self, done: OrderDone) {
        let proposal = None;
        self.pending
            .insert(done.upstream.clone(), PendingRecord { done, proposal });
    }

    /// Whether an order to an upstream is not recorded yet.
    pub(super) fn is_pending(&self, upstream: &UpstreamName) -> bool {
        self.pending.contains_key(upstream)
    }

    /// Proposes records that are new or unanswered.
    pub(super) fn tick(&mut self, now: Duration, propose: &mut impl FnMut(Vec<u8>) -> Option<u64>) {
        let is_due = |record: &&mut PendingRecord| {
            record
                .proposal
                .is_none_or(|(_, at)| now >= at + RETRY_INTERVAL)
        };
        for record in self.pending.values_mut().filter(is_due) {
            let op = Op::OrderDone(record.done.clone());
            record.proposal = propose(encode_op(&op)).map(|id| (id, now));
        }
    }

    /// Handles a reply. The log ignores a record with a stale fencing number; later holders then
    /// rely on the announcements of the engine instead.
    pub(super) fn on_reply(&mut self, id: u64, reply: &Result<Vec<u8>, ProposeError>) {
        let is_answered =
            |record: &PendingRecord| record.proposal.is_some_and(|(number, _)| number == id);
        if reply.is_ok() {
            self.pending.retain(|_, record| !is_answered(record));
        }
    }
}
