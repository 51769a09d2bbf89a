//! A router fleet for client accounts that share model engines and plain services fairly.
//!
//! The daemons ([`daemon`]) are thin: they carry the decisions of the packages `decide`, `router`,
//! `consensus`, `state` and `membership` over their sockets. Each daemon has one event loop, in
//! which an actor owns the state; tasks that own sockets talk to it by messages. What the commands
//! do is in [`ops`], what both share in [`core`] and [`util`].

pub mod core;
pub mod daemon;
pub mod ops;
pub mod util;

/// The types that nearly every module needs.
pub mod prelude {
    pub use crate::core::{HostCx, Refusal};
    pub use coltsfootnotch_types::prelude::*;
}
