//! Load and health of each upstream, over all entries.
//!
//! Many entries send to the same few upstreams, and a model engine prefills prompts in order. An
//! entry that knows only its own requests overfills engines that others have just filled, and finds
//! slow or failing upstreams late. Each entry therefore reports its requests about ten times per
//! second to one control host. Control hosts sum the reports of their entries ([`FleetLoad`]), send
//! the sums to each other, and the totals to their entries ([`LoadFeed`]), which subtract what they
//! reported themselves ([`OwnReports`]). The view of the others is up to three periods and three
//! transits old (some 300 ms, 150 ms on average).

mod backlog_limit;
mod cached_segments;
mod entry_count;
mod fleet_load;
mod in_flight;
mod load_decoder;
mod load_encoder;
mod load_feed;
mod name_numbers;
mod own_reports;
mod period;
mod slowdown;
mod subject_demand;
mod sums;
mod upstream_health;
mod upstream_load;
mod upstream_loads;
mod warm_up;

pub use backlog_limit::BacklogLimit;
pub use cached_segments::{CachedSegments, PromptSegment};
pub use entry_count::EntryCount;
pub use fleet_load::FleetLoad;
pub use in_flight::InFlight;
pub use load_decoder::LoadDecoder;
pub use load_encoder::LoadEncoder;
pub use load_feed::LoadFeed;
pub use own_reports::OwnReports;
pub use period::reporting_period;
pub use slowdown::Slowdown;
pub(crate) use slowdown::decay;
pub use subject_demand::SubjectDemand;
pub use sums::add_account;
pub use upstream_health::UpstreamHealth;
pub use upstream_load::{SentRequest, UpstreamLoad};
pub use upstream_loads::UpstreamLoads;
pub use warm_up::{WarmUp, warm_up_interval};
