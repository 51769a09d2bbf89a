//! The sidecar's actor, which owns the slots, the attempts and the connections.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_chart::{Charts, UpstreamEvent};
use coltsfootnotch_fabric::{
    AttemptStream, Endpoint, Event, FrameHold, LinkId, LinkTx, PeerId, PeerLimits,
};
use coltsfootnotch_router::{
    InFlightRequests, RunOutcome, SidecarConfig as CoreConfig, SidecarCore,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::Announcement;
use coltsfootnotch_wire::{AttemptId, HostRecord, Message, OpenAttempt, ServedPool, Usage};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, call, fwd_to, stop};

use super::SidecarConfig;
use super::announcement_handlers::process_id;
use super::handle::Started;
use super::orders::{EngineOrders, OrderOutcome};
use super::runner::RunnerHandle;
use super::service_reports::ServiceReports;
use super::sockets::{AnnounceServer, fabric_handler, start_announce_server};
use super::upstream_call::Clients;
use super::upstream_table::UpstreamTable;
use crate::core::HostCx;
use crate::daemon::{Lifecycle, RelayClient, RelayEvent, StartError, StartReporter};
use crate::util::events;

/// Time between two ticks, on which heartbeats, expiry and service reports become due.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum difference in service between two accounts with queued requests, in service units at
/// weight 1: four times the bound of a pool of 900 slots (30 replicas with 30 slots each) and
/// requests of 10,000 units.
const FAIR_HORIZON: ServiceUnits = ServiceUnits(72_000_000);

/// Messages to the actor.
pub(super) enum SidecarMsg {
    Fabric(Event),
    AttemptOpened {
        peer: PeerId,
        open: Box<OpenAttempt>,
        stream: AttemptStream,
        /// Memory of the frame, until the message is handled.
        hold: FrameHold,
    },
    Announcement(Box<Announcement>),
    FirstChunk {
        attempt: AttemptId,
    },
    BackoffRequested {
        attempt: AttemptId,
        time: Duration,
    },
    Progress {
        attempt: AttemptId,
        tokens: u64,
        total: ServiceUnits,
    },
    AttemptFinished {
        attempt: AttemptId,
        usage: Usage,
        outcome: RunOutcome,
    },
    ProbeFinished {
        upstream: UpstreamName,
        crashed: bool,
        requests: InFlightRequests,
    },
    /// The task of the attempt has exited, so the attempt can't be resumed.
    RunnerExited {
        attempt: AttemptId,
    },
    OrderFinished {
        upstream: UpstreamName,
        outcome: OrderOutcome,
    },
    Stop,
}

pub(super) struct SidecarActor {
    pub(super) cx: HostCx,
    pub(super) cfg: SidecarConfig,
    pub(super) core: SidecarCore,
    pub(super) upstreams: UpstreamTable,
    pub(super) attempts: HashMap<AttemptId, RunnerHandle>,
    /// Shared by the replies about attempts that don't run, until their entry has received them.
    pub(super) replies_in_progress: Arc<()>,
    pub(super) entries: BTreeMap<HostName, (LinkId, LinkTx)>,
    pub(super) relay: RelayClient,
    pub(super) reports: ServiceReports,
    pub(super) probing: BTreeSet<UpstreamName>,
    pub(super) orders: EngineOrders,
    pub(super) clients: Clients,
    pub(super) tx: Channel<SidecarMsg>,
    endpoint: Endpoint,
    fleet_address: SocketAddr,
    lifecycle: Lifecycle,
    _guard: ChannelGuard,
    _announce_server: AnnounceServer,
}

impl SidecarActor {
    pub(super) fn init(
        stakker: CX![],
        cx: HostCx,
        cfg: SidecarConfig,
        start_reporter: StartReporter<Started>,
    ) -> Option<Self> {
        let fwd = fwd_to!([stakker], on_msg() as (SidecarMsg));
        let (tx, guard) = Channel::new(stakker, fwd);
        match Self::build(cx, cfg, tx, guard) {
            Ok((actor, started)) => {
                call!([stakker], tick());
                start_reporter.report(Ok(started));
                Some(actor)
            }
            Err(e) => {
                start_reporter.report(Err(e));
                stop!(stakker);
                None
            }
        }
    }

    fn build(
        cx: HostCx,
        cfg: SidecarConfig,
        tx: Channel<SidecarMsg>,
        guard: ChannelGuard,
    ) -> Result<(Self, Started), StartError> {
        let local_incarnation = cx.identity.incarnation;
        let handler = fabric_handler(&cx, &tx);
        let endpoint = Endpoint::bind_for_attempts(
            &cx.runtime,
            cfg.fleet_address,
            &cfg.credentials,
            local_incarnation,
            PeerLimits::default(),
            handler,
        )?;
        let fleet_address = endpoint.address()?;
        let (announce_address, announce_server) = start_announce_server(&cx, &cfg, &tx)?;
        let charts = Charts::load()?;
        let lifecycle = Lifecycle::new(cx.clone(), &charts.daemon, cfg.shutdown);
        let started = Started {
            tx: tx.clone(),
            announce_address,
            fleet_address,
            ready: lifecycle.ready_flag(),
            traffic: endpoint.traffic(),
        };
        let actor = Self {
            core: SidecarCore::new(CoreConfig {
                host: cx.identity.host.clone(),
                incarnation: local_incarnation,
                policy: cfg.policy,
                horizon: FAIR_HORIZON,
            }),
            upstreams: UpstreamTable::new(charts.upstream),
            attempts: HashMap::new(),
            replies_in_progress: Arc::default(),
            entries: BTreeMap::new(),
            relay: RelayClient::new(cx.clone(), cfg.control.clone()),
            reports: ServiceReports::default(),
            probing: BTreeSet::new(),
            orders: EngineOrders::new(process_id(&cx), cfg.drift),
            clients: Clients::new(),
            cx,
            cfg,
            tx,
            endpoint,
            fleet_address,
            lifecycle,
            _guard: guard,
            _announce_server: announce_server,
        };
        actor.cx.log(
            &events::DAEMON_STARTED,
            &[("announce", &announce_address), ("fleet", &fleet_address)],
        );
        Ok((actor, started))
    }

    fn on_msg(&mut self, stakker: CX![], msg: SidecarMsg) {
        match msg {
            SidecarMsg::Fabric(event) => self.on_fabric(event),
            SidecarMsg::AttemptOpened {
                peer,
                open,
                stream,
                hold,
            } => {
                self.on_attempt_opened(&peer, *open, stream);
                drop(hold);
            }
            SidecarMsg::Announcement(announcement) => self.on_announcement(&announcement),
            SidecarMsg::FirstChunk { attempt } => self.on_first_chunk(attempt),
            SidecarMsg::BackoffRequested { attempt, time } => {
                self.on_backoff_requested(attempt, time);
            }
            SidecarMsg::Progress {
                attempt,
                tokens,
                total,
            } => {
                self.core.progress(self.cx.now(), attempt, tokens, total);
            }
            SidecarMsg::ProbeFinished {
                upstream,
                crashed,
                requests,
            } => {
                self.on_probe_finished(&upstream, crashed, requests);
            }
            SidecarMsg::AttemptFinished {
                attempt,
                usage,
                outcome,
            } => self.on_attempt_finished(attempt, usage, outcome),
            SidecarMsg::RunnerExited { attempt } => drop(self.attempts.remove(&attempt)),
            SidecarMsg::OrderFinished { upstream, outcome } => {
                self.on_order_finished(&upstream, outcome);
            }
            SidecarMsg::Stop => self.on_stop(),
        }
        self.run_actions();
        self.stop_if_drained(stakker);
    }

    fn tick(&mut self, stakker: CX![]) {
        let now = self.cx.now();
        self.core.tick(now);
        self.remove_silent_upstreams();
        let record = self.host_record(now);
        self.relay
            .tick(&self.endpoint, |config| HostRecord { config, ..record });
        self.report_service(now);
        self.send_orders(now);
        self.run_actions();
        self.stop_if_drained(stakker);
        after!(TICK_INTERVAL, [stakker], tick());
    }

    pub(super) fn host_record(&self, now: Duration) -> HostRecord {
        let pools = self.core.upstreams().pools(now);
        HostRecord {
            host: self.cx.identity.host.clone(),
            incarnation: self.cx.identity.incarnation,
            role: Role::Sidecar,
            domain: self.cx.identity.domain.clone(),
            address: self.fleet_address,
            config: self.relay.config_number(),
            pools: pools
                .into_iter()
                .map(|(pool, upstreams)| ServedPool { pool, upstreams })
                .collect(),
            leaving: self.lifecycle.is_stopping(),
        }
    }

    fn remove_silent_upstreams(&mut self) {
        let listed = self.core.upstreams();
        for upstream in self.upstreams.retain(|name| listed.get(name).is_some()) {
            self.cx
                .log(&events::UPSTREAM_SILENT, &[("upstream", &upstream)]);
        }
        let upstreams = &self.upstreams;
        self.orders.retain(|name| upstreams.get(name).is_some());
    }

    /// Stops sending requests to an upstream that is unreachable or has crashed, until its next
    /// announcement. This keeps its slots from being refilled with failing requests at round-trip
    /// rate.
    pub(super) fn mark_unreachable(&mut self, upstream: &UpstreamName, event: UpstreamEvent) {
        self.upstreams.fire(upstream, event);
        let now = self.cx.now();
        if let Some(slots) = self.core.upstreams_mut().get_mut(upstream) {
            slots.live_until = now;
        }
    }

    fn on_fabric(&mut self, event: Event) {
        let now = self.cx.now();
        match event {
            Event::Up { link, peer, tx, .. } if peer.role == Role::Control => {
                self.reports.on_relay_connected();
                self.relay.on_link_up(link, tx);
            }
            Event::Up { link, peer, tx, .. } if peer.role == Role::Entry => {
                self.entries.insert(peer.host.clone(), (link, tx));
                self.core.on_entry_connected(now, peer.host);
            }
            Event::Message {
                link,
                message: Message::FromRelay(message),
                ..
            } => {
                if let Some(event) = self.relay.on_message(link, message) {
                    self.on_relay_event(event);
                }
            }
            Event::Message {
                link,
                peer,
                message: Message::ToSidecar(message),
                ..
            } => {
                if self
                    .entries
                    .get(&peer.host)
                    .is_some_and(|(current, _)| *current == link)
                {
                    self.core.on_message(now, &peer.host, message);
                }
            }
            Event::Up { .. } | Event::Message { .. } | Event::Stream { .. } => {}
            Event::Forbidden { peer } => {
                self.cx.log(&events::MESSAGE_FORBIDDEN, &[("peer", &peer)]);
            }
            Event::Down { link, peer } => {
                self.cx.log(&events::LINK_DOWN, &[("peer", &peer)]);
                self.relay.on_link_down(link, now);
                if self
                    .entries
                    .get(&peer.host)
                    .is_some_and(|(current, _)| *current == link)
                {
                    self.entries.remove(&peer.host);
                    self.core.on_entry_disconnected(now, &peer.host);
                }
            }
        }
    }

    fn on_relay_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Config(update) => {
                self.lifecycle.on_config_in_force();
                for account in &update.0.manifest().accounts {
                    self.core
                        .fair_ledger_mut()
                        .set_weight(&account.name, account.weight);
                }
            }
            RelayEvent::Totals(totals) => {
                let totals = totals.iter().map(|(account, total)| (account, *total));
                self.core.fair_ledger_mut().merge_remote(totals);
            }
            RelayEvent::ServiceApplied(seq) => self.reports.on_acknowledged(seq),
            RelayEvent::Proposed { id, reply } => self.orders.on_reply(self.cx.now(), id, &reply),
            RelayEvent::Evacuation { evacuated } => {
                self.core.set_evacuated(self.cx.now(), evacuated);
            }
            RelayEvent::Hosts { .. } => {}
        }
    }

    fn on_stop(&mut self) {
        if !self.lifecycle.request_shutdown(self.core.running()) {
            return;
        }
        self.core.start_drain();
        let now = self.cx.now();
        self.orders.stop(now);
        self.send_orders(now);
        let record = self.host_record(now);
        self.relay
            .send_heartbeat(now, |config| HostRecord { config, ..record });
    }

    /// Stops the actor once leases are released and every attempt has finished, with its response, or the reply
    /// that it was not started, acknowledged by the entry.
    fn stop_if_drained(&mut self, stakker: CX![]) {
        if self.orders.is_releasing(self.cx.now()) {
            return;
        }
        let replies = Arc::strong_count(&self.replies_in_progress) - 1;
        if self.lifecycle.try_finish(self.attempts.len() + replies) {
            self.endpoint.close();
            stop!(stakker);
        }
    }
}
