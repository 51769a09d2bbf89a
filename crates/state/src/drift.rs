//! The bound on how far the clocks of two hosts drift apart.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How much faster or slower than real time any host's monotonic clock may run.
///
/// Used in two places: a lease holder stops early by its own clock ([`DriftBound::shorten`]), and a
/// new holder waits longer before it orders engines that ignore fencing numbers
/// ([`DriftBound::lengthen`]). Clocks need not agree on the time of day anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriftBound {
    parts_per_million: u32,
}

impl DriftBound {
    /// 1,000 ppm: quartz drifts up to about 100 ppm and time daemons slew by up to 500 ppm, so this
    /// is safe with both at once.
    pub const DEFAULT: Self = Self {
        parts_per_million: 1_000,
    };

    /// The largest bound that makes sense: a clock wrong by a tenth is broken.
    pub const MAX_PARTS_PER_MILLION: u32 = 100_000;

    /// A bound in parts per million, at most [`DriftBound::MAX_PARTS_PER_MILLION`].
    #[must_use]
    pub fn new(parts_per_million: u32) -> Self {
        Self {
            parts_per_million: parts_per_million.min(Self::MAX_PARTS_PER_MILLION),
        }
    }

    /// A span that has surely not passed on another host's clock when this host's clock has measured
    /// it: `d (1 - e) / (1 + e)`, since this clock may be slow while the other is fast.
    #[must_use]
    pub fn shorten(self, d: Duration) -> Duration {
        let e = u128::from(self.parts_per_million);
        scale(d, 1_000_000 - e, 1_000_000 + e)
    }

    /// A span after which `d` has surely passed on another host's clock too: `d (1 + e) / (1 - e)`,
    /// rounded up.
    #[must_use]
    pub fn lengthen(self, d: Duration) -> Duration {
        let e = u128::from(self.parts_per_million);
        scale(d, 1_000_000 + e, 1_000_000 - e) + Duration::from_nanos(1)
    }
}

impl Default for DriftBound {
    fn default() -> Self {
        Self::DEFAULT
    }
}

fn scale(d: Duration, up: u128, down: u128) -> Duration {
    let nanos = d.as_nanos() * up / down;
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
