//! What all entries together have sent to each upstream, and how it does.
//!
//! **Pattern of load.** Many entries send to the same few upstreams, and a model engine reads one
//! prompt after the other. An entry that knows only its own requests sends to an engine that the
//! others have just filled; a slow or failing upstream is found out by each of them anew.
//!
//! Each entry reports about ten times a second what it has where; control hosts add the reports up.
//! What others have is therefore two ways and up to two reporting periods old (some 200 ms).

mod backlog_limit;
mod fleet_load;
mod held;
mod kept_parts;
mod period;
mod speed;
mod standing;
mod upstream_load;
mod upstream_loads;

pub use backlog_limit::BacklogLimit;
pub use fleet_load::{FleetLoad, Totals};
pub use held::Held;
pub use kept_parts::{KeptParts, Part};
pub use period::reporting_period;
pub use speed::Speed;
pub(crate) use speed::fade;
pub use standing::Standing;
pub use upstream_load::{Sent, UpstreamLoad};
pub use upstream_loads::UpstreamLoads;
