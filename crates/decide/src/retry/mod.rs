//! Whether an attempt that failed is made again.
//!
//! **Pattern of load.** An upstream fails, or all of them do at once.
//!
//! **Without it** every failure doubles or trebles the load just when there is least capacity, and
//! the fleet stays down after the cause has gone. Without the rules on repeating, an order is booked
//! twice or a caller gets the beginning of an answer twice.
//!
//! **The rules.** An attempt is made again only if the work is repeatable, nothing of an answer has
//! reached the caller, tries and time are left, and the budget, a share of recent successes, has room
//! ([`RetryBudget`]). It goes to an upstream on which it has not failed. Work that may not be
//! repeated is never tried again, not even when it seems certain that it did not run.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::{Attempt, NoRetry, may_retry};
