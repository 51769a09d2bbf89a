//! Tests of membership, the directory and service sums.
//!
//! The randomised runs are the same at every call. A longer run with other seeds:
//!
//! ```text
//! COLTSFOOTNOTCH_CASES=100000 COLTSFOOTNOTCH_SEED=1 \
//!     cargo test --release -p coltsfootnotch-state -p coltsfootnotch-membership randomised
//! ```

mod directory_runs;
mod growth;
mod net;
mod registry_runs;
mod silence;
mod sums_runs;
mod support;
