//! Registry of upstreams, built from their announcements.

mod announcement;
mod evacuated_domains;
mod upstream;
mod upstream_registry;

pub use announcement::{Announcement, Stage};
pub use evacuated_domains::{EvacuatedDomains, EvacuationChange};
pub use upstream::Upstream;
pub use upstream_registry::{RegistryUpdate, UpstreamRegistry};
