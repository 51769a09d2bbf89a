//! Grouping of ledger writes into one entry of the log.
//!
//! Load pattern answered: hundreds of bookings a second, each with an intent and an outcome. An entry
//! of the log for each costs a frame, a checksum and an apply of its own on every member. Writes that
//! come while a batch is in flight wait for it and then go together; when nothing is in flight a
//! write goes at once, so that a lone booking waits for nobody.

use coltsfootnotch_state::{LedgerOp, LedgerReply, Op, Reply};

use super::request_table::RequestId;

/// Writes in one batch; bounds the time that one entry takes to apply and to send.
const MAX_BATCH: usize = 512;

/// The part of a batch that belongs to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The request.
    pub request: RequestId,
    /// How many writes it proposed; none for a single one outside a batch of its own.
    count: Option<usize>,
}

/// Ledger writes on their way into the log.
///
/// ```
/// use coltsfootnotch::daemon::control::batcher::Batcher;
/// let mut batcher = Batcher::default();
/// assert!(batcher.next_batch().is_none());
/// ```
#[derive(Debug, Default)]
pub struct Batcher {
    waiting: Vec<(Share, Vec<LedgerOp>)>,
    in_flight: bool,
}

impl Batcher {
    /// Adds one write.
    pub fn push_one(&mut self, request: RequestId, op: LedgerOp) {
        let share = Share {
            request,
            count: None,
        };
        self.waiting.push((share, vec![op]));
    }

    /// Adds the writes that a host has grouped itself.
    pub fn push_many(&mut self, request: RequestId, ops: Vec<LedgerOp>) {
        let share = Share {
            request,
            count: Some(ops.len()),
        };
        self.waiting.push((share, ops));
    }

    /// The next batch, unless one is in flight or nothing waits.
    pub fn next_batch(&mut self) -> Option<(Vec<Share>, Op)> {
        if self.in_flight || self.waiting.is_empty() {
            return None;
        }
        let mut size = 0;
        let fits = |(_, ops): &&(Share, Vec<LedgerOp>)| {
            size += ops.len();
            size <= MAX_BATCH
        };
        // The first always goes, however large the host made it.
        let count = self.waiting.iter().take_while(fits).count().max(1);
        let mut shares = Vec::with_capacity(count);
        let mut writes = Vec::new();
        for (share, ops) in self.waiting.drain(..count) {
            shares.push(share);
            writes.extend(ops);
        }
        self.in_flight = true;
        Some((shares, Op::Batch(writes)))
    }

    /// The batch in flight was applied, or refused.
    pub fn landed(&mut self) {
        self.in_flight = false;
    }

    /// Gives up: returns the requests whose writes were not proposed.
    pub fn abandon(&mut self) -> Vec<RequestId> {
        self.in_flight = false;
        self.waiting
            .drain(..)
            .map(|(share, _)| share.request)
            .collect()
    }
}

/// Splits the reply to a batch among its requests.
///
/// # Panics
/// When there are not as many replies as writes: a caller would get another's answer.
pub fn split(shares: Vec<Share>, replies: Vec<LedgerReply>) -> Vec<(RequestId, Reply)> {
    let mut replies = replies.into_iter();
    let mut split = Vec::with_capacity(shares.len());
    for share in shares {
        let reply = match share.count {
            None => Reply::Ledger(replies.next().expect("a reply for each write")),
            Some(count) => {
                let own: Vec<_> = replies.by_ref().take(count).collect();
                assert_eq!(own.len(), count, "a reply for each write");
                Reply::Batch(own)
            }
        };
        split.push((share.request, reply));
    }
    assert!(replies.next().is_none(), "a write for each reply");
    split
}
