//! A fault soak: the real programs as separate processes, faults from outside, promises checked from
//! what callers, upstreams and operators see.
//!
//! One seed gives one schedule of faults ([`schedule`]). A run starts control hosts and routers as
//! processes on loopback addresses of their own ([`fleet`]), stand-ins around them ([`upstream`],
//! [`caller`], [`operator`]) and a proxy on every path between them ([`proxy`]). What everybody sees is
//! written into one book ([`book`]), which finds the broken promises.
//!
//! What it does not do: the programs read clocks and write files themselves, so clocks that step and
//! disks that tear are played in the tests of the state machines, which are passed both. Here a disk is
//! lost whole, and a stopped process stands for a machine that is suspended.

pub mod book;
pub mod caller;
pub mod controls;
pub mod disturbed;
pub mod fleet;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod run;
pub mod schedule;
mod stage;
pub mod upstream;

/// The types that a program around the soak needs.
pub mod prelude {
    pub use crate::book::{Book, Finding, Promise};
    pub use crate::run::{Outcome, RunError, Soak};
    pub use crate::schedule::{Action, Schedule, Shape, Step};
}
