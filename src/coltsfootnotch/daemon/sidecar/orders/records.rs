//! Orders that engines have carried out, until the log has recorded them.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_state::{Op, OrderDone};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ProposeError;

use crate::core::encode_op;

/// Time between two proposals of one record; an election takes about as long.
const PROPOSE_AGAIN: Duration = Duration::from_secs(1);

/// Records on their way to the log, at most one for each upstream: its next order waits for it.
#[derive(Debug, Default)]
pub(super) struct Records {
    open: BTreeMap<UpstreamName, Open>,
}

#[derive(Debug)]
struct Open {
    done: OrderDone,
    /// Number and time of the last proposal.
    proposed: Option<(u64, Duration)>,
}

impl Records {
    /// Has an order recorded.
    pub(super) fn add(&mut self, done: OrderDone) {
        let proposed = None;
        self.open
            .insert(done.upstream.clone(), Open { done, proposed });
    }

    /// Whether an order to an upstream is not yet recorded.
    pub(super) fn is_open(&self, upstream: &UpstreamName) -> bool {
        self.open.contains_key(upstream)
    }

    /// Proposes what was not answered.
    pub(super) fn tick(&mut self, now: Duration, propose: &mut impl FnMut(Vec<u8>) -> Option<u64>) {
        let is_due = |open: &&mut Open| {
            open.proposed
                .is_none_or(|(_, at)| now >= at + PROPOSE_AGAIN)
        };
        for open in self.open.values_mut().filter(is_due) {
            let op = Op::OrderDone(open.done.clone());
            open.proposed = propose(encode_op(&op)).map(|id| (id, now));
        }
    }

    /// Takes in an answer. Under an old number nothing is recorded: the report of the engine, which
    /// a later holder waits for, stands in for the record.
    pub(super) fn answered(&mut self, id: u64, reply: &Result<Vec<u8>, ProposeError>) {
        let is_answered = |open: &Open| open.proposed.is_some_and(|(number, _)| number == id);
        if reply.is_ok() {
            self.open.retain(|_, open| !is_answered(open));
        }
    }
}
