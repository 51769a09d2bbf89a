//! What a request will cost, learned from the account's history, and the charge of a run.
//!
//! **Pattern of load.** The cost of a request is known only when it ends, and hints are rough.
//!
//! **Without it** a fair choice that charges at the end lets an account start work in every free
//! slot before the first of it is counted, so the gap grows with the number of slots; one that
//! trusts hints is paid back in hints.
//!
//! **Life of a charge.** An estimate is charged at the start. Tokens that stream beyond it are
//! charged as they come. At the end, whether finished, cancelled or failed, the charge is set to
//! what was really used, so after a settlement the place of the account is exact and no error accumulates.

mod estimator;
mod run_charge;

pub use estimator::CostEstimator;
pub use run_charge::{RunCharge, Settlement, Used};
