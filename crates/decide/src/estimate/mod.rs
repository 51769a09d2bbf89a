//! Cost estimates from the history of an account, and the charge of a run.
//!
//! The cost of a request is known only when it ends. Charging it then lets one account start runs
//! in every free slot before the first is counted. So an estimate is charged at the start, tokens
//! above it are charged as they stream, and the settlement sets the charge to the real usage:
//! errors of estimates do not accumulate.

mod estimator;
mod run_charge;

pub use estimator::CostEstimator;
pub use run_charge::{RunCharge, Settlement, Usage};
