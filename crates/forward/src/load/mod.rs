//! Load and health of each upstream, over all entries.
//!
//! Many entries send to the same few upstreams, and a model engine prefills prompts in order. An
//! entry that knows only its own requests overfills engines that others have just filled, and finds
//! slow or failing upstreams late. Each entry therefore reports its requests about ten times per
//! second; control hosts sum the reports. The view of the others is up to two reporting periods and
//! two transits old (some 200 ms).

mod backlog_limit;
mod cached_segments;
mod fleet_load;
mod in_flight;
mod period;
mod slowdown;
mod subject_demand;
mod upstream_health;
mod upstream_load;
mod upstream_loads;
mod warm_up;

pub use backlog_limit::BacklogLimit;
pub use cached_segments::{CachedSegments, PromptSegment};
pub use fleet_load::{FleetLoad, Totals, add_account};
pub use in_flight::InFlight;
pub use period::reporting_period;
pub use slowdown::Slowdown;
pub(crate) use slowdown::decay;
pub use subject_demand::SubjectDemand;
pub use upstream_health::UpstreamHealth;
pub use upstream_load::{SentRequest, UpstreamLoad};
pub use upstream_loads::UpstreamLoads;
pub use warm_up::{WarmUp, warm_up_interval};
