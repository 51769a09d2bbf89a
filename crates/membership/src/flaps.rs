//! Damping of hosts that come and go.
//!
//! Load pattern answered: a host behind a lossy link is silent for a moment again and again. Each
//! change costs every entry and sidecar of its pools a connection, and work that was sent there is
//! tried again elsewhere. A host that has flapped is therefore taken back only after it was heard
//! without a gap for a while, longer each time. The first return is immediate, so that an ordinary
//! restart costs nothing.

use std::time::Duration;

/// Time after which one flap is forgiven.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);

/// How long a host that has flapped twice must be heard without a gap; doubled with each more.
const FIRST_HOLD: Duration = Duration::from_secs(2);

/// The longest such time: a host that is really back must not be left out for minutes.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// How often one host went silent lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flaps {
    count: u32,
    forgiven: Duration,
}

impl Flaps {
    /// Counts one more.
    pub(crate) fn add(&mut self, now: Duration) {
        self.forgive(now);
        self.count = self.count.saturating_add(1);
    }

    /// Takes the last one back.
    pub(crate) fn undo(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// How long the host must be heard without a gap before it is taken back.
    pub(crate) fn hold(&mut self, now: Duration) -> Duration {
        self.forgive(now);
        match self.count {
            0 | 1 => Duration::ZERO,
            n => (FIRST_HOLD * 2u32.pow((n - 2).min(8))).min(MAX_HOLD),
        }
    }

    fn forgive(&mut self, now: Duration) {
        if self.count == 0 {
            self.forgiven = now;
        }
        while self.count > 0 && now >= self.forgiven + FORGIVE_AFTER {
            self.count -= 1;
            self.forgiven += FORGIVE_AFTER;
        }
    }
}
