//! Registry of upstreams, built from their announcements.

mod announcement;
mod evacuated_domains;
mod recent_hosts;
mod saved_versions;
mod upstream;
mod upstream_registry;

pub use announcement::{Announcement, Stage};
pub use evacuated_domains::{EvacuatedDomains, EvacuationChange};
pub use recent_hosts::RecentHosts;
pub use saved_versions::{SaveRequest, SavedVersions, ServiceVersion, StoredVersions};
pub use upstream::Upstream;
pub use upstream_registry::{RegistryUpdate, UpstreamRegistry, VERSION_RETENTION};
