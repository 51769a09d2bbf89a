//! Where streams began.

use std::time::Duration;

use coltsfootnotch_forward::streams::StreamOrigin;

use super::State;

impl State {
    /// Records where a stream begins or goes on, before any of its events can have come.
    pub(super) fn record_stream(&mut self, now: Duration, stream: u64, origin: &StreamOrigin) {
        if self
            .origins
            .get(stream)
            .is_some_and(|before| before != origin)
        {
            self.moved.push((stream, origin.clone()));
        }
        self.origins.record(now, stream, origin);
        self.begun.push((stream, origin.clone()));
    }

    /// Records where a stream has its first event from, if that is not where it was placed last: of a late upstream and
    /// another one that was asked as well, either may bring it.
    pub(in crate::daemon::forward) fn record_origin(
        &mut self,
        now: Duration,
        stream: u64,
        origin: &StreamOrigin,
    ) {
        if self.origins.get(stream) != Some(origin) {
            self.record_stream(now, stream, origin);
        }
    }

    /// Where a stream began, if this entry knows.
    pub(in crate::daemon::forward) fn origin(&self, stream: u64) -> Option<&StreamOrigin> {
        self.origins.get(stream)
    }

    /// The streams that were placed at another origin than before since this was asked last.
    pub(in crate::daemon::forward) fn take_moved_streams(&mut self) -> Vec<(u64, StreamOrigin)> {
        std::mem::take(&mut self.moved)
    }

    /// The streams begun since the last report.
    pub(in crate::daemon::forward) fn take_begun_streams(&mut self) -> Vec<(u64, StreamOrigin)> {
        std::mem::take(&mut self.begun)
    }
}
