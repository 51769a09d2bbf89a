//! A few sidecars and one relay in virtual time, without a network.

mod fleet;
mod report;

pub(crate) use fleet::{Fleet, FleetOptions, Source};
pub(crate) use report::table;
