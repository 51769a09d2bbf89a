//! The software that began a stream.

use std::sync::Arc;

use coltsfootnotch_wire::{BegunStreams, StreamOriginRecord};

use crate::registry::Announcement;

/// The service and version of the upstream that began a stream. Only upstreams of the same may go on
/// with it: what two versions write does not fit together, and upstreams don't check it.
///
/// ```
/// use coltsfootnotch_forward::streams::StreamOrigin;
/// let origin = StreamOrigin::new("spec", "v1");
/// assert_ne!(origin, StreamOrigin::new("spec", "v2"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// Version of the upstream's software; empty if it announced none.
    pub version: Arc<str>,
}

impl StreamOrigin {
    /// An origin of this service and version.
    #[must_use]
    pub fn new(service: impl Into<Arc<str>>, version: impl Into<Arc<str>>) -> Self {
        Self {
            service: service.into(),
            version: version.into(),
        }
    }

    /// Whether the upstream may go on with a stream of this origin.
    #[must_use]
    pub fn matches(&self, upstream: &Announcement) -> bool {
        self.service == upstream.service && self.version == upstream.version
    }
}

impl From<&Announcement> for StreamOrigin {
    fn from(upstream: &Announcement) -> Self {
        Self {
            service: upstream.service.clone(),
            version: upstream.version.clone(),
        }
    }
}

impl From<&BegunStreams> for StreamOrigin {
    fn from(begun: &BegunStreams) -> Self {
        Self::new(begun.service.as_str(), begun.version.as_str())
    }
}

impl From<&StreamOrigin> for StreamOriginRecord {
    fn from(origin: &StreamOrigin) -> Self {
        Self {
            service: origin.service.to_string(),
            version: origin.version.to_string(),
        }
    }
}

impl From<StreamOriginRecord> for StreamOrigin {
    fn from(record: StreamOriginRecord) -> Self {
        Self::new(record.service, record.version)
    }
}
