//! How many requests each upstream is let to hold at once: found, not configured.
//!
//! **Pattern of load.** Saturation, and upstreams that become slow or fail. A model engine admits
//! what it is sent; past its real slots, requests wait inside it where nobody can reorder them.
//!
//! **Without it** a limit set too low leaves slots idle while work waits, and one set too high moves
//! the queue into the engines, where it is served first come, first served and callers miss the
//! target for the first token.
//!
//! **The rule.** A round collects the time to first token and the time between tokens of runs that
//! started after the last change. A request that started earlier reports on an older limit; counting
//! it makes the limit swing, as does any late load report, so both are left out. At the end of a
//! round the limit grows if it was full while work waited and both medians are well within their
//! targets. A growth that leads over a target is taken back whole and followed by a rest, so the
//! limit settles at what the engine holds instead of sawing around it. Above a target without a
//! growth to blame it steps down, above twice a target it is halved. Failures of a part of its runs
//! halve it at once, but once only for all runs that had started before.

mod limit;
mod sample;
mod targets;
mod thresholds;

pub use limit::ConcurrencyWindow;
pub use targets::{RunEnd, WindowTargets};
