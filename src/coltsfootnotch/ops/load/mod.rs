//! The load tool: callers that play a pattern of load, check every answer and measure.
//!
//! A run makes a plan of callers for its scenario, lets each ask over HTTP on a thread of its own,
//! and watches the backlog from the callers' side. At the end it compares what the callers were
//! told with what the stand-in upstreams really ran and booked: an answer that belongs to another
//! request, a booking made twice and a request that ran though it was refused all show.

mod caller;
mod client;
mod command;
mod disturb;
mod embedded;
mod hop;
mod page;
mod plan;
mod policy;
mod process;
mod recorder;
mod run;
mod sampler;
mod scenario;
mod series;
mod summary;
mod table;
mod target;
mod verify;

pub use command::{EmbeddedFleet, FleetChoice, LoadCommand, LoadError, RemoteFleet, load};
pub use embedded::{Size, embedded_target, fleet_plan, remote_target};
pub use hop::{HopCost, HopOptions, HopSide, hop};
pub use page::page;
pub use plan::{Ask, CallerPlan, MAX_CALLERS, Pattern, Shape, callers};
pub use policy::{Policy, UnknownPolicy};
pub use run::{LoadOptions, LoadRun, run};
pub use scenario::{Scenario, UnknownScenario};
pub use series::Sample;
pub use summary::{Percentiles, SmallAndLarge, Summary};
pub use table::{hop_table, table};
pub use target::{LoadAccount, Target};
