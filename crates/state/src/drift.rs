//! The bound on clock drift between hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum rate by which the monotonic clock of any host deviates from real time.
///
/// A lease holder stops early by this bound ([`DriftBound::shorten`]), and a new holder waits
/// longer before it sends orders to engines that ignore fencing numbers ([`DriftBound::lengthen`]).
/// Wall clocks need not agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriftBound {
    parts_per_million: u32,
}

impl DriftBound {
    /// 1,000 ppm: quartz drifts up to about 100 ppm, and time daemons slew by up to 500 ppm.
    pub const DEFAULT: Self = Self {
        parts_per_million: 1_000,
    };

    /// Upper limit of the bound: a clock that is off by more than a tenth is broken.
    pub const MAX_PARTS_PER_MILLION: u32 = 100_000;

    /// Creates a bound in parts per million, capped at [`DriftBound::MAX_PARTS_PER_MILLION`].
    #[must_use]
    pub fn new(parts_per_million: u32) -> Self {
        Self {
            parts_per_million: parts_per_million.min(Self::MAX_PARTS_PER_MILLION),
        }
    }

    /// The local duration within which at most `d` passes on any other host: `d (1 - e) / (1 + e)`,
    /// for a slow local clock and a fast remote one.
    #[must_use]
    pub fn shorten(self, d: Duration) -> Duration {
        let e = u128::from(self.parts_per_million);
        scale(d, 1_000_000 - e, 1_000_000 + e)
    }

    /// The local duration after which at least `d` has passed on any other host:
    /// `d (1 + e) / (1 - e)`, rounded up.
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

fn scale(d: Duration, numerator: u128, denominator: u128) -> Duration {
    let nanos = d.as_nanos() * numerator / denominator;
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
