//! What the commands do.

pub mod demo;
pub mod fleet;
pub mod load;
pub mod operator_client;
pub mod serve;
