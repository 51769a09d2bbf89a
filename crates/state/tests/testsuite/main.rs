//! Tests of the replicated state machine.
//!
//! Randomised tests use fixed seeds. To run more cases with another seed:
//!
//! ```text
//! COLTSFOOTNOTCH_CASES=100000 COLTSFOOTNOTCH_SEED=1 \
//!     cargo test --release -p coltsfootnotch-state -p coltsfootnotch-membership randomised
//! ```

mod bookings;
mod configuration;
mod evacuation;
mod format;
mod lease_runs;
mod lease_simulation;
mod ledger_runs;
mod ledger_simulation;
mod orders;
mod support;
