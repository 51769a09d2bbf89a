//! Lookups of the origins of streams that began at other entries, or before this one was started.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::streams::{OriginReports, StreamOrigin, VersionReports};
use coltsfootnotch_wire::VersionReport;
use tokio::sync::oneshot;

use crate::daemon::forward::messages::{FindOrigin, KnownOrigin};

/// Time after which control hosts that have not responded count as not knowing the stream. Its caller gives up
/// after two seconds.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// A lookup that control hosts have not answered yet.
struct Lookup {
    req: FindOrigin,
    tx: oneshot::Sender<Option<KnownOrigin>>,
    /// The control hosts that have not responded.
    waiting: BTreeSet<LinkId>,
    origins: OriginReports,
    versions: VersionReports,
    deadline: Duration,
}

/// A lookup that has ended.
pub(super) struct FinishedLookup {
    pub(super) req: FindOrigin,
    pub(super) tx: oneshot::Sender<Option<KnownOrigin>>,
    /// Where the control hosts that responded know the stream to be.
    pub(super) origins: OriginReports,
    /// What the control hosts that responded know of the service's versions.
    pub(super) versions: VersionReports,
}

/// The lookups in progress.
#[derive(Default)]
pub(super) struct StreamLookups {
    pending: BTreeMap<u64, Lookup>,
    last_id: u64,
}

impl StreamLookups {
    /// Starts a lookup at the control hosts of `links`; returns its number.
    pub(super) fn start(
        &mut self,
        now: Duration,
        req: FindOrigin,
        tx: oneshot::Sender<Option<KnownOrigin>>,
        links: impl IntoIterator<Item = LinkId>,
    ) -> u64 {
        self.last_id += 1;
        let lookup = Lookup {
            req,
            tx,
            waiting: links.into_iter().collect(),
            origins: OriginReports::default(),
            versions: VersionReports::default(),
            deadline: now + LOOKUP_TIMEOUT,
        };
        self.pending.insert(self.last_id, lookup);
        self.last_id
    }

    /// Handles the response of a control host, with where it knows the stream to be and whether that was placed
    /// elsewhere before; returns the lookup if that ends it. All are waited for, as some may have missed that.
    pub(super) fn on_response(
        &mut self,
        link: LinkId,
        id: u64,
        origin: Option<(StreamOrigin, bool)>,
        versions: VersionReport,
    ) -> Option<FinishedLookup> {
        let lookup = self.pending.get_mut(&id)?;
        lookup.waiting.remove(&link);
        lookup.versions.record(versions);
        if let Some((origin, has_moved)) = origin {
            lookup.origins.record(origin, has_moved);
        }
        if !lookup.waiting.is_empty() {
            return None;
        }
        let lookup = self.pending.remove(&id)?;
        Some(lookup.finish())
    }

    /// Ends the lookups whose time is over.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<FinishedLookup> {
        let expired = self
            .pending
            .extract_if(.., |_, lookup| now >= lookup.deadline);
        expired.map(|(_, lookup)| lookup.finish()).collect()
    }
}

impl Lookup {
    fn finish(self) -> FinishedLookup {
        FinishedLookup {
            req: self.req,
            tx: self.tx,
            origins: self.origins,
            versions: self.versions,
        }
    }
}

#[cfg(test)]
#[path = "stream_lookups_tests.rs"]
mod tests;
