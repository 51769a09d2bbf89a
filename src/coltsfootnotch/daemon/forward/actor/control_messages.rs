//! Handling of connections to control hosts and of their messages.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::{Event, LinkId};
use coltsfootnotch_forward::config::ForwardConfig;
use coltsfootnotch_forward::load::{LoadDecoder, reporting_period};
use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate};
use coltsfootnotch_forward::streams::StreamOrigin;
use coltsfootnotch_state::BodyDigest;
use coltsfootnotch_types::DomainName;
use coltsfootnotch_wire::{FromRelay, Message, RetryHistory, SegmentReport, UpstreamRecord};

use super::ForwardActor;
use crate::core::config_patch;
use crate::daemon::forward::costs::CONFIG_FACTOR;
use crate::util::events;

impl ForwardActor {
    pub(super) fn on_fabric_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Up { link, peer, tx, .. } => {
                self.cx.log(&events::LINK_UP, &[("peer", &peer)]);
                self.links.on_link_up(link, peer, tx);
                self.links.send(link, self.handover_message());
            }
            Event::Down { link, peer } => {
                self.cx.log(&events::LINK_DOWN, &[("peer", &peer)]);
                self.links.on_link_down(link);
            }
            Event::Message {
                link,
                message: Message::FromRelay(message),
                ..
            } => self.on_control_message(now, link, message),
            Event::Message { peer, .. } | Event::Forbidden { peer } => {
                self.cx.log(&events::MESSAGE_FORBIDDEN, &[("peer", &peer)]);
            }
            // Control hosts open no streams to an entry.
            Event::Stream { stream, .. } => drop(stream),
        }
    }

    fn log_if_selected(&self, link: LinkId) {
        if let Some((selected, peer)) = self.links.selected()
            && selected == link
        {
            self.cx
                .log(&events::CONTROL_HOST_CHANGED, &[("peer", peer)]);
        }
    }

    fn on_control_message(&mut self, now: Duration, link: LinkId, message: FromRelay) {
        match message {
            FromRelay::Upstreams(records) => {
                self.apply_announcements(now, records);
                self.place_waiting(now);
            }
            FromRelay::UpstreamsAlive(refreshes) => {
                self.last_upstream_update = now;
                for refresh in refreshes {
                    self.state.registry.refresh(
                        now,
                        &refresh.id,
                        refresh.born_ms,
                        refresh.sequence,
                    );
                }
            }
            FromRelay::UpstreamLeft { id, born_ms } => {
                self.state.registry.mark_left(now, &id, born_ms);
                self.cx.log(&events::UPSTREAM_LEAVING, &[("upstream", &id)]);
            }
            FromRelay::FleetLoad {
                entries,
                included,
                period_ms,
                load,
                segments,
            } => {
                self.apply_segments(now, &segments);
                if self.links.reports_to(link) {
                    let period = Duration::from_millis(period_ms.into());
                    self.report_period = period.min(reporting_period(u32::MAX));
                    self.apply_fleet_load(now, link, entries, included, &load);
                }
            }
            FromRelay::StreamFound {
                id,
                origin,
                has_moved,
                versions,
            } => {
                let origin = origin.map(|origin| (StreamOrigin::from(origin), has_moved));
                self.on_stream_found(link, id, origin, versions);
            }
            FromRelay::StreamMoveRecorded { id } => self.moves.on_recorded(link, id),
            FromRelay::Lease { id, number } => {
                if let Some(sent_at) = self.links.on_lease_response(id) {
                    self.state.lease.renew(sent_at, number);
                    self.update_lease_state();
                }
            }
            FromRelay::ConfigPatch {
                base,
                number,
                digest,
                patch,
            } => self.apply_patch(base, number, &digest, &patch),
            FromRelay::Evacuations { revision, domains } => {
                self.apply_evacuations(now, revision, &domains);
            }
            FromRelay::RetryHistory(history) => self.apply_retry_history(now, link, &history),
            FromRelay::Neighbours { addresses } => self.handover.set_neighbours(addresses),
            FromRelay::ControlHosts {
                has_log,
                domain,
                addresses,
            } => {
                self.links.add_reported(&self.endpoint, &addresses);
                if has_log && self.links.add_log_host(link, domain.as_str()) {
                    self.log_if_selected(link);
                }
            }
            // Messages for hosts of other roles.
            FromRelay::Directory { .. }
            | FromRelay::ServiceApplied { .. }
            | FromRelay::Totals { .. }
            | FromRelay::Config(_)
            | FromRelay::ConfigDelta { .. }
            | FromRelay::ConfigConfirmed { .. }
            | FromRelay::Proposed { .. }
            | FromRelay::Status { .. }
            | FromRelay::Members { .. } => {}
        }
    }

    /// Applies the load of all entries, less that of this one.
    fn apply_fleet_load(
        &mut self,
        now: Duration,
        link: LinkId,
        entries: u32,
        included: u64,
        load: &[u8],
    ) {
        let changes = match postcard::from_bytes(load) {
            Ok(changes) => changes,
            Err(e) => {
                log::error!("the load of the fleet can't be decoded: {e}");
                return;
            }
        };
        // The numbers of another control host mean other upstreams.
        if self.decodes_from.replace(link) != Some(link) {
            self.decoder = LoadDecoder::default();
        }
        let Some(totals) = self.decoder.apply(changes) else {
            return;
        };
        let previous = self.own_reports.included_at();
        let others = self.own_reports.subtract(included, totals);
        if let Some(at) = self
            .own_reports
            .included_at()
            .filter(|at| Some(*at) != previous)
        {
            let round_trip = now.saturating_sub(at).as_secs_f64();
            let histogram = self.cx.metrics.histogram("load_round_trip_seconds", &[]);
            histogram.record(round_trip);
        }
        let config = self.config.borrow().clone();
        self.state
            .apply_remote(now, entries, &others, config.as_deref());
        self.place_waiting(now);
    }

    /// Applies what a control host knows of the retries of earlier processes of this host.
    fn apply_retry_history(&mut self, now: Duration, link: LinkId, history: &RetryHistory) {
        let Some(from) = self.links.host(link) else {
            return;
        };
        let from = from.as_str().to_owned();
        if let Some(earlier) = self.state.on_retry_history(now, &from, history) {
            let (requests, retries) = (earlier.requests, earlier.retries);
            self.cx.log(
                &events::EARLIER_RETRIES_KNOWN,
                &[("requests", &requests), ("retries", &retries)],
            );
        }
    }

    fn apply_segments(&mut self, now: Duration, report: &SegmentReport) {
        for group in self.state.segments.apply(now, report) {
            let segments: Vec<String> = group.iter().map(|id| format!("{id:x}")).collect();
            let segments = segments.join(",");
            self.cx
                .log(&events::SEGMENTS_REFUSED, &[("segments", &segments)]);
        }
    }

    fn apply_announcements(&mut self, now: Duration, records: Vec<UpstreamRecord>) {
        if !records.is_empty() {
            self.last_upstream_update = now;
        }
        for record in records {
            let announcement = Announcement::from(record);
            let update = self.state.on_announcement(now, announcement.clone());
            if update == RegistryUpdate::Changed {
                self.cx.log(
                    &events::UPSTREAM_ANNOUNCED,
                    &[
                        ("upstream", &announcement.id),
                        ("service", &announcement.service),
                        ("version", &announcement.version),
                        ("sequence", &announcement.sequence),
                        ("stage", &format!("{:?}", announcement.stage)),
                    ],
                );
            }
        }
    }

    fn apply_evacuations(&mut self, now: Duration, revision: u64, domains: &[DomainName]) {
        let domains = domains.iter().map(|domain| domain.as_str().into());
        let Some(change) = self.state.on_evacuations(now, revision, domains) else {
            return;
        };
        for (event, domains) in [
            (&events::EVACUATION_STARTED, change.started),
            (&events::EVACUATION_ENDED, change.ended),
        ] {
            for domain in domains {
                self.cx
                    .log(event, &[("domain", &domain), ("revision", &revision)]);
            }
        }
        let evacuated = self.state.evacuated.iter().count();
        self.cx
            .metrics
            .gauge("evacuated_domains", &[])
            .set(evacuated as f64);
    }

    /// Puts a configuration in force if it is newer than the current one. If the patch can't be
    /// applied, the next lease request asks for the whole configuration.
    fn apply_patch(&mut self, base: u64, number: u64, digest: &[u8; 32], patch: &[u8]) {
        if number <= self.number {
            return;
        }
        match self.patched_body(base, digest, patch) {
            Ok(body) => {
                self.needs_whole_config = false;
                self.apply_config(number, body);
            }
            Err(reason) => {
                self.needs_whole_config = true;
                self.cx.log(
                    &events::CONFIG_PATCH_REFUSED,
                    &[("number", &number), ("base", &base), ("reason", &reason)],
                );
            }
        }
    }

    fn patched_body(&self, base: u64, digest: &[u8; 32], patch: &[u8]) -> Result<Vec<u8>, String> {
        let base_body = match base {
            0 => &[][..],
            base if base == self.number => &self.config_body,
            _ => return Err(format!("configuration {} is in force", self.number)),
        };
        let body = config_patch::apply(base_body, patch).map_err(|e| e.to_string())?;
        if BodyDigest::of(&body).0 == *digest {
            Ok(body)
        } else {
            Err("the body has another digest".to_owned())
        }
    }

    fn apply_config(&mut self, number: u64, body: Vec<u8>) {
        let config: ForwardConfig = match (self.dialect.decode_config)(&body) {
            Ok(config) => config,
            Err(e) => {
                self.cx.log(
                    &events::CONFIG_UNDECODABLE,
                    &[("number", &number), ("error", &e)],
                );
                return;
            }
        };
        let previous = self.number;
        self.number = number;
        self.config_hold.resize(body.len() as u64 * CONFIG_FACTOR);
        self.config_body = body;
        self.config.send_replace(Some(Arc::new(config)));
        self.cx.log(
            &events::CONFIG_IN_FORCE,
            &[("number", &number), ("before", &previous)],
        );
    }
}
