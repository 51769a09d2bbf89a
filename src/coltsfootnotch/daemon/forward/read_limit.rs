//! How much is read from an upstream that becomes no part of a response.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Most bytes that are read from an upstream until the next part of its response is complete: its head or
/// some of its body. Above what a connection buffers, twice; the HTTP library itself reads interim heads and the
/// zeros of a chunk's size without end.
const MAX_WITHOUT_PROGRESS: u64 = 128 * 1024;

/// Most bytes that are read in one turn of the connection's task. Parsing more keeps the tasks of other callers
/// waiting on a host with one thread.
pub(super) const TURN_BYTES: u64 = 16 * 1024;

/// What a connection may read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadAllowance {
    /// At most as many bytes.
    Bytes(usize),
    /// Nothing until the next turn of its task.
    NextTurn,
    /// Nothing any more: what came is no response.
    Exceeded,
}

/// The limit of a connection, shared by its socket and by the reader of its responses.
#[derive(Debug, Default)]
pub(super) struct ReadLimit {
    /// Bytes since the last complete part of a response.
    without_progress: AtomicU64,
    /// Bytes in the current turn.
    in_turn: AtomicU64,
    is_exceeded: AtomicBool,
}

impl ReadLimit {
    /// Starts a turn of the connection's task.
    pub(super) fn begin_turn(&self) {
        self.in_turn.store(0, Ordering::Relaxed);
    }

    /// A request was sent, or a part of its response is complete.
    pub(super) fn on_progress(&self) {
        self.without_progress.store(0, Ordering::Relaxed);
    }

    /// What may be read now.
    pub(super) fn allowance(&self) -> ReadAllowance {
        if self.without_progress.load(Ordering::Relaxed) >= MAX_WITHOUT_PROGRESS {
            self.is_exceeded.store(true, Ordering::Relaxed);
            return ReadAllowance::Exceeded;
        }
        match TURN_BYTES.saturating_sub(self.in_turn.load(Ordering::Relaxed)) {
            0 => ReadAllowance::NextTurn,
            left => ReadAllowance::Bytes(left as usize),
        }
    }

    /// Counts bytes that were read.
    pub(super) fn on_read(&self, bytes: usize) {
        self.without_progress
            .fetch_add(bytes as u64, Ordering::Relaxed);
        self.in_turn.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The bytes that came and are no part of a response, if they exceeded the limit.
    pub(super) fn exceeded_by(&self) -> Option<u64> {
        let is_exceeded = self.is_exceeded.load(Ordering::Relaxed);
        is_exceeded.then(|| self.without_progress())
    }

    /// The bytes that came since the last complete part of a response.
    pub(super) fn without_progress(&self) -> u64 {
        self.without_progress.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
#[path = "read_limit_tests.rs"]
mod tests;
