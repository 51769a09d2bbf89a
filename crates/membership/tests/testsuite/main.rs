//! Tests of membership, the directory and service sums.
//!
//! Randomised tests use a fixed seed. To run more cases with another seed:
//!
//! ```text
//! COLTSFOOTNOTCH_CASES=100000 COLTSFOOTNOTCH_SEED=1 \
//!     cargo test --release -p coltsfootnotch-state -p coltsfootnotch-membership randomised
//! ```

mod directory_merge;
mod failures;
mod registry_heartbeats;
mod scaling;
mod service_sums;
mod simulated_net;
mod support;
