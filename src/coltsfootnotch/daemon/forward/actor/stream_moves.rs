//! Streams that were placed at another origin than before, until control hosts have recorded that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use tokio::sync::oneshot;

/// Time after which control hosts that have not responded are not waited for. Callers give up after two seconds.
const MOVE_TIMEOUT: Duration = Duration::from_millis(250);

/// A move that control hosts have not recorded yet.
struct Move {
    stream: u64,
    /// The control hosts that have not responded.
    waiting: BTreeSet<LinkId>,
    deadline: Duration,
    /// Dropped once all have responded, which tells those that wait for it.
    txs: Vec<oneshot::Sender<()>>,
}

/// The moves in progress.
#[derive(Default)]
pub(super) struct StreamMoves {
    pending: BTreeMap<u64, Move>,
    last_id: u64,
}

impl StreamMoves {
    /// Starts a move of which the control hosts of `links` are told; returns its number.
    pub(super) fn start(
        &mut self,
        now: Duration,
        stream: u64,
        links: impl Iterator<Item = LinkId>,
    ) -> u64 {
        self.last_id += 1;
        let pending = Move {
            stream,
            waiting: links.collect(),
            deadline: now + MOVE_TIMEOUT,
            txs: Vec::new(),
        };
        self.pending.insert(self.last_id, pending);
        self.last_id
    }

    /// Has `tx` dropped once all moves of the stream are recorded, at once if none is in progress.
    pub(super) fn on_recorded_by_all(&mut self, stream: u64, tx: oneshot::Sender<()>) {
        // Control hosts respond to moves in their order, so the last one is the last to be recorded.
        let mut moves = self.pending.values_mut().rev();
        if let Some(last) = moves.find(|pending| pending.stream == stream) {
            last.txs.push(tx);
        }
    }

    /// Handles the response of a control host.
    pub(super) fn on_recorded(&mut self, link: LinkId, id: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.waiting.remove(&link);
            if pending.waiting.is_empty() {
                self.pending.remove(&id);
            }
        }
    }

    /// Ends the moves whose time is over.
    pub(super) fn expire(&mut self, now: Duration) {
        self.pending
            .retain(|_, pending| now < pending.deadline && !pending.waiting.is_empty());
    }
}
