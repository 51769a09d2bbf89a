//! What a host that stops still passes on to upstreams.

use std::future::pending;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::sleep_until;

/// Time after the stop signal for which new connections are accepted. Load balancers probe each
/// second and remove a host after two failures in a row; connections opened until then must be
/// served.
pub(super) const STOP_LISTENING_AFTER: Duration = Duration::from_millis(2_600);

/// The times of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// From when on callers are served by other hosts.
    closing: Instant,
    /// When the requests in progress are aborted.
    end: Instant,
}

/// The times of a stop, once there is one.
pub(super) type StopNotice = watch::Receiver<Option<StopTimes>>;

impl StopTimes {
    /// The times of a stop that begins at `now` and aborts requests after `time_left`.
    pub(super) fn new(now: Instant, time_left: Duration) -> Self {
        Self {
            closing: now + STOP_LISTENING_AFTER,
            end: now + time_left,
        }
    }

    /// Time until requests are aborted.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
    }

    /// Whether a request may be passed on at `now` that takes until `latest` at most. Until callers have
    /// other hosts, one that is sent again would come back here.
    pub(super) fn allows(&self, now: Instant, latest: Instant) -> bool {
        now < self.closing || latest <= self.end
    }
}

/// Completes when a request that takes until `latest` at most may not be passed on any more.
pub(super) async fn too_late(mut notice: StopNotice, latest: Instant) {
    let stop = notice.wait_for(Option::is_some).await.ok().and_then(|s| *s);
    match stop {
        Some(stop) if latest > stop.end => sleep_until(stop.closing.into()).await,
        // The sender is dropped with the connection or the entry.
        Some(_) | None => pending().await,
    }
}

#[cfg(test)]
#[path = "stop_times_tests.rs"]
mod tests;
