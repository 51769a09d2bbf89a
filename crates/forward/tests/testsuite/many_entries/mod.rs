//! Many entries and the same engines, in virtual time.

mod fleet;
mod floods;
mod refusals;
mod shedding;
mod subjects;
