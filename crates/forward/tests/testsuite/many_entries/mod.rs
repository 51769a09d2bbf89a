//! Many entries and the same engines, in virtual time.

mod crowds;
mod fair_rule;
mod fleet;
mod floods;
mod hard_load;
mod reader;
mod refusals;
mod shedding;
mod subjects;
mod whole_fleet;
