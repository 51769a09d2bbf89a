//! The actor that owns what all requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_fabric::{Endpoint, Event, LinkId};
use coltsfootnotch_forward::awake::Awake;
use coltsfootnotch_forward::book::{Announcement, News};
use coltsfootnotch_forward::config::ForwardConfig;
use coltsfootnotch_forward::lease::ConfigLease;
use coltsfootnotch_forward::load::{FleetLoad, reporting_period};
use coltsfootnotch_forward::retry::SecondSends;
use coltsfootnotch_wire::{ConfigBody, FromRelay, Message, ToRelay, UpstreamWord};
use derive_more::{Display, Error, From};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{ActorOwn, CX, Stakker, StopCause, actor_new, after, call, fwd_to, ret_nop, stop};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::control_links::ControlLinks;
use super::dialect::{Dialect, InForce};
use super::messages::{ForwardMsg, NotPlaced, PlaceAsk, Ticket};
use super::pool::Pool;
use super::server::Gateway;
use super::state::State;
use super::{ForwardHandle, ForwardSettings, Times};
use crate::core::HostCx;
use crate::util::boot_clock::BootClock;
use crate::util::connections::Connections;
use crate::util::event_loop;
use crate::util::events;
use crate::util::http_server::{ServerLimits, serve_and_close};
use crate::util::line_budget::LineBudget;
use Reporter::{Nobody, Own};

/// Between two rounds of the actor: reports, questions, upkeep.
const TICK: Duration = Duration::from_millis(100);

/// Reports to the followed control host for one to each of the others. Entries follow the same one
/// unless they are cut off from it; who follows another hears of this entry half a second late.
const REPORTS_TO_OTHERS: u64 = 5;

/// Silence after which an upstream is dropped, while control hosts tell of others. Upstreams announce
/// themselves about each second, and are seen to do so late by seconds.
const SILENCE: Duration = Duration::from_secs(8);

/// Time after the signal to stop for which new connections are taken. Balancers ask each second and
/// take a host out after two failures in a row; connections that they open meanwhile must be served.
const STOP_LISTENING_AFTER: Duration = Duration::from_millis(2_600);

/// Kept of the time to stop, for the process to end by itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time for a caller's headers before a configuration says otherwise.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest request line and headers before a configuration says otherwise, in bytes.
const HEADER_BYTES: usize = 64 * 1024;

/// Why a forwarding entry can't run.
#[derive(Debug, Display, Error, From)]
pub enum ForwardError {
    /// The fleet endpoint can't be made.
    #[display("the fleet endpoint can't be started")]
    Endpoint(coltsfootnotch_fabric::EndpointError),
    /// The address for callers can't be bound.
    #[display("the address for callers can't be bound")]
    Listen(std::io::Error),
}

/// Runs a forwarding entry until it is stopped; `started` is given its handle.
///
/// # Errors
/// Returns an error when an address can't be bound.
pub async fn run(
    cx: HostCx,
    settings: ForwardSettings,
    draw: fn() -> f64,
    started: impl FnOnce(ForwardHandle),
) -> Result<(), ForwardError> {
    let listener = TcpListener::bind(settings.callers).await?;
    let mut outcome = Ok(());
    event_loop::drive(|stakker| {
        let actor = actor_new!(stakker, ForwardActor, ret_nop!());
        let (tx, guard) = Channel::new(stakker, fwd_to!([actor], input() as (ForwardMsg)));
        match ForwardActor::build(cx, &settings, draw, listener, tx, guard) {
            Ok(built) => {
                started(built.handle());
                call!([actor], ForwardActor::init(built));
            }
            Err(e) => {
                outcome = Err(e);
                stakker.shutdown(StopCause::Stopped);
            }
        }
        keep(actor, stakker)
    })
    .await;
    outcome
}

fn keep(actor: ActorOwn<ForwardActor>, _stakker: &mut Stakker) -> ActorOwn<ForwardActor> {
    actor
}

/// Whose reports are added up for the control hosts that are not followed: only this entry's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Reporter {
    Own,
    Nobody,
}

/// How far a graceful stop is.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    since: Duration,
    listening: bool,
}

struct ForwardActor {
    cx: HostCx,
    boot: BootClock,
    dialect: Dialect,
    times: Times,
    state: State,
    links: ControlLinks,
    endpoint: Endpoint,
    config: watch::Sender<InForce>,
    number: u64,
    pool: Arc<Pool>,
    connections: Arc<Connections>,
    ready: Arc<AtomicBool>,
    stopping: Option<Stopping>,
    serving: tokio::task::JoinHandle<()>,
    had_lease: bool,
    awake: Arc<Awake>,
    report_due: Duration,
    reports: u64,
    for_others: FleetLoad<Reporter>,
    heard_upstreams: Duration,
    tx: Channel<ForwardMsg>,
    _guard: ChannelGuard,
}

impl ForwardActor {
    fn build(
        cx: HostCx,
        settings: &ForwardSettings,
        draw: fn() -> f64,
        listener: TcpListener,
        tx: Channel<ForwardMsg>,
        guard: ChannelGuard,
    ) -> Result<Self, ForwardError> {
        let to_actor = tx.clone();
        let endpoint = Endpoint::bind(
            &cx.runtime,
            settings.fleet,
            &settings.credentials,
            cx.identity.incarnation,
            move |event| {
                to_actor.send(ForwardMsg::Fabric(event));
            },
        )?;
        let mut links = ControlLinks::new(&settings.seeds);
        links.dial(&endpoint);
        let (config, watched) = watch::channel(None);
        let (pool, connections) = (Arc::<Pool>::default(), Arc::<Connections>::default());
        let awake = Arc::<Awake>::default();
        let gateway = Arc::new(Gateway {
            cx: cx.clone(),
            dialect: settings.dialect,
            config: watched,
            tx: tx.clone(),
            pool: Arc::clone(&pool),
            refusals: LineBudget::default(),
            awake: Arc::clone(&awake),
            connections: Arc::clone(&connections),
            crowded: settings.connections / 2,
            draw,
        });
        let limits = ServerLimits {
            connections: settings.connections,
            header_bytes: HEADER_BYTES,
            read_timeout: HEADER_TIMEOUT,
        };
        let handler = move |req, peer| Arc::clone(&gateway).answer(req, peer);
        let serving = serve_and_close(listener, limits, Arc::clone(&connections), handler);
        let serving = cx.runtime.spawn(serving);
        let domain = cx.identity.domain.as_str().into();
        let lease = ConfigLease::new(settings.times.lease);
        Ok(Self {
            boot: BootClock,
            dialect: settings.dialect,
            times: settings.times,
            state: State::new(domain, SecondSends::new(settings.retries), lease),
            links,
            endpoint,
            config,
            number: 0,
            pool,
            connections,
            ready: Arc::default(),
            stopping: None,
            serving,
            had_lease: false,
            awake,
            report_due: Duration::ZERO,
            reports: 0,
            for_others: FleetLoad::default(),
            heard_upstreams: Duration::ZERO,
            tx,
            _guard: guard,
            cx,
        })
    }

    fn handle(&self) -> ForwardHandle {
        ForwardHandle {
            tx: self.tx.clone(),
            ready: Arc::clone(&self.ready),
        }
    }

    fn init(cx: CX![], built: Self) -> Option<Self> {
        built.cx.log(&events::DAEMON_STARTED, &[]);
        after!(TICK, [cx], tick());
        Some(built)
    }

    fn input(&mut self, cx: CX![], msg: ForwardMsg) {
        let now = self.cx.now();
        match msg {
            ForwardMsg::Fabric(event) => self.on_event(now, event),
            ForwardMsg::Place(ask, tx) => {
                let placed = self.place(now, &ask);
                // The caller may have left meanwhile: what was placed is given back.
                if let Err(Ok(ticket)) = tx.send(placed) {
                    self.state
                        .over(now, &ticket, false, super::messages::Ended::Abandoned);
                }
            }
            ForwardMsg::Begun(ticket) => self.state.begun(now, &ticket),
            ForwardMsg::Over {
                ticket,
                begun,
                ended,
            } => self.state.over(now, &ticket, begun, ended),
            ForwardMsg::Seeds(seeds) => self.links.set_seeds(&self.endpoint, &seeds),
            ForwardMsg::Stop => self.begin_stop(cx, now),
        }
    }

    fn place(&mut self, now: Duration, ask: &PlaceAsk) -> Result<Ticket, NotPlaced> {
        if let Some(stopping) = self.stopping {
            let end = stopping.since + self.times.shutdown.saturating_sub(STOP_MARGIN);
            if now + ask.prompt.longest_run() > end {
                return Err(NotPlaced::Stopping);
            }
        }
        self.state.place(now, self.boot.now(), self.number, ask)
    }

    fn tick(&mut self, cx: CX![]) {
        let now = self.cx.now();
        after!(TICK, [cx], tick());
        if self.awake.tick(self.boot.now()) {
            self.cx.log(&events::STOOD_STILL, &[]);
        }
        // Asked by the clock that goes on while the host is suspended: the lease is measured by it.
        self.links.ask(self.boot.now(), self.number);
        self.report(now);
        self.expire(now);
        self.watch_lease();
        self.go_on_stopping(cx, now);
    }

    /// Tells the followed control host what this entry does; the others as well, since other entries
    /// may follow those, but less often.
    fn report(&mut self, now: Duration) {
        if now < self.report_due {
            return;
        }
        self.report_due = now + reporting_period(self.state.entries);
        self.reports += 1;
        let load = self.state.report();
        self.for_others.take(now, Own, load.clone());
        self.links.send_followed(ToRelay::Load {
            follows: true,
            load,
        });
        if self.reports.is_multiple_of(REPORTS_TO_OTHERS) {
            let load = self.for_others.without(now, &Nobody);
            self.for_others.next_period(now);
            self.links.send_others(&ToRelay::Load {
                follows: false,
                load,
            });
        }
    }

    /// Drops upstreams that fell silent, unless it is the control hosts that say nothing.
    fn expire(&mut self, now: Duration) {
        let is_told = now.saturating_sub(self.heard_upstreams) < SILENCE / 4;
        if !is_told {
            return;
        }
        for said in self.state.book.expire(now, SILENCE) {
            self.cx.log(
                &events::UPSTREAM_SILENT,
                &[("upstream", &said.id), ("service", &said.service)],
            );
        }
        let book = &self.state.book;
        self.state.loads.retain(|id| book.get(id).is_some());
        self.pool
            .sweep(|id, born_ms| book.get(id).is_some_and(|u| u.said.born_ms == born_ms));
    }

    fn watch_lease(&mut self) {
        let holds = self.state.lease.holds(self.boot.now(), self.number);
        if holds != self.had_lease {
            let event = if holds {
                &events::LEASE_REGAINED
            } else {
                &events::LEASE_LOST
            };
            let (links, number) = (self.links.count(), self.number);
            self.cx
                .log(event, &[("config", &number), ("control_hosts", &links)]);
            self.had_lease = holds;
        }
        let ready = holds && self.number > 0 && self.stopping.is_none();
        self.ready.store(ready, Ordering::Relaxed);
    }

    fn on_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Up { link, peer, tx, .. } => {
                self.cx.log(&events::LINK_UP, &[("peer", &peer)]);
                self.links.up(link, peer, tx);
                self.log_followed(link);
            }
            Event::Down { link, peer } => {
                self.cx.log(&events::LINK_DOWN, &[("peer", &peer)]);
                self.links.down(link);
            }
            Event::Message {
                link,
                message: Message::FromRelay(message),
                ..
            } => self.on_control(now, link, message),
            Event::Message { peer, .. } | Event::Forbidden { peer } => {
                self.cx.log(&events::MESSAGE_FORBIDDEN, &[("peer", &peer)]);
            }
            // Control hosts open no streams to an entry.
            Event::Stream { stream, .. } => drop(stream),
        }
    }

    fn log_followed(&self, link: LinkId) {
        if let Some((followed, peer)) = self.links.followed()
            && followed == link
        {
            self.cx.log(&events::FOLLOWED, &[("peer", peer)]);
        }
    }

    fn on_control(&mut self, now: Duration, link: LinkId, message: FromRelay) {
        match message {
            FromRelay::Upstreams(words) => self.take_upstreams(now, words),
            FromRelay::UpstreamLeft { id, born_ms } => {
                self.state.book.leave(now, &id, born_ms);
                self.cx.log(&events::UPSTREAM_LEAVING, &[("upstream", &id)]);
            }
            FromRelay::Fleet { entries, load } => {
                let config = self.config.borrow().clone();
                self.state
                    .take_fleet(now, entries, &load, config.as_deref());
            }
            FromRelay::Lease { id, number, newer } => {
                if let Some(body) = newer {
                    self.take_config(&body);
                }
                if let Some(asked) = self.links.answered(id) {
                    self.state.lease.confirmed(asked, number);
                    self.watch_lease();
                }
            }
            FromRelay::Config(body) => self.take_config(&body),
            FromRelay::ControlHosts {
                keeps_log,
                addresses,
            } => {
                self.links.set_told(&self.endpoint, &addresses);
                if !keeps_log {
                    self.links.do_not_follow(link);
                }
            }
            // What only hosts of other roles are told.
            FromRelay::Directory { .. }
            | FromRelay::ServiceApplied { .. }
            | FromRelay::Totals { .. }
            | FromRelay::ConfigDelta { .. }
            | FromRelay::ConfigConfirmed { .. }
            | FromRelay::Proposed { .. }
            | FromRelay::Status { .. }
            | FromRelay::Members { .. } => {}
        }
    }

    fn take_upstreams(&mut self, now: Duration, words: Vec<UpstreamWord>) {
        if !words.is_empty() {
            self.heard_upstreams = now;
        }
        for word in words {
            let said = Announcement::from(word);
            let news = self.state.book.take(now, said.clone());
            if news == News::Changed {
                self.cx.log(
                    &events::UPSTREAM_ANNOUNCED,
                    &[
                        ("upstream", &said.id),
                        ("service", &said.service),
                        ("sequence", &said.sequence),
                        ("stage", &format!("{:?}", said.stage)),
                    ],
                );
            }
            if news != News::Stale {
                self.state.loads.entry(&said.id, said.born_ms);
            }
        }
    }

    /// Takes a configuration; one that is not newer than the one in force changes nothing.
    fn take_config(&mut self, body: &ConfigBody) {
        if body.number <= self.number {
            return;
        }
        let config: ForwardConfig = match (self.dialect.decode_config)(&body.body) {
            Ok(config) => config,
            Err(e) => {
                self.cx.log(
                    &events::CONFIG_REFUSED,
                    &[("number", &body.number), ("error", &e)],
                );
                return;
            }
        };
        let before = self.number;
        self.number = body.number;
        self.config.send_replace(Some(Arc::new(config)));
        self.cx.log(
            &events::CONFIG_IN_FORCE,
            &[("number", &body.number), ("before", &before)],
        );
    }

    fn begin_stop(&mut self, cx: CX![], now: Duration) {
        if self.stopping.is_some() {
            // Told twice: whoever told will not wait any longer.
            return self.end(cx);
        }
        let in_progress = self.connections.count();
        self.cx
            .log(&events::SHUTDOWN_STARTED, &[("connections", &in_progress)]);
        self.stopping = Some(Stopping {
            since: now,
            listening: true,
        });
        self.ready.store(false, Ordering::Relaxed);
    }

    fn go_on_stopping(&mut self, cx: CX![], now: Duration) {
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        let passed = now.saturating_sub(stopping.since);
        if stopping.listening && passed >= STOP_LISTENING_AFTER {
            stopping.listening = false;
            self.serving.abort();
            self.connections.close();
        }
        let idle = !stopping.listening && self.connections.count() == 0;
        let forced = passed + STOP_MARGIN >= self.times.shutdown;
        if forced && !idle {
            let left = self.connections.count();
            self.cx
                .log(&events::SHUTDOWN_FORCED, &[("connections", &left)]);
        }
        if idle || forced {
            self.end(cx);
        }
    }

    fn end(&mut self, cx: CX![]) {
        self.cx.log(&events::DAEMON_STOPPED, &[]);
        self.endpoint.close();
        cx.shutdown(StopCause::Stopped);
        stop!(cx);
    }
}
