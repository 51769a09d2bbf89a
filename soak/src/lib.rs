//! Soak test of the fleet under faults: runs the real programs as separate processes, injects faults from
//! outside and checks invariants on what clients, upstreams and operators observe.
//!
//! A seed determines the schedule of faults ([`schedule`]). A run starts control hosts and routers as
//! processes on separate loopback addresses ([`fleet`]), simulated upstreams, clients and operators
//! ([`upstream`], [`client`], [`operator`]) and a proxy on every path between them ([`proxy`]). The
//! [`recorder`] collects their observations and reports violated invariants.
//!
//! Clock steps and torn writes are not covered, since the programs use the system's clock and files; the
//! tests of the state machines simulate both. Here a disk is lost as a whole, and a paused process simulates
//! a suspended machine.

pub mod client;
pub mod control_slots;
pub mod disturbances;
pub mod fleet;
pub mod kept_caller;
pub mod notices;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod recorder;
pub mod resuming_client;
pub mod run;
mod scenario;
pub mod schedule;
pub mod slow_client;
pub mod upstream;

/// Types for running a soak.
pub mod prelude {
    pub use crate::recorder::{Finding, Invariant, Recorder};
    pub use crate::run::{Outcome, RunError, Soak};
    pub use crate::schedule::{Action, FleetSize, Schedule, Step};
}
