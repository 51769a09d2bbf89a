//! Where streams began.

use std::time::Duration;

use coltsfootnotch_forward::streams::StreamOrigin;

use super::State;

impl State {
    /// Records where a stream begins or goes on, before any of its events can have come.
    pub(super) fn record_stream(&mut self, now: Duration, stream: u64, origin: &StreamOrigin) {
        self.origins.record(now, stream, origin);
        self.begun.push((stream, origin.clone()));
    }

    /// Where a stream began, if this entry knows.
    pub(in crate::daemon::forward) fn origin(&self, stream: u64) -> Option<&StreamOrigin> {
        self.origins.get(stream)
    }

    /// The streams begun since the last report.
    pub(in crate::daemon::forward) fn take_begun_streams(&mut self) -> Vec<(u64, StreamOrigin)> {
        std::mem::take(&mut self.begun)
    }
}
