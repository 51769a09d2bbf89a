//! Registry of upstreams, built from their announcements.

mod announcement;
mod upstream;
mod upstream_registry;

pub use announcement::{Announcement, Stage};
pub use upstream::Upstream;
pub use upstream_registry::{RegistryUpdate, UpstreamRegistry};
