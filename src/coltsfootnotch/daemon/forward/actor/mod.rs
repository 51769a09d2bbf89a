//! The actor that owns what all requests share.

mod news;
mod stop;
mod upkeep;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_fabric::Endpoint;
use coltsfootnotch_forward::lease::ConfigLease;
use coltsfootnotch_forward::load::FleetLoad;
use coltsfootnotch_forward::overload::Overload;
use coltsfootnotch_forward::pause_detector::PauseDetector;
use coltsfootnotch_forward::retry::RetryBudget;
use derive_more::{Display, Error, From};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, StopCause, actor_new, after, call, fwd_to, ret_nop, stop};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::control_links::ControlLinks;
use super::dialect::{Dialect, InForce};
use super::messages::{Ended, ForwardMsg, NotPlaced, PlaceAsk, Ticket};
use super::overload_flags::OverloadFlags;
use super::pool::Pool;
use super::record::REFUSAL_LINES;
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

/// Between two rounds of the actor: reports, questions, upkeep.
const TICK: Duration = Duration::from_millis(100);

/// Kept of the time to stop, for the process to end by itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time for a caller's headers before a configuration says otherwise.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest request line and headers that are read at all, in bytes; a configuration may allow less.
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
        actor
    })
    .await;
    outcome
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
    /// Whether the lease held when it was last looked at; shared with the tasks of connections.
    confirmed: Arc<AtomicBool>,
    awake: Arc<PauseDetector>,
    overload: Overload,
    overload_flags: Arc<OverloadFlags>,
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
        let awake = Arc::<PauseDetector>::default();
        let confirmed = Arc::<AtomicBool>::default();
        let overload_flags = Arc::<OverloadFlags>::default();
        let gateway = Arc::new(Gateway {
            cx: cx.clone(),
            dialect: settings.dialect,
            config: watched,
            tx: tx.clone(),
            pool: Arc::clone(&pool),
            refusals: LineBudget::new(REFUSAL_LINES),
            confirmed: Arc::clone(&confirmed),
            awake: Arc::clone(&awake),
            overload: Arc::clone(&overload_flags),
            connections: Arc::clone(&connections),
            crowded: settings.connections / 2,
            draw,
        });
        let limits = ServerLimits {
            connections: settings.connections,
            header_bytes: HEADER_BYTES,
            read_timeout: READ_TIMEOUT,
        };
        let handler = move |req, peer| Arc::clone(&gateway).answer(req, peer);
        let in_force = config.subscribe();
        let read_timeout = move || {
            let config = in_force.borrow();
            config
                .as_ref()
                .map_or(READ_TIMEOUT, |c| c.bounds().read_timeout())
        };
        let open = Arc::clone(&connections);
        let serving = serve_and_close(listener, limits, read_timeout, open, handler);
        let serving = cx.runtime.spawn(serving);
        let domain = cx.identity.domain.as_str().into();
        let lease = ConfigLease::new(settings.times.lease);
        Ok(Self {
            boot: BootClock,
            dialect: settings.dialect,
            times: settings.times,
            state: State::new(domain, RetryBudget::new(settings.retries), lease),
            links,
            endpoint,
            config,
            number: 0,
            pool,
            connections,
            ready: Arc::default(),
            stopping: None,
            serving,
            confirmed,
            awake,
            overload: Overload::default(),
            overload_flags,
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

    fn input(&mut self, _cx: CX![], msg: ForwardMsg) {
        let now = self.cx.now();
        match msg {
            ForwardMsg::Fabric(event) => self.on_event(now, event),
            ForwardMsg::Place(ask, tx) => {
                let placed = self.place(now, &ask);
                // The caller may have left meanwhile: what was placed is given back.
                if let Err(Ok(ticket)) = tx.send(placed) {
                    self.state.over(now, &ticket, false, Ended::Abandoned);
                }
            }
            ForwardMsg::Begun(ticket) => self.state.begun(now, &ticket),
            ForwardMsg::Over {
                ticket,
                begun,
                ended,
            } => self.state.over(now, &ticket, begun, ended),
            ForwardMsg::Paused(paused) => self.on_paused(now, &paused),
            ForwardMsg::Waited(waited) => self.on_waited(now, waited),
            ForwardMsg::Seeds(seeds) => self.links.set_seeds(&self.endpoint, &seeds),
            ForwardMsg::Stop => self.begin_stop(now),
        }
    }

    fn place(&mut self, now: Duration, ask: &PlaceAsk) -> Result<Ticket, NotPlaced> {
        if let Some(stopping) = self.stopping {
            let end = stopping.since + self.times.shutdown.saturating_sub(STOP_MARGIN);
            if now + ask.prompt.max_answer_time() > end {
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
        self.probe();
        self.report(now);
        self.expire(now);
        self.watch_lease();
        self.go_on_stopping(cx, now);
    }

    fn watch_lease(&mut self) {
        let holds = self.state.lease.is_valid(self.boot.now(), self.number);
        if holds != self.confirmed.swap(holds, Ordering::Relaxed) {
            let event = if holds {
                &events::LEASE_REGAINED
            } else {
                &events::LEASE_LOST
            };
            let (links, number) = (self.links.count(), self.number);
            self.cx
                .log(event, &[("config", &number), ("control_hosts", &links)]);
        }
        let overloaded = self.overload_flags.sends_elsewhere();
        let ready = holds && self.number > 0 && self.stopping.is_none() && !overloaded;
        self.ready.store(ready, Ordering::Relaxed);
    }

    fn end(&mut self, cx: CX![]) {
        self.cx.log(&events::DAEMON_STOPPED, &[]);
        self.endpoint.close();
        cx.shutdown(StopCause::Stopped);
        stop!(cx);
    }
}
