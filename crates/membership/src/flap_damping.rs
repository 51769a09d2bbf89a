//! Damping of hosts that flap between listed and silent, for example behind a lossy link.
//!
//! Each transition makes the entries and sidecars of the pool reconnect and retry work. A host that
//! has flapped is listed again only after a hold-down time of gapless heartbeats, which doubles
//! with each flap. The first return is immediate, so an ordinary restart is not delayed.

use std::time::Duration;

/// Time for which a host must stay listed for its count to decay by one flap. Time during which it
/// is not listed does not count.
const DECAY_INTERVAL: Duration = Duration::from_secs(60);

/// Hold-down time of a host that has flapped twice; doubled with each further flap.
const MIN_HOLD_DOWN: Duration = Duration::from_secs(2);

/// Upper limit of the hold-down time, so that a recovered host does not stay excluded for minutes.
const MAX_HOLD_DOWN: Duration = Duration::from_secs(30);

/// Upper limit of the count, which bounds the time to decay.
const MAX_COUNT: u32 = 8;

/// Decaying count of how often a host has gone silent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlapDamping {
    count: u32,
    listed_since: Duration,
}

impl FlapDamping {
    /// Records that the host is listed since `now`.
    pub(crate) fn on_listed(&mut self, now: Duration) {
        self.listed_since = now;
    }

    /// Counts a flap of a host that was listed until `now`.
    pub(crate) fn add_flap(&mut self, now: Duration) {
        let listed_for = now.saturating_sub(self.listed_since);
        let decayed = listed_for.as_secs() / DECAY_INTERVAL.as_secs();
        let decayed = u32::try_from(decayed).unwrap_or(u32::MAX);
        self.count = (self.count.saturating_sub(decayed) + 1).min(MAX_COUNT);
    }

    /// Reverts the last flap.
    pub(crate) fn undo_flap(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Time of gapless heartbeats after which the host is listed again.
    pub(crate) fn hold_down(self) -> Duration {
        match self.count {
            0 | 1 => Duration::ZERO,
            n => (MIN_HOLD_DOWN * 2u32.pow(n - 2)).min(MAX_HOLD_DOWN),
        }
    }
}
