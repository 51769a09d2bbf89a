//! Streams that their callers resume: where they began, as far as control hosts or this entry know.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::streams::StreamOrigin;
use coltsfootnotch_wire::ToRelay;
use tokio::sync::oneshot;

use super::ForwardActor;
use super::maintenance::UPDATES_CURRENT_FOR;
use super::stream_lookups::FinishedLookup;
use crate::daemon::forward::messages::{FindOrigin, KnownOrigin, OriginSource};

impl ForwardActor {
    /// Finds the origin of a stream: here, at the control hosts, or by its service having one version.
    pub(super) fn find_origin(
        &mut self,
        now: Duration,
        req: FindOrigin,
        tx: oneshot::Sender<Option<KnownOrigin>>,
    ) {
        if let Some(origin) = req.stream.and_then(|stream| self.state.origin(stream)) {
            let known = KnownOrigin {
                origin: origin.clone(),
                source: OriginSource::Entry,
            };
            // Fails if the caller has disconnected.
            let _result = tx.send(Some(known));
            return;
        }
        let links: Vec<LinkId> = self.links.ids().collect();
        let Some(stream) = req.stream.filter(|_| !links.is_empty()) else {
            let origin = None;
            return self.finish_lookup(now, FinishedLookup { req, tx, origin });
        };
        let id = self.lookups.start(now, req, tx, links);
        self.links.send_to_all(&ToRelay::FindStream { id, stream });
    }

    pub(super) fn on_stream_found(
        &mut self,
        now: Duration,
        link: LinkId,
        id: u64,
        origin: Option<StreamOrigin>,
    ) {
        if let Some(finished) = self.lookups.on_response(link, id, origin) {
            self.finish_lookup(now, finished);
        }
    }

    pub(super) fn expire_lookups(&mut self, now: Duration) {
        for finished in self.lookups.expire(now) {
            self.finish_lookup(now, finished);
        }
    }

    /// The origin of all streams of a service: that of its upstreams, if this entry can know all of them and
    /// they have one version.
    fn sole_origin(&self, now: Duration, service: &Arc<str>) -> Option<StreamOrigin> {
        let registry = &self.state.registry;
        let is_current = now.saturating_sub(self.last_upstream_update) < UPDATES_CURRENT_FOR;
        let is_complete = self.lists_all_upstreams || registry.is_complete(now);
        let version = registry.sole_version(service)?;
        (is_current && is_complete).then(|| StreamOrigin::new(service.clone(), version))
    }

    fn finish_lookup(&self, now: Duration, finished: FinishedLookup) {
        let known_by = |source| move |origin| KnownOrigin { origin, source };
        let by_control_host = finished.origin.map(known_by(OriginSource::ControlHost));
        let known = by_control_host.or_else(|| {
            let origin = self.sole_origin(now, &finished.req.service)?;
            Some(known_by(OriginSource::SoleVersion)(origin))
        });
        // Fails if the caller has disconnected.
        let _result = finished.tx.send(known);
    }
}
