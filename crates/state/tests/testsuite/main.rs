//! Tests of the replicated state machine.
//!
//! The randomised runs are the same at every call. A longer run with other seeds:
//!
//! ```text
//! COLTSFOOTNOTCH_CASES=100000 COLTSFOOTNOTCH_SEED=1 \
//!     cargo test --release -p coltsfootnotch-state -p coltsfootnotch-membership randomised
//! ```

mod bookings;
mod configuration;
mod format;
mod lease_runs;
mod lease_world;
mod ledger_runs;
mod ledger_world;
mod orders;
mod support;
