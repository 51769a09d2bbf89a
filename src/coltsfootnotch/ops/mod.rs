//! What the commands do.
pub mod load;
