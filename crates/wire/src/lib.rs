//! wire types and codec between the fleet's own processes.

pub mod announce;
