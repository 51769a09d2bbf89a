//! The cases.

mod foreign_report;
mod frozen_neighbour;
mod revoked_key;
mod shrunk_group;
mod stale_order;

use std::io;

use crate::Verdict;
use crate::record::Record;

/// Runs a case by its name.
pub fn run(case: &str, has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    match case {
        "shrunk-group" => shrunk_group::run(has_trouble, record),
        "stale-order" => stale_order::run(has_trouble, record),
        "foreign-report" => foreign_report::run(has_trouble, record),
        "frozen-neighbour" => frozen_neighbour::run(has_trouble, record),
        "revoked-key" => revoked_key::run(has_trouble, record),
        _ => Err(io::Error::other("there is no such case")),
    }
}
