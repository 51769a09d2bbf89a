//! Adaptive concurrency limit of an upstream.
//!
//! Finds the number of requests that an upstream can run at once. Too low a limit leaves slots
//! idle; too high a limit moves the queue into the engine, where requests can't be reordered by
//! fairness and callers miss the target for the first token.
//!
//! A round collects the time to first token and the time between tokens of runs that started after
//! the last change of the limit. Earlier runs and older load reports are left out, since they
//! reflect an older limit and make the limit oscillate. At the end of a round:
//!
//! - the limit grows if it was reached while requests waited and both medians are well within their
//!   targets;
//! - a growth that exceeds a target is reverted and followed by rounds without growth;
//! - above a target without a preceding growth the limit steps down, above twice a target it is
//!   halved.
//!
//! Failures of a share of the runs halve the limit at once, but only once for all runs that started
//! before.

mod limit;
mod round;
mod targets;
mod thresholds;

pub use limit::ConcurrencyWindow;
pub use targets::{RunEnd, WindowTargets};
