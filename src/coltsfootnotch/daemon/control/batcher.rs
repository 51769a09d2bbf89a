//! Groups ledger writes into batches, one log entry each.
//!
//! Each log entry costs a frame, a checksum and an apply on every member. Writes that arrive while a
//! batch is in flight are queued and share the next entry; without one in flight a write is proposed
//! at once, so a single booking is not delayed.

use coltsfootnotch_state::{LedgerOp, LedgerReply, Op, Reply};

use super::request_table::RequestId;

/// Most writes in one batch; bounds the time to send and apply an entry.
const MAX_BATCH: usize = 512;

/// The part of a batch that belongs to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The request.
    pub request: RequestId,
    /// Number of writes in the request's own batch; none for a single write.
    count: Option<usize>,
}

/// Queue of ledger writes to be proposed.
///
/// ```
/// use coltsfootnotch::daemon::control::batcher::Batcher;
/// let mut batcher = Batcher::default();
/// assert!(batcher.next_batch().is_none());
/// ```
#[derive(Debug, Default)]
pub struct Batcher {
    queue: Vec<(Share, Vec<LedgerOp>)>,
    in_flight: bool,
}

impl Batcher {
    /// Adds one write.
    pub fn push_one(&mut self, request: RequestId, op: LedgerOp) {
        let share = Share {
            request,
            count: None,
        };
        self.queue.push((share, vec![op]));
    }

    /// Adds writes that a host sent as one batch.
    pub fn push_many(&mut self, request: RequestId, ops: Vec<LedgerOp>) {
        let share = Share {
            request,
            count: Some(ops.len()),
        };
        self.queue.push((share, ops));
    }

    /// The next batch, unless one is in flight or the queue is empty.
    pub fn next_batch(&mut self) -> Option<(Vec<Share>, Op)> {
        if self.in_flight || self.queue.is_empty() {
            return None;
        }
        let mut size = 0;
        let fits = |(_, ops): &&(Share, Vec<LedgerOp>)| {
            size += ops.len();
            size <= MAX_BATCH
        };
        // The first request is never split, even if it exceeds the limit.
        let count = self.queue.iter().take_while(fits).count().max(1);
        let mut shares = Vec::with_capacity(count);
        let mut writes = Vec::new();
        for (share, ops) in self.queue.drain(..count) {
            shares.push(share);
            writes.extend(ops);
        }
        self.in_flight = true;
        Some((shares, Op::Batch(writes)))
    }

    /// Marks the batch in flight as applied or refused.
    pub fn finish_batch(&mut self) {
        self.in_flight = false;
    }

    /// Clears the queue; returns the requests whose writes were not proposed.
    pub fn abandon(&mut self) -> Vec<RequestId> {
        self.in_flight = false;
        self.queue
            .drain(..)
            .map(|(share, _)| share.request)
            .collect()
    }
}

/// Splits the reply to a batch among its requests.
///
/// # Panics
/// Panics when the numbers of replies and writes differ, since callers could get wrong replies.
pub fn split(shares: Vec<Share>, replies: Vec<LedgerReply>) -> Vec<(RequestId, Reply)> {
    let mut replies = replies.into_iter();
    let mut split = Vec::with_capacity(shares.len());
    for share in shares {
        let reply = match share.count {
            None => Reply::Ledger(replies.next().expect("a reply for each write")),
            Some(count) => {
                let group: Vec<_> = replies.by_ref().take(count).collect();
                assert_eq!(group.len(), count, "a reply for each write");
                Reply::Batch(group)
            }
        };
        split.push((share.request, reply));
    }
    assert!(replies.next().is_none(), "a write for each reply");
    split
}
