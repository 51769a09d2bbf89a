//! The entry's actor: owns the queues, the requests in progress and the connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use coltsfootnotch_chart::Charts;
use coltsfootnotch_decide::admit::{Admission, RateLimits};
use coltsfootnotch_decide::retry::RetryBudget;
use coltsfootnotch_fabric::{Endpoint, Event};
use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_router::{EntryAction, EntryCore, QueuedRequest};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, FromSidecar, HostRecord, Message};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, call, fwd_to, stop};
use tokio::sync::watch;

use super::admission::queue_of;
use super::attempt_end::{AttemptEnd, Collected};
use super::handle::{Seen, Started};
use super::listen::{Shared, listen};
use super::proposals::Proposals;
use super::requests::{Chosen, Requests};
use super::sidecars::Sidecars;
use super::suspects::Suspects;
use super::{Arrival, EntryConfig};
use crate::core::{HostCx, Refusal, RefusalKind};
use crate::daemon::{Lifecycle, RelayClient, RelayEvent, StartError, StartReporter};
use crate::util::connections::Connections;
use crate::util::events::{self, Field};

/// Time between the actor's own rounds: deadlines, heartbeats and proposals fall due on them.
const TICK: Duration = Duration::from_millis(20);

/// What reaches the actor.
pub(super) enum EntryMsg {
    Fabric(Event),
    Arrive(Box<Arrival>),
    Reread {
        request: u64,
        answer: Option<Collected>,
    },
    CallerGone {
        request: u64,
    },
    AttemptEnded {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    Look(mpsc::Sender<Seen>),
    Stop,
}

pub(super) struct EntryActor {
    pub(super) cx: HostCx,
    pub(super) cfg: EntryConfig,
    pub(super) core: EntryCore,
    pub(super) requests: Requests,
    pub(super) sidecars: Sidecars,
    pub(super) proposals: Proposals,
    pub(super) admission: Admission,
    pub(super) rates: RateLimits,
    pub(super) suspects: Suspects,
    pub(super) retries: RetryBudget,
    next_request: Arc<AtomicU64>,
    pub(super) relay: RelayClient,
    pub(super) tx: Channel<EntryMsg>,
    endpoint: Endpoint,
    config: watch::Sender<Option<Arc<ConfigIndex>>>,
    fleet: SocketAddr,
    connections: Arc<Connections>,
    pub(super) life: Lifecycle,
    _guard: ChannelGuard,
}

impl EntryActor {
    pub(super) fn init(
        stakker: CX![],
        cx: HostCx,
        cfg: EntryConfig,
        starter: StartReporter<Started>,
    ) -> Option<Self> {
        let fwd = fwd_to!([stakker], on_msg() as (EntryMsg));
        let (tx, guard) = Channel::new(stakker, fwd);
        match Self::build(cx, cfg, tx, guard) {
            Ok((actor, ready)) => {
                call!([stakker], tick());
                starter.report(Ok(ready));
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
        cfg: EntryConfig,
        tx: Channel<EntryMsg>,
        guard: ChannelGuard,
    ) -> Result<(Self, Started), StartError> {
        let me = cx.identity.incarnation;
        let events_tx = tx.clone();
        let handler = move |event| {
            events_tx.send(EntryMsg::Fabric(event));
        };
        let endpoint = Endpoint::bind(&cx.runtime, cfg.fleet, &cfg.credentials, me, handler)?;
        let fleet = endpoint.address()?;
        let config = watch::Sender::new(None);
        let charts = Charts::load()?;
        let life = Lifecycle::new(cx.clone(), &charts.daemon, cfg.shutdown);
        let next_request = Arc::new(AtomicU64::new(0));
        let connections = Arc::<Connections>::default();
        let shared = Shared {
            config: config.subscribe(),
            ready: life.ready_flag(),
            next_request: Arc::clone(&next_request),
            connections: Arc::clone(&connections),
        };
        let callers = listen(&cx, &cfg, &tx, shared)?;
        let ready = Started {
            tx: tx.clone(),
            callers,
            fleet,
            ready: life.ready_flag(),
            traffic: endpoint.traffic(),
        };
        let actor = Self {
            core: EntryCore::new(me, cx.identity.domain.clone()),
            requests: Requests::new(charts.request),
            sidecars: Sidecars::default(),
            proposals: Proposals::default(),
            admission: queue_of(cfg.limits.queue_requests),
            rates: RateLimits::new(),
            suspects: Suspects::new(&cx.identity.host, me),
            retries: RetryBudget::new(),
            next_request,
            relay: RelayClient::new(cx.clone(), cfg.control.clone()),
            cx,
            cfg,
            tx,
            endpoint,
            config,
            fleet,
            connections,
            life,
            _guard: guard,
        };
        actor.cx.log(
            &events::DAEMON_STARTED,
            &[("callers", &callers), ("fleet", &fleet)],
        );
        Ok((actor, ready))
    }

    fn on_msg(&mut self, stakker: CX![], msg: EntryMsg) {
        match msg {
            EntryMsg::Fabric(event) => self.on_fabric(event),
            EntryMsg::Arrive(arrival) => self.on_arrive(*arrival),
            EntryMsg::CallerGone { request } => self.on_caller_gone(request),
            EntryMsg::AttemptEnded { attempt, end } => self.on_attempt_end(attempt, end),
            EntryMsg::Reread { request, answer } => self.on_reread(request, answer),
            EntryMsg::Look(answer) => {
                let (sidecars, pools) = self.core.connection_summary();
                // Whoever asked may have given up.
                let _asker = answer.send(Seen { sidecars, pools });
            }
            EntryMsg::Stop => self.on_stop(),
        }
        self.run_actions();
        self.end_if_drained(stakker);
    }

    fn tick(&mut self, stakker: CX![]) {
        let now = self.cx.now();
        self.core.tick(now);
        let record = HostRecord {
            host: self.cx.identity.host.clone(),
            incarnation: self.cx.identity.incarnation,
            role: Role::Entry,
            domain: self.cx.identity.domain.clone(),
            address: self.fleet,
            config: 0,
            pools: vec![],
            leaving: self.life.is_stopping(),
        };
        self.relay
            .tick(&self.endpoint, |config| HostRecord { config, ..record });
        self.suspects.tick(now);
        self.tick_doubts(now);
        for answered in self.proposals.tick(&mut self.relay, now) {
            self.on_ledger(answered);
        }
        self.run_actions();
        self.end_if_drained(stakker);
        after!(TICK, [stakker], tick());
    }

    /// Carries out what the core has decided.
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
                    self.on_chosen(Chosen {
                        attempt,
                        host: to,
                        sidecar,
                        cause,
                        waiting,
                    });
                }
                EntryAction::Expired { waiting } => self.on_expired(&waiting),
            }
        }
    }

    fn on_expired(&mut self, waiting: &QueuedRequest) {
        self.admission.on_removed(&waiting.pool, &waiting.account);
        let Some(in_progress) = self.requests.get(waiting.request) else {
            return;
        };
        // An attempt that failed before may have run.
        let refusal = Refusal {
            run: in_progress.run(),
            ..Refusal::unknown(RefusalKind::Deadline)
        };
        let after = self.come_back_after(&waiting.pool, &waiting.account);
        self.finish_failed(waiting.request, refusal.retry_after(after));
    }

    fn on_sidecar_message(&mut self, now: Duration, host: &HostName, message: FromSidecar) {
        match message {
            FromSidecar::Crashed(news) => {
                let count = news.suspects.len();
                let fields: [Field<'_>; 2] = [("upstream", &news.upstream), ("suspects", &count)];
                self.cx.log(&events::REQUEST_SUSPECTED, &fields);
                self.suspects.on_crash(now, news);
            }
            FromSidecar::Cleared { key, crashes } => self.suspects.on_cleared(now, &key, &crashes),
            FromSidecar::Disowned { attempt, never } => self.on_disowned(host, attempt, never),
            message => self.core.on_message(now, host, message),
        }
    }

    fn on_fabric(&mut self, event: Event) {
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
                if let Some(domain) = self.sidecars.up(link, &peer.host, incarnation, tx) {
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
                if let Some(host) = self.sidecars.down(link) {
                    self.core.on_sidecar_disconnected(&host);
                }
            }
        }
    }

    fn on_relay_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Hosts { changed, removed } => {
                for record in &changed {
                    self.sidecars.learn(&self.endpoint, record);
                }
                removed.iter().for_each(|host| self.sidecars.forget(host));
            }
            RelayEvent::Config(update) => {
                self.core.set_running_limits(running_limits(&update.0));
                self.config.send_replace(Some(update.0));
                self.life.on_config_in_force();
            }
            RelayEvent::Proposed { id, reply } => {
                if let Some(answered) = self.proposals.answered(self.cx.now(), id, reply) {
                    self.on_ledger(answered);
                }
            }
            RelayEvent::ServiceApplied(_) | RelayEvent::Totals(_) => {}
        }
    }

    fn on_stop(&mut self) {
        self.life.request_shutdown(self.requests.len());
    }

    fn end_if_drained(&mut self, stakker: CX![]) {
        if self.life.is_stopping() && self.requests.len() == 0 {
            self.connections.close();
        }
        // The last bytes of an answer may still wait for a slow caller to take them.
        let in_progress = self.requests.len().max(self.connections.count());
        if self.life.try_finish(in_progress) {
            self.endpoint.close();
            stop!(stakker);
        }
    }

    /// A number for a request that the entry makes itself.
    pub(super) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }
}

/// Requests that may run at once, for the accounts that the manifest limits.
fn running_limits(config: &ConfigIndex) -> HashMap<AccountName, u32> {
    let accounts = config.manifest().accounts.iter();
    let limited = accounts.filter_map(|account| {
        let most = u32::try_from(account.limits.in_flight?).unwrap_or(u32::MAX);
        Some((account.name.clone(), most))
    });
    limited.collect()
}
