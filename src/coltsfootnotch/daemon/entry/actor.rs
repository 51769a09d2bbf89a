//! The entry's actor: owns the queues, the requests in progress and the connections.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use coltsfootnotch_fabric::{Endpoint, Event, Traffic};
use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_router::{EntryAction, EntryCore};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, HostRecord, Message, ToSidecar};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, Stakker, actor, after, call, fwd_to, ret_shutdown, stop};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::watch;

use super::attempt_end::AttemptEnd;
use super::bookings::Bookings;
use super::callers::Callers;
use super::requests::{Chosen, InProgress, Requests, Stage};
use super::sidecars::Sidecars;
use super::{Arrival, EntryConfig, ReplyPart};
use crate::core::{HostCx, Refusal, RefusalKind};
use crate::daemon::{RelayClient, RelayNews, StartError, Starter};
use crate::util::http_server::{ServerLimits, serve};
use crate::util::{event_loop, events};

/// Time between the actor's own rounds: deadlines, heartbeats and proposals fall due on them.
const TICK: Duration = Duration::from_millis(20);
/// When a caller may come back to a pool that no upstream serves now.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// What reaches the actor.
pub(super) enum EntryMsg {
    Fabric(Event),
    Arrive(Box<Arrival>),
    CallerGone { request: u64 },
    AttemptEnded { attempt: AttemptId, end: AttemptEnd },
    Stop,
}

/// What an entry sees of the sidecars.
#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    sidecars: usize,
    pools: BTreeSet<PoolName>,
}

/// A running entry.
pub struct EntryHandle {
    tx: Channel<EntryMsg>,
    thread: JoinHandle<()>,
    callers: SocketAddr,
    fleet: SocketAddr,
    ready: watch::Receiver<Option<Arc<ConfigIndex>>>,
    draining: Arc<AtomicBool>,
    seen: watch::Receiver<Seen>,
    traffic: Arc<Traffic>,
}

impl EntryHandle {
    /// The address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The address of its fleet endpoint.
    #[must_use]
    pub fn fleet(&self) -> SocketAddr {
        self.fleet
    }

    /// Whether callers may be sent here: a closure for the readiness probe.
    pub fn ready(&self) -> impl Fn() -> bool + Send + Sync + 'static + use<> {
        let ready = self.ready.clone();
        let draining = Arc::clone(&self.draining);
        move || ready.borrow().is_some() && !draining.load(Ordering::Relaxed)
    }

    /// Whether every one of the pools has a connected sidecar.
    #[must_use]
    pub fn serving(&self, pools: &[PoolName]) -> bool {
        let seen = self.seen.borrow();
        pools.iter().all(|pool| seen.pools.contains(pool))
    }

    /// Sidecars connected.
    #[must_use]
    pub fn connected(&self) -> usize {
        self.seen.borrow().sidecars
    }

    /// Control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Starts a graceful shutdown: requests in progress finish, no new ones are taken.
    pub fn stop(&self) {
        self.tx.send(EntryMsg::Stop);
    }

    /// A closure that starts a graceful shutdown.
    pub fn stopper(&self) -> impl Fn() + Send + 'static + use<> {
        let tx = self.tx.clone();
        move || {
            tx.send(EntryMsg::Stop);
        }
    }

    /// Waits until the daemon has ended.
    pub fn join(self) {
        // The thread's panic was already reported by its hook; there is nothing to add.
        let _ended = self.thread.join();
    }
}

/// Starts an entry.
///
/// # Errors
/// Returns a [`StartError`] when an address can't be bound or the credentials can't be used.
pub fn start(cx: HostCx, cfg: EntryConfig) -> Result<EntryHandle, StartError> {
    let (starter, outcome) = Starter::new();
    let name = format!("entry-{}", cx.identity.host);
    let thread = event_loop::spawn(&name, move |stakker: &mut Stakker| {
        actor!(
            stakker,
            EntryActor::init(cx, cfg, starter),
            ret_shutdown!(stakker)
        )
    })?;
    let started = outcome.recv().map_err(|_| StartError::Ended)??;
    Ok(EntryHandle {
        tx: started.tx,
        thread,
        callers: started.callers,
        fleet: started.fleet,
        ready: started.config,
        draining: started.draining,
        seen: started.seen,
        traffic: started.traffic,
    })
}

struct Started {
    tx: Channel<EntryMsg>,
    callers: SocketAddr,
    fleet: SocketAddr,
    config: watch::Receiver<Option<Arc<ConfigIndex>>>,
    draining: Arc<AtomicBool>,
    seen: watch::Receiver<Seen>,
    traffic: Arc<Traffic>,
}

pub(super) struct EntryActor {
    pub(super) cx: HostCx,
    pub(super) cfg: EntryConfig,
    pub(super) core: EntryCore,
    pub(super) requests: Requests,
    pub(super) sidecars: Sidecars,
    pub(super) bookings: Bookings,
    pub(super) relay: RelayClient,
    pub(super) tx: Channel<EntryMsg>,
    endpoint: Endpoint,
    config: watch::Sender<Option<Arc<ConfigIndex>>>,
    seen: watch::Sender<Seen>,
    fleet: SocketAddr,
    draining: Arc<AtomicBool>,
    stop_at: Option<Duration>,
    _guard: ChannelGuard,
}

impl EntryActor {
    fn init(
        stakker: CX![],
        cx: HostCx,
        cfg: EntryConfig,
        starter: Starter<Started>,
    ) -> Option<Self> {
        let fwd = fwd_to!([stakker], on_msg() as (EntryMsg));
        let (tx, guard) = Channel::new(stakker, fwd);
        match Self::build(cx, cfg, tx, guard) {
            Ok((actor, ready)) => {
                call!([stakker], tick());
                starter.tell(Ok(ready));
                Some(actor)
            }
            Err(e) => {
                starter.tell(Err(e));
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
        let draining = Arc::new(AtomicBool::new(false));
        let seen = watch::Sender::new(Seen::default());
        let callers = listen(&cx, &cfg, &tx, config.subscribe(), Arc::clone(&draining))?;
        let ready = Started {
            tx: tx.clone(),
            callers,
            fleet,
            config: config.subscribe(),
            draining: Arc::clone(&draining),
            seen: seen.subscribe(),
            traffic: endpoint.traffic(),
        };
        let actor = Self {
            core: EntryCore::new(me, cx.identity.domain.clone()),
            requests: Requests::default(),
            sidecars: Sidecars::default(),
            bookings: Bookings::default(),
            relay: RelayClient::new(cx.clone(), cfg.control.clone()),
            cx,
            cfg,
            tx,
            endpoint,
            config,
            seen,
            fleet,
            draining,
            stop_at: None,
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
            leaving: self.stop_at.is_some(),
        };
        self.relay
            .tick(&self.endpoint, |config| HostRecord { config, ..record });
        for answered in self.bookings.tick(&mut self.relay, now) {
            self.on_ledger(answered);
        }
        self.run_actions();
        let (sidecars, pools) = self.core.served();
        self.seen.send_if_modified(|seen| {
            let new = Seen { sidecars, pools };
            let changed = *seen != new;
            *seen = new;
            changed
        });
        self.end_if_drained(stakker);
        after!(TICK, [stakker], tick());
    }

    fn on_arrive(&mut self, arrival: Arrival) {
        if let Some(refusal) = self.admission(&arrival) {
            return refuse(&self.cx.runtime, &arrival, refusal);
        }
        let waiting = coltsfootnotch_router::Waiting {
            request: arrival.request,
            attempt: 0,
            account: arrival.account.clone(),
            pool: arrival.pool.clone(),
            arrived: arrival.arrived,
            deadline: arrival.deadline,
            estimate: arrival.estimate,
            prefix: arrival.prefix,
            repeatable: arrival.booking.is_none(),
            avoid: vec![],
        };
        self.requests.insert(arrival);
        self.core.submit(waiting);
    }

    /// Why a request is not let in, if it is not.
    fn admission(&self, arrival: &Arrival) -> Option<Refusal> {
        if self.stop_at.is_some() {
            return Some(Refusal::not_run(RefusalKind::NotReady).retry_after(NO_UPSTREAM_RETRY));
        }
        if !self.core.serves(&arrival.pool) {
            return Some(Refusal::not_run(RefusalKind::NoUpstream).retry_after(NO_UPSTREAM_RETRY));
        }
        let account = arrival.config.account(arrival.account.as_str());
        let queue = account.map_or(0, |account| account.limits.queue);
        if self.core.waiting_of(&arrival.pool, &arrival.account) >= queue {
            return Some(Refusal::not_run(RefusalKind::QueueFull).retry_after(NO_UPSTREAM_RETRY));
        }
        if self.core.waiting_in_all() >= self.cfg.limits.queue_requests {
            return Some(Refusal::not_run(RefusalKind::Overloaded).retry_after(NO_UPSTREAM_RETRY));
        }
        None
    }

    fn on_caller_gone(&mut self, request: u64) {
        let Some(in_progress) = self.requests.remove(request) else {
            return;
        };
        let arrival = &in_progress.arrival;
        match in_progress.stage {
            Stage::Waiting => {
                self.core.withdraw(&arrival.pool, &arrival.account, request);
            }
            // What may not be repeated goes on to its end, so that its outcome is recorded.
            _ if arrival.booking.is_some() => {
                self.requests.restore(in_progress);
            }
            Stage::Running { chosen, task } => {
                task.abort();
                self.sidecars.send(
                    &chosen.host,
                    ToSidecar::Cancel {
                        attempt: chosen.attempt,
                    },
                );
            }
            Stage::Intent(_) | Stage::Closing(_) | Stage::Recording { .. } => {}
        }
    }

    /// Carries out what the core has decided.
    pub(super) fn run_actions(&mut self) {
        let now = self.cx.now();
        for action in self.core.take_actions(now) {
            match action {
                EntryAction::Send { to, message } => self.sidecars.send(&to, message),
                EntryAction::Begin {
                    attempt,
                    to,
                    sidecar,
                    cause,
                    waiting,
                } => {
                    self.on_chosen(Chosen {
                        attempt,
                        host: to,
                        sidecar,
                        cause,
                        waiting,
                    });
                }
                EntryAction::Expired { waiting } => {
                    let refusal = Refusal::not_run(RefusalKind::Deadline);
                    self.finish_failed(waiting.request, refusal.retry_after(NO_UPSTREAM_RETRY));
                }
            }
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
                self.relay.up(link, tx);
            }
            Event::Up {
                link,
                peer,
                incarnation,
                tx,
            } => {
                if let Some(domain) = self.sidecars.up(link, &peer.host, incarnation, tx) {
                    self.core.sidecar_up(peer.host, incarnation, domain);
                }
            }
            Event::Message {
                link,
                message: Message::FromRelay(message),
                ..
            } => {
                if let Some(news) = self.relay.on_message(link, message) {
                    self.on_relay_news(news);
                }
            }
            Event::Message {
                link,
                message: Message::FromSidecar(message),
                ..
            } => {
                if let Some(host) = self.sidecars.host_of(link).cloned() {
                    self.core.on_message(now, &host, message);
                }
            }
            Event::Message { .. } | Event::Stream { .. } => {}
            Event::Forbidden { peer } => {
                self.cx.log(&events::MESSAGE_FORBIDDEN, &[("peer", &peer)]);
            }
            Event::Down { link, peer } => {
                self.cx.log(&events::LINK_DOWN, &[("peer", &peer)]);
                self.relay.down(link, now);
                if let Some(host) = self.sidecars.down(link) {
                    self.core.sidecar_down(&host);
                }
            }
        }
    }

    fn on_relay_news(&mut self, news: RelayNews) {
        match news {
            RelayNews::Hosts { changed, gone } => {
                for record in &changed {
                    self.sidecars.learn(&self.endpoint, record);
                }
                gone.iter().for_each(|host| self.sidecars.forget(host));
            }
            RelayNews::Config(update) => {
                self.config.send_replace(Some(update.0));
            }
            RelayNews::Proposed { id, reply } => {
                if let Some(answered) = self.bookings.answered(self.cx.now(), id, reply) {
                    self.on_ledger(answered);
                }
            }
            RelayNews::ServiceApplied(_) | RelayNews::Totals(_) => {}
        }
    }

    fn on_stop(&mut self) {
        if self.stop_at.is_none() {
            self.draining.store(true, Ordering::Relaxed);
            self.stop_at = Some(self.cx.now() + self.cfg.shutdown);
            self.cx.log(
                &events::SHUTDOWN_STARTED,
                &[("in_progress", &self.requests.len())],
            );
        }
    }

    fn end_if_drained(&mut self, stakker: CX![]) {
        let Some(stop_at) = self.stop_at else { return };
        let late = self.cx.now() >= stop_at;
        if !self.requests.is_empty() && !late {
            return;
        }
        if !self.requests.is_empty() {
            self.cx.log(
                &events::SHUTDOWN_FORCED,
                &[("in_progress", &self.requests.len())],
            );
        }
        self.cx.log(&events::DAEMON_STOPPED, &[]);
        self.endpoint.close();
        stop!(stakker);
    }

    /// Ends a request that gets no answer.
    pub(super) fn finish_failed(&mut self, request: u64, refusal: Refusal) {
        if let Some(InProgress { arrival, .. }) = self.requests.remove(request) {
            refuse(&self.cx.runtime, &arrival, refusal);
        }
    }
}

/// Tells a caller that it gets no answer, or no more of it.
pub(super) fn refuse(runtime: &Handle, arrival: &Arrival, refusal: Refusal) {
    let reply = arrival.reply.clone();
    if let Err(TrySendError::Full(part)) = reply.try_send(ReplyPart::Failed(refusal)) {
        // The caller is slow; the explicit end of its stream must not be lost for that.
        runtime.spawn(async move { reply.send(part).await });
    }
}

fn listen(
    cx: &HostCx,
    cfg: &EntryConfig,
    tx: &Channel<EntryMsg>,
    config: watch::Receiver<Option<Arc<ConfigIndex>>>,
    draining: Arc<AtomicBool>,
) -> Result<SocketAddr, StartError> {
    let listener = cx.runtime.block_on(TcpListener::bind(cfg.callers))?;
    let address = listener.local_addr()?;
    let limits = ServerLimits {
        connections: cfg.limits.connections,
        header_bytes: cfg.limits.header_bytes,
        read_timeout: cfg.limits.read_timeout(),
    };
    let callers = Arc::new(Callers {
        cx: cx.clone(),
        config,
        tx: tx.clone(),
        limits: cfg.limits.clone(),
        draining,
        memory: Callers::memory_of(&cfg.limits),
        next_request: 0.into(),
    });
    let handler = move |req, peer| Arc::clone(&callers).answer(req, peer);
    cx.runtime.spawn(serve(listener, limits, handler));
    Ok(address)
}
