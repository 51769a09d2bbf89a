//! The entry's actor, which owns the queues, the active requests and the connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use coltsfootnotch_chart::Charts;
use coltsfootnotch_decide::admit::{Admission, RateLimits};
use coltsfootnotch_decide::retry::RetryBudget;
use coltsfootnotch_fabric::{Endpoint, Event, PeerLimits};
use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_router::{EntryAction, EntryCore, QueuedRequest};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, FromSidecar, HostRecord, Message};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, call, fwd_to, stop};
use tokio::sync::watch;

use super::admission::new_admission;
use super::attempt_result::{AttemptResult, CollectedResponse};
use super::crash_suspects::CrashSuspects;
use super::handle::{ConnectionSummary, StartedEntry};
use super::listen::{ListenerState, listen};
use super::proposals::Proposals;
use super::requests::{ChosenSlot, Requests};
use super::sidecar_links::SidecarLinks;
use super::{ClientRequest, EntryConfig};
use crate::core::{HostCx, Refusal, RefusalKind};
use crate::daemon::{Lifecycle, RelayClient, RelayEvent, StartError, StartReporter};
use crate::util::connections::Connections;
use crate::util::events::{self, Field};

/// Interval at which deadlines, heartbeats and pending proposals are checked.
const TICK: Duration = Duration::from_millis(20);

/// A message to the actor.
pub(super) enum EntryMsg {
    Fabric(Event),
    Request(Box<ClientRequest>),
    RereadFinished {
        request: u64,
        response: Option<CollectedResponse>,
    },
    CallerDisconnected {
        request: u64,
    },
    AttemptEnded {
        attempt: AttemptId,
        result: AttemptResult,
    },
    ConnectionSummary(mpsc::Sender<ConnectionSummary>),
    Stop,
}

pub(super) struct EntryActor {
    pub(super) cx: HostCx,
    pub(super) cfg: EntryConfig,
    pub(super) core: EntryCore,
    pub(super) requests: Requests,
    pub(super) sidecars: SidecarLinks,
    pub(super) proposals: Proposals,
    pub(super) admission: Admission,
    pub(super) rate_limits: RateLimits,
    pub(super) suspects: CrashSuspects,
    pub(super) retry_budget: RetryBudget,
    next_request_number: Arc<AtomicU64>,
    pub(super) relay: RelayClient,
    pub(super) tx: Channel<EntryMsg>,
    endpoint: Endpoint,
    config: watch::Sender<Option<Arc<ConfigIndex>>>,
    fleet_address: SocketAddr,
    client_connections: Arc<Connections>,
    pub(super) lifecycle: Lifecycle,
    _guard: ChannelGuard,
}

impl EntryActor {
    pub(super) fn init(
        stakker: CX![],
        cx: HostCx,
        cfg: EntryConfig,
        start_reporter: StartReporter<StartedEntry>,
    ) -> Option<Self> {
        let fwd = fwd_to!([stakker], on_msg() as (EntryMsg));
        let (tx, guard) = Channel::new(stakker, fwd);
        match Self::build(cx, cfg, tx, guard) {
            Ok((actor, ready)) => {
                call!([stakker], tick());
                start_reporter.report(Ok(ready));
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
        cfg: EntryConfig,
        tx: Channel<EntryMsg>,
        guard: ChannelGuard,
    ) -> Result<(Self, StartedEntry), StartError> {
        let incarnation = cx.identity.incarnation;
        let events_tx = tx.clone();
        let handler = move |event| {
            events_tx.send(EntryMsg::Fabric(event));
        };
        let endpoint = Endpoint::bind(
            &cx.runtime,
            cfg.fleet_address,
            &cfg.credentials,
            incarnation,
            PeerLimits::default(),
            handler,
        )?;
        let fleet_address = endpoint.address()?;
        let config = watch::Sender::new(None);
        let charts = Charts::load()?;
        let lifecycle = Lifecycle::new(cx.clone(), &charts.daemon, cfg.shutdown);
        let next_request_number = Arc::new(AtomicU64::new(0));
        let client_connections = Arc::<Connections>::default();
        let state = ListenerState {
            config: config.subscribe(),
            ready: lifecycle.ready_flag(),
            next_request_number: Arc::clone(&next_request_number),
            connections: Arc::clone(&client_connections),
        };
        let http_address = listen(&cx, &cfg, &tx, state)?;
        let ready = StartedEntry {
            tx: tx.clone(),
            http_address,
            fleet_address,
            ready: lifecycle.ready_flag(),
            traffic: endpoint.traffic(),
        };
        let actor = Self {
            core: EntryCore::new(incarnation, cx.identity.domain.clone()),
            requests: Requests::new(charts.request),
            sidecars: SidecarLinks::default(),
            proposals: Proposals::default(),
            admission: new_admission(cfg.limits.queue_requests),
            rate_limits: RateLimits::new(),
            suspects: CrashSuspects::new(&cx.identity.host, incarnation),
            retry_budget: RetryBudget::new(),
            next_request_number,
            relay: RelayClient::new(cx.clone(), cfg.control.clone()),
            cx,
            cfg,
            tx,
            endpoint,
            config,
            fleet_address,
            client_connections,
            lifecycle,
            _guard: guard,
        };
        actor.cx.log(
            &events::DAEMON_STARTED,
            &[("callers", &http_address), ("fleet", &fleet_address)],
        );
        Ok((actor, ready))
    }

    fn on_msg(&mut self, stakker: CX![], msg: EntryMsg) {
        match msg {
            EntryMsg::Fabric(event) => self.on_fabric_event(event),
            EntryMsg::Request(req) => self.on_request(*req),
            EntryMsg::CallerDisconnected { request } => self.on_caller_disconnected(request),
            EntryMsg::AttemptEnded { attempt, result } => self.on_attempt_ended(attempt, result),
            EntryMsg::RereadFinished { request, response } => {
                self.on_reread_finished(request, response);
            }
            EntryMsg::ConnectionSummary(reply) => {
                let (sidecars, pools) = self.core.connection_summary();
                // The requester may have timed out.
                let _result = reply.send(ConnectionSummary { sidecars, pools });
            }
            EntryMsg::Stop => self.on_stop(),
        }
        self.run_actions();
        self.stop_if_drained(stakker);
    }

    fn tick(&mut self, stakker: CX![]) {
        let now = self.cx.now();
        self.core.tick(now);
        let record = HostRecord {
            host: self.cx.identity.host.clone(),
            incarnation: self.cx.identity.incarnation,
            role: Role::Entry,
            domain: self.cx.identity.domain.clone(),
            address: self.fleet_address,
            config: 0,
            pools: vec![],
            leaving: self.lifecycle.is_stopping(),
        };
        self.relay
            .tick(&self.endpoint, |config| HostRecord { config, ..record });
        self.suspects.tick(now);
        self.expire_unresolved(now);
        for result in self.proposals.tick(&mut self.relay, now) {
            self.on_ledger_reply(result);
        }
        self.run_actions();
        self.stop_if_drained(stakker);
        after!(TICK, [stakker], tick());
    }

    /// Executes the actions of the core.
    pub(super) fn run_actions(&mut self) {
        let now = self.cx.now();
        for action in self.core.take_actions(now) {
            match action {
                EntryAction::Send { to, message } => self.sidecars.send(&to, message),
                EntryAction::OpenAttempt {
                    attempt,
                    to,
                    sidecar,
                    cause,
                    waiting,
                } => {
                    self.admission
                        .on_started(&waiting.pool, &waiting.account, now);
                    self.on_slot_chosen(ChosenSlot {
                        attempt,
                        host: to,
                        sidecar,
                        cause,
                        queued: waiting,
                    });
                }
                EntryAction::Expired { waiting } => self.on_expired(&waiting),
            }
        }
    }

    fn on_expired(&mut self, queued: &QueuedRequest) {
        self.admission.on_removed(&queued.pool, &queued.account);
        let Some(active) = self.requests.get(queued.request) else {
            return;
        };
        // An earlier attempt may have run.
        let refusal = Refusal {
            run: active.run_status(),
            ..Refusal::unknown(RefusalKind::Deadline)
        };
        let after = self.retry_after(&queued.pool, &queued.account);
        self.finish_failed(queued.request, refusal.retry_after(after));
    }

    fn on_sidecar_message(&mut self, now: Duration, host: &HostName, message: FromSidecar) {
        match message {
            FromSidecar::Crashed(crash) => {
                let count = crash.suspects.len();
                let fields: [Field<'_>; 2] = [("upstream", &crash.upstream), ("suspects", &count)];
                self.cx.log(&events::CRASH_SUSPECTED, &fields);
                self.suspects.on_crash(now, crash);
            }
            FromSidecar::Cleared { key, crashes } => self.suspects.on_cleared(now, &key, &crashes),
            FromSidecar::AttemptClosed {
                attempt,
                never_dispatched,
            } => self.on_attempt_closed(host, attempt, never_dispatched),
            message => self.core.on_message(now, host, message),
        }
    }

    fn on_fabric_event(&mut self, event: Event) {
        let now = self.cx.now();
        match event {
            Event::Up {
                link,
                peer,
                incarnation,
                tx,
            } if peer.role == Role::Control => {
                self.cx
                    .log(&events::LINK_UP, &[("peer", &peer), ("run", &incarnation)]);
                self.relay.on_link_up(link, tx);
            }
            Event::Up {
                link,
                peer,
                incarnation,
                tx,
            } => {
                if let Some(domain) = self.sidecars.on_link_up(link, &peer.host, incarnation, tx) {
                    self.core
                        .on_sidecar_connected(peer.host, incarnation, domain);
                }
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
                message: Message::FromSidecar(message),
                ..
            } => {
                if let Some(host) = self.sidecars.host_of(link).cloned() {
                    self.on_sidecar_message(now, &host, message);
                }
            }
            Event::Message { .. } | Event::Stream { .. } => {}
            Event::Forbidden { peer } => {
                self.cx.log(&events::MESSAGE_FORBIDDEN, &[("peer", &peer)]);
            }
            Event::Down { link, peer } => {
                self.cx.log(&events::LINK_DOWN, &[("peer", &peer)]);
                self.relay.on_link_down(link, now);
                if let Some(host) = self.sidecars.on_link_down(link) {
                    self.core.on_sidecar_disconnected(&host);
                }
            }
        }
    }

    fn on_relay_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Hosts { changed, removed } => {
                for record in &changed {
                    self.sidecars.apply_record(&self.endpoint, record);
                }
                removed.iter().for_each(|host| self.sidecars.remove(host));
            }
            RelayEvent::Config(update) => {
                self.core.set_running_limits(running_limits(&update.0));
                self.config.send_replace(Some(update.0));
                self.lifecycle.on_config_in_force();
            }
            RelayEvent::Proposed { id, reply } => {
                if let Some(result) = self.proposals.on_reply(self.cx.now(), id, reply) {
                    self.on_ledger_reply(result);
                }
            }
            RelayEvent::ServiceApplied(_)
            | RelayEvent::Totals(_)
            | RelayEvent::Evacuation { .. } => {}
        }
    }

    fn on_stop(&mut self) {
        self.lifecycle.request_shutdown(self.requests.len());
    }

    fn stop_if_drained(&mut self, stakker: CX![]) {
        if self.lifecycle.is_stopping() && self.requests.len() == 0 {
            self.client_connections.close();
        }
        if self.lifecycle.should_abort() {
            self.client_connections.abort();
        }
        // A connection counts until its caller has received the whole response, and the listener until its
        // queue is accepted.
        let in_progress = self.requests.len().max(self.client_connections.pending());
        if self.lifecycle.try_finish(in_progress) {
            self.endpoint.close();
            stop!(stakker);
        }
    }

    /// Allocates the number of a request that the entry makes itself.
    pub(super) fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }
}

/// Maximum number of concurrent requests of each account that the manifest limits.
fn running_limits(config: &ConfigIndex) -> HashMap<AccountName, u32> {
    let accounts = config.manifest().accounts.iter();
    let limited = accounts.filter_map(|account| {
        let max_running = u32::try_from(account.limits.in_flight?).unwrap_or(u32::MAX);
        Some((account.name.clone(), max_running))
    });
    limited.collect()
}
