//! Handles messages from hosts and operators.

use std::time::Duration;

use coltsfootnotch_fabric::{LinkId, PeerId};
use coltsfootnotch_manifest::Manifest;
use coltsfootnotch_state::{AcceptedConfig, EvacuationOrder, Op};
use coltsfootnotch_wire::{
    ConfigBody, FromRelay, Heartbeat, ProposeError, RetryReport, ServiceBatch, ToRelay,
};

use super::ControlDaemon;
use crate::core::decode_op;
use crate::daemon::control::host_feed::HostFeed;
use crate::daemon::control::packet::LeaderRequest;
use crate::daemon::control::permissions::is_permitted;
use crate::daemon::control::request_table::Origin;
use crate::daemon::control::seeded::HandoverPoint;
use crate::daemon::control::status;

impl ControlDaemon {
    pub(super) fn on_host_message(
        &mut self,
        now: Duration,
        link: LinkId,
        peer: &PeerId,
        message: ToRelay,
    ) {
        match message {
            ToRelay::Heartbeat(heartbeat) => self.on_heartbeat(now, link, peer, &heartbeat),
            ToRelay::Service(batch) => self.on_service(link, peer, &batch),
            ToRelay::Propose { id, command } => self.on_propose(now, link, peer, id, command),
            ToRelay::ConfigConfirmed { id } => {
                self.submit(now, Origin::Confirm(link, id), LeaderRequest::Read);
            }
            ToRelay::Status { id } => {
                let json = status::to_json(self);
                self.send_to_host(link, FromRelay::Status { id, json });
            }
            ToRelay::AdmitMember { id, host, replaces } => {
                let body = LeaderRequest::Admit {
                    host,
                    replaces,
                    known: 0,
                };
                self.submit(now, Origin::Members(link, id), body);
            }
            ToRelay::Load {
                number,
                load,
                streams,
                retries,
            } => {
                if let Some(report) = &retries {
                    self.record_retries(now, link, peer, report);
                }
                if let Some(seeded) = &mut self.seeded {
                    seeded.on_load(now, link, number, *load, streams);
                }
            }
            ToRelay::LoadElsewhere => {
                let run = self.links.get(link).map(|link| link.incarnation.0);
                if let Some(seeded) = &mut self.seeded {
                    seeded.remove_entries(now, &[link]);
                    if let Some(run) = run {
                        seeded.retries.on_moved(peer.host.as_str(), run);
                    }
                }
            }
            ToRelay::Retries(report) => self.record_retries(now, link, peer, &report),
            ToRelay::StreamMoved { id, stream, origin } => {
                if let Some(seeded) = &mut self.seeded {
                    seeded.origins.record_move(now, stream, &origin.into());
                    self.send_to_host(link, FromRelay::StreamMoveRecorded { id });
                }
            }
            ToRelay::FindStream {
                id,
                stream,
                service,
            } => self.find_stream(now, link, id, stream, &service),
            ToRelay::Handover {
                domain,
                address,
                accepts,
            } => {
                if let Some(seeded) = &mut self.seeded {
                    let point = HandoverPoint { domain, address };
                    seeded.entries.set_handover(link, point, accepts);
                }
            }
            ToRelay::Lease { id, current } => self.on_lease_query(now, link, id, current),
            ToRelay::RemoveMember { id, host } => {
                let body = LeaderRequest::Remove { host, known: 0 };
                self.submit(now, Origin::Members(link, id), body);
            }
        }
    }

    fn record_retries(&mut self, now: Duration, link: LinkId, peer: &PeerId, report: &RetryReport) {
        let Some(link) = self.links.get(link) else {
            return;
        };
        let run = link.incarnation.0;
        if let Some(seeded) = &mut self.seeded {
            seeded.retries.record(now, peer.host.as_str(), run, report);
        }
    }

    fn on_heartbeat(&mut self, now: Duration, link: LinkId, peer: &PeerId, heartbeat: &Heartbeat) {
        let record = &heartbeat.record;
        let Some(link) = self.links.get_mut(link) else {
            return;
        };
        let matches_sender = record.host == peer.host
            && record.role == peer.role
            && record.incarnation == link.incarnation;
        if !matches_sender {
            self.host
                .metrics
                .counter("heartbeats_refused", &[])
                .increment(1);
            return self.log_forbidden(peer, "heartbeat of another host");
        }
        let feed = link.host.get_or_insert_with(|| HostFeed::new(heartbeat));
        let heartbeat = feed.on_heartbeat(now, heartbeat);
        if !self.relay.heartbeat(now, &heartbeat) {
            // A later incarnation of the host has registered.
            link.close();
        }
    }

    fn on_service(&mut self, link: LinkId, peer: &PeerId, batch: &ServiceBatch) {
        let Some(link) = self.links.get_mut(link) else {
            return;
        };
        // Watched accounts can only be recorded after the first heartbeat. The batch is not acknowledged,
        // so the host sends it again.
        let Some(feed) = &mut link.host else {
            return;
        };
        feed.on_service_batch(batch);
        let seq = self
            .relay
            .record_service(&peer.host, link.incarnation, batch);
        link.send_host(FromRelay::ServiceApplied { seq });
    }

    fn on_propose(
        &mut self,
        now: Duration,
        link: LinkId,
        peer: &PeerId,
        id: u64,
        command: Vec<u8>,
    ) {
        let is_valid = |op: &Op| self.is_valid(op);
        let Some(op) = decode_op(&command).ok().filter(is_valid) else {
            let reply = Err(ProposeError::BadCommand);
            return self.send_to_host(link, FromRelay::Proposed { id, reply });
        };
        if !is_permitted(peer.role, &op) {
            self.log_forbidden(peer, "operation");
            if let Some(link) = self.links.get(link) {
                link.close();
            }
            return;
        }
        let body = match op {
            Op::SetEvacuation(order) => {
                LeaderRequest::Evacuate(EvacuationOrder { order, known: 0 })
            }
            _ => LeaderRequest::Propose(command),
        };
        self.submit(now, Origin::Propose(link, id), body);
    }

    /// Whether an operation is valid, where the state machine can't check it: it parses no manifests,
    /// which every host would refuse, and knows no hosts.
    fn is_valid(&self, op: &Op) -> bool {
        match op {
            Op::ApplyConfig(req) => {
                Manifest::from_body(&req.body).is_ok_and(|manifest| manifest.number == req.number)
            }
            Op::SetEvacuation(req) => self.is_known_domain(&req.domain),
            _ => true,
        }
    }

    pub(in crate::daemon::control) fn send_to_host(&self, link: LinkId, message: FromRelay) {
        if let Some(link) = self.links.get(link) {
            link.send_host(message);
        }
    }

    /// The configuration in force in this member's applied state.
    pub(in crate::daemon::control) fn config_body(&self) -> Option<ConfigBody> {
        self.machine().config().in_force().map(encoded)
    }
}

/// A configuration as it is sent.
pub(in crate::daemon::control) fn encoded(accepted: &AcceptedConfig) -> ConfigBody {
    ConfigBody {
        number: accepted.number,
        digest: accepted.digest.0,
        body: accepted.body.clone(),
    }
}
