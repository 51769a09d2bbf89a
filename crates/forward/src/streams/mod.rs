//! Which upstreams may go on with a stream that another one began, and when.

mod origin;
mod origin_reports;
mod origins;
mod search_interval;
mod takeover;
mod version_reports;

pub use origin::StreamOrigin;
pub use origin_reports::OriginReports;
pub use origins::{StreamOrigins, group_streams};
pub use search_interval::SearchInterval;
pub use takeover::{Takeover, TakeoverRefusal, TakeoverStep};
pub use version_reports::VersionReports;
