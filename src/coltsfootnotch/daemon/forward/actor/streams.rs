//! Streams that their callers resume: where they began, as far as control hosts or this entry know.

use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::streams::StreamOrigin;
use coltsfootnotch_wire::{StreamOriginRecord, ToRelay, VersionReport};
use tokio::sync::oneshot;

use super::ForwardActor;
use super::stream_lookups::FinishedLookup;
use crate::daemon::forward::messages::{FindOrigin, KnownOrigin, OriginSource, Ticket};

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
        if links.is_empty() {
            // Fails if the caller has disconnected.
            let _result = tx.send(None);
            return;
        }
        let service = req.sole_service.as_deref().unwrap_or_default().to_owned();
        let stream = req.stream;
        let id = self.lookups.start(now, req, tx, links);
        self.links.send_to_all(&ToRelay::FindStream {
            id,
            stream,
            service,
        });
    }

    pub(super) fn on_stream_found(
        &mut self,
        link: LinkId,
        id: u64,
        origin: Option<(StreamOrigin, bool)>,
        versions: VersionReport,
    ) {
        if let Some(finished) = self.lookups.on_response(link, id, origin, versions) {
            self.finish_lookup(finished);
        }
    }

    pub(super) fn expire_lookups(&mut self, now: Duration) {
        for finished in self.lookups.expire(now) {
            self.finish_lookup(finished);
        }
    }

    /// Tells all control hosts at once of streams that were placed at another origin than before: this process may be
    /// killed before its next report, and the last one may name the origin before.
    pub(super) fn report_moved_streams(&mut self, now: Duration) {
        for (stream, origin) in self.state.take_moved_streams() {
            let id = self.moves.start(now, stream, self.links.ids());
            let origin = StreamOriginRecord::from(&origin);
            self.links
                .send_to_all(&ToRelay::StreamMoved { id, stream, origin });
        }
    }

    /// Replies once all control hosts know that the stream goes on at the upstream of `ticket`.
    pub(super) fn confirm_origin(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        tx: oneshot::Sender<()>,
    ) {
        let Some(stream) = ticket.stream else {
            return;
        };
        self.state.record_origin(now, stream, &ticket.origin);
        self.report_moved_streams(now);
        self.moves.on_recorded_by_all(stream, tx);
    }

    fn finish_lookup(&self, finished: FinishedLookup) {
        let known_by = |source| move |origin| KnownOrigin { origin, source };
        let reported = finished.origins.origin().cloned();
        let by_control_host = reported.map(known_by(OriginSource::ControlHost));
        let known = by_control_host.or_else(|| {
            if !finished.origins.is_empty() {
                return None;
            }
            let service = finished.req.sole_service.as_ref()?;
            let own = self.state.registry.versions(service);
            let version = finished.versions.sole_version(own.map(|v| &**v))?;
            let origin = StreamOrigin::new(service.clone(), version);
            Some(known_by(OriginSource::SoleVersion)(origin))
        });
        // Fails if the caller has disconnected.
        let _result = finished.tx.send(known);
    }
}
