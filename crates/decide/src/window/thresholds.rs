//! Constants of the limit's control loop.

/// Limit of a new upstream.
pub(super) const INITIAL_LIMIT: u32 = 4;

/// Lower bound of the limit, so that a reduced limit can recover.
pub(super) const MIN_LIMIT: u32 = 1;

/// Upper bound of the limit, for upstreams whose latency does not rise with load.
pub(super) const MAX_LIMIT: u32 = 1_024;

/// Measured first tokens needed to end a round, so that few outliers don't decide the median.
/// A saturated engine of 32 slots with requests of 10 s yields eight in under three seconds.
pub(super) const ROUND_SAMPLES: usize = 8;

/// A round may end while at most one pending run per this many measured ones remains.
pub(super) const PENDING_DIVISOR: usize = 4;

/// Growth stops at this share of a target. The band up to the target keeps the limit from
/// oscillating around it.
pub(super) const GROW_BELOW: f64 = 0.85;

/// Multiple of a target above which the engine counts as overloaded and the limit is halved.
pub(super) const OVERLOAD_ABOVE: f64 = 2.0;

/// Growth is at most the limit divided by this, which bounds the requests that wait inside the
/// engine after a growth beyond its capacity.
pub(super) const GROWTH_DIVISOR: u32 = 4;

/// A step down is the limit divided by this: 3%, so that a step too many costs no more.
pub(super) const STEP_DOWN_DIVISOR: u32 = 32;

/// Rounds without growth after a reverted growth, doubled by each further one. Keeps the limit from
/// alternating between two values.
pub(super) const FIRST_HOLD: u32 = 2;

/// Maximum number of rounds without growth, after which the engine is probed again: about half a
/// minute on a saturated engine of 32 slots.
pub(super) const MAX_HOLD: u32 = 16;

/// Failures in a round needed to halve the limit: a single one may be the fault of the request.
pub(super) const MIN_FAILURES: u32 = 2;

/// The limit is halved when the failures reach the runs in flight divided by this, so that sporadic
/// failures don't reduce it.
pub(super) const FAILURE_DIVISOR: u32 = 8;
