//! Load generator: simulated callers that run a scenario, check every answer and measure.
//!
//! Each planned caller sends HTTP requests on its own thread, and the backlog is measured from the
//! callers' side. At the end the answers are checked against what the stand-in upstreams ran and
//! booked, which detects mixed-up answers, doubled or lost bookings, and refused requests that ran.

mod caller;
mod client;
mod command;
mod embedded;
mod hop;
mod plan;
mod policy;
mod process;
mod recorder;
mod report;
mod run;
mod sampler;
mod scenario;
mod series;
mod slowdown;
mod summary;
mod table;
mod target;
mod verify;

pub use command::{EmbeddedFleet, FleetChoice, LoadCommand, LoadError, RemoteFleet, load};
pub use embedded::{FleetSize, embedded_target, fleet_plan, remote_target};
pub use hop::{HopOptions, HopOverhead, PathMetrics, measure_hop};
pub use plan::{ArrivalPattern, CallerPlan, FleetShape, MAX_CALLERS, RequestKind, plan_callers};
pub use policy::{Policy, UnknownPolicy};
pub use report::html_report;
pub use run::{LoadOptions, LoadRun, run};
pub use scenario::{Scenario, UnknownScenario};
pub use series::Sample;
pub use summary::{Percentiles, SmallAndLarge, Summary};
pub use table::{hop_table, summary_table};
pub use target::{LoadAccount, Target};
