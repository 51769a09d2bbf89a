//! Load and health of each upstream, over all entries.
//!
//! Many entries send to the same few upstreams, and a model engine prefills prompts in order. An
//! entry that knows only its own requests overfills engines that others have just filled, and finds
//! slow or failing upstreams late. Each entry therefore reports its requests about ten times per
//! second; control hosts sum the reports. The view of the others is up to two reporting periods and
//! two transits old (some 200 ms).

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
pub(crate) use speed::decay;
pub use standing::Standing;
pub use upstream_load::{Sent, UpstreamLoad};
pub use upstream_loads::UpstreamLoads;
