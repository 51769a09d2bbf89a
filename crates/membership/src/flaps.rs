//! Damping of hosts that come and go.
//!
//! Load pattern answered: a host behind a lossy link is silent for a moment again and again. Each
//! change costs every entry and sidecar of its pools a connection, and work that was sent there is
//! tried again elsewhere. A host that has flapped is therefore taken back only after it was heard
//! without a gap for a while, longer each time. The first return is immediate, so that an ordinary
//! restart costs nothing.

use std::time::Duration;

/// Time for which a host must be listed without a break for one flap to be forgiven. Time during
/// which it is not listed proves nothing.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);

/// How long a host that has flapped twice must be heard without a gap; doubled with each more.
const FIRST_HOLD: Duration = Duration::from_secs(2);

/// The longest such time: a host that is really back must not be left out for minutes.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// More flaps than this change nothing, and would only take longer to be forgiven.
const MAX_COUNT: u32 = 8;

/// How often one host went silent lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flaps {
    count: u32,
    listed: Duration,
}

impl Flaps {
    /// Notes that the host is listed from now on.
    pub(crate) fn list(&mut self, now: Duration) {
        self.listed = now;
    }

    /// Counts one more, when a host that was listed goes silent.
    pub(crate) fn add(&mut self, now: Duration) {
        let steady = now.saturating_sub(self.listed);
        let forgiven = steady.as_secs() / FORGIVE_AFTER.as_secs();
        let forgiven = u32::try_from(forgiven).unwrap_or(u32::MAX);
        self.count = (self.count.saturating_sub(forgiven) + 1).min(MAX_COUNT);
    }

    /// Takes the last one back.
    pub(crate) fn undo(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// How long the host must be heard without a gap before it is taken back.
    pub(crate) fn hold(self) -> Duration {
        match self.count {
            0 | 1 => Duration::ZERO,
            n => (FIRST_HOLD * 2u32.pow(n - 2)).min(MAX_HOLD),
        }
    }
}
