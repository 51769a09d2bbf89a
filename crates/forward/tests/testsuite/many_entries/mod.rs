//! Many entries before the same engines, in virtual time.

mod fleet;
mod floods;
