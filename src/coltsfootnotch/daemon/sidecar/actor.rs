//! The sidecar's actor: owns the slots, the attempts and the connections.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_chart::{Charts, UpstreamEvent};
use coltsfootnotch_fabric::{AttemptStream, Endpoint, Event, LinkId, LinkTx, PeerId};
use coltsfootnotch_router::{RunOutcome, SidecarConfig as CoreConfig, SidecarCore};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::Announcement;
use coltsfootnotch_wire::{AttemptId, Begin, ContentKey, HostRecord, Message, ServedPool, Usage};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, call, fwd_to, stop};

use super::SidecarConfig;
use super::announced::process_id;
use super::handle::Started;
use super::orders::{OrderEnd, Orders};
use super::runner::RunnerControl;
use super::service_reports::ServiceReports;
use super::sockets::{ListenTask, fabric_handler, listen};
use super::upstream_call::Clients;
use super::upstreams::Upstreams;
use crate::core::HostCx;
use crate::daemon::{Lifecycle, RelayClient, RelayEvent, StartError, StartReporter};
use crate::util::events;

/// Time between the actor's own rounds: heartbeats, expiry and news of service fall due on them.
const TICK: Duration = Duration::from_millis(20);
/// Furthest that two waiting accounts may stand apart, in units at weight 1: four times the bound of
/// a pool of 900 slots (30 replicas, 30 slots each) with requests of 10,000 units.
const HORIZON: ServiceUnits = ServiceUnits(72_000_000);

/// What reaches the actor.
pub(super) enum SidecarMsg {
    Fabric(Event),
    Opened {
        peer: PeerId,
        begin: Box<Begin>,
        stream: AttemptStream,
    },
    Announced(Box<Announcement>),
    FirstPiece {
        attempt: AttemptId,
    },
    Progress {
        attempt: AttemptId,
        tokens: u64,
        total: ServiceUnits,
    },
    Ended {
        attempt: AttemptId,
        usage: Usage,
        outcome: RunOutcome,
    },
    Probed {
        upstream: UpstreamName,
        crashed: bool,
        suspects: Vec<ContentKey>,
    },
    Forgotten {
        attempt: AttemptId,
    },
    OrderEnded {
        upstream: UpstreamName,
        end: OrderEnd,
    },
    Stop,
}

pub(super) struct SidecarActor {
    pub(super) cx: HostCx,
    pub(super) cfg: SidecarConfig,
    pub(super) core: SidecarCore,
    pub(super) upstreams: Upstreams,
    pub(super) attempts: HashMap<AttemptId, RunnerControl>,
    pub(super) entries: BTreeMap<HostName, (LinkId, LinkTx)>,
    pub(super) relay: RelayClient,
    pub(super) reports: ServiceReports,
    pub(super) probing: BTreeSet<UpstreamName>,
    pub(super) orders: Orders,
    pub(super) clients: Clients,
    pub(super) tx: Channel<SidecarMsg>,
    endpoint: Endpoint,
    fleet: SocketAddr,
    life: Lifecycle,
    _guard: ChannelGuard,
    _listening: ListenTask,
}

impl SidecarActor {
    pub(super) fn init(
        stakker: CX![],
        cx: HostCx,
        cfg: SidecarConfig,
        starter: StartReporter<Started>,
    ) -> Option<Self> {
        let fwd = fwd_to!([stakker], on_msg() as (SidecarMsg));
        let (tx, guard) = Channel::new(stakker, fwd);
        match Self::build(cx, cfg, tx, guard) {
            Ok((actor, started)) => {
                call!([stakker], tick());
                starter.report(Ok(started));
                Some(actor)
            }
            Err(e) => {
                starter.report(Err(e));
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
        let me = cx.identity.incarnation;
        let handler = fabric_handler(&cx, &tx);
        let endpoint = Endpoint::bind(&cx.runtime, cfg.fleet, &cfg.credentials, me, handler)?;
        let fleet = endpoint.address()?;
        let (announce, listening) = listen(&cx, &cfg, &tx)?;
        let charts = Charts::load()?;
        let life = Lifecycle::new(cx.clone(), &charts.daemon, cfg.shutdown);
        let started = Started {
            tx: tx.clone(),
            announce,
            fleet,
            ready: life.ready_flag(),
            traffic: endpoint.traffic(),
        };
        let actor = Self {
            core: SidecarCore::new(CoreConfig {
                host: cx.identity.host.clone(),
                incarnation: me,
                policy: cfg.policy,
                horizon: HORIZON,
            }),
            upstreams: Upstreams::new(charts.upstream),
            attempts: HashMap::new(),
            entries: BTreeMap::new(),
            relay: RelayClient::new(cx.clone(), cfg.control.clone()),
            reports: ServiceReports::default(),
            probing: BTreeSet::new(),
            orders: Orders::new(process_id(&cx), cfg.drift),
            clients: Clients::new(),
            cx,
            cfg,
            tx,
            endpoint,
            fleet,
            life,
            _guard: guard,
            _listening: listening,
        };
        actor.cx.log(
            &events::DAEMON_STARTED,
            &[("announce", &announce), ("fleet", &fleet)],
        );
        Ok((actor, started))
    }

    fn on_msg(&mut self, stakker: CX![], msg: SidecarMsg) {
        match msg {
            SidecarMsg::Fabric(event) => self.on_fabric(event),
            SidecarMsg::Opened {
                peer,
                begin,
                stream,
            } => self.on_opened(&peer, *begin, stream),
            SidecarMsg::Announced(announcement) => self.on_announced(&announcement),
            SidecarMsg::FirstPiece { attempt } => self.on_first_piece(attempt),
            SidecarMsg::Progress {
                attempt,
                tokens,
                total,
            } => {
                self.core.progress(self.cx.now(), attempt, tokens, total);
            }
            SidecarMsg::Probed {
                upstream,
                crashed,
                suspects,
            } => {
                self.on_probed(&upstream, crashed, suspects);
            }
            SidecarMsg::Ended {
                attempt,
                usage,
                outcome,
            } => self.on_ended(attempt, usage, outcome),
            SidecarMsg::Forgotten { attempt } => drop(self.attempts.remove(&attempt)),
            SidecarMsg::OrderEnded { upstream, end } => self.on_order_ended(&upstream, end),
            SidecarMsg::Stop => self.on_stop(),
        }
        self.run_actions();
        self.end_if_drained(stakker);
    }

    fn tick(&mut self, stakker: CX![]) {
        let now = self.cx.now();
        self.core.tick(now);
        self.forget_silent();
        let record = self.record(now);
        self.relay
            .tick(&self.endpoint, |config| HostRecord { config, ..record });
        self.report_service(now);
        self.give_orders(now);
        self.run_actions();
        self.end_if_drained(stakker);
        after!(TICK, [stakker], tick());
    }

    pub(super) fn record(&self, now: Duration) -> HostRecord {
        let pools = self.core.upstreams().pools(now);
        HostRecord {
            host: self.cx.identity.host.clone(),
            incarnation: self.cx.identity.incarnation,
            role: Role::Sidecar,
            domain: self.cx.identity.domain.clone(),
            address: self.fleet,
            config: self.relay.config_number(),
            pools: pools
                .into_iter()
                .map(|(pool, upstreams)| ServedPool { pool, upstreams })
                .collect(),
            leaving: self.life.is_stopping(),
        }
    }

    fn forget_silent(&mut self) {
        let listed = self.core.upstreams();
        for upstream in self.upstreams.retain(|name| listed.get(name).is_some()) {
            self.cx
                .log(&events::UPSTREAM_SILENT, &[("upstream", &upstream)]);
        }
        let known = &self.upstreams;
        self.orders.retain(|name| known.get(name).is_some());
    }

    /// An upstream can't be connected to, or has crashed: it gets no work until it announces itself
    /// again. Without this its slots would be filled, refused and filled again at round-trip rate.
    pub(super) fn unreachable(&mut self, upstream: &UpstreamName, event: UpstreamEvent) {
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
                self.reports.relay_changed();
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
                self.life.on_config_in_force();
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
            RelayEvent::ServiceApplied(seq) => self.reports.acknowledged(seq),
            RelayEvent::Proposed { id, reply } => self.orders.answered(self.cx.now(), id, &reply),
            RelayEvent::Hosts { .. } => {}
        }
    }

    fn on_stop(&mut self) {
        if !self.life.request_shutdown(self.core.running()) {
            return;
        }
        self.core.start_drain();
        let now = self.cx.now();
        self.orders.stop(now);
        self.give_orders(now);
        let record = self.record(now);
        self.relay
            .send_heartbeat(now, |config| HostRecord { config, ..record });
    }

    /// Ends when the last attempt has, and its entry has all of its answer.
    fn end_if_drained(&mut self, stakker: CX![]) {
        if self.orders.is_releasing(self.cx.now()) {
            return;
        }
        if self.life.try_finish(self.attempts.len()) {
            self.endpoint.close();
            stop!(stakker);
        }
    }
}
