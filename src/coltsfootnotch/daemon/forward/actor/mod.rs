//! The actor that owns the state that all requests share.

mod control_messages;
mod maintenance;
mod shutdown;
mod stream_lookups;
mod stream_moves;
mod streams;
mod waits;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_fabric::{Endpoint, LinkId, PeerLimits};
use coltsfootnotch_forward::control_host::ControlHostSelector;
use coltsfootnotch_forward::held::{HeldKind, HeldResources, Hold};
use coltsfootnotch_forward::lease::ConfigLease;
use coltsfootnotch_forward::line::WaitingLine;
use coltsfootnotch_forward::load::{LoadDecoder, OwnReports, reporting_period};
use coltsfootnotch_forward::overload::Overload;
use coltsfootnotch_forward::pause_detector::PauseDetector;
use coltsfootnotch_forward::retry::RetryBudget;
use coltsfootnotch_forward::streams::StreamOrigin;
use derive_more::{Display, Error, From};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, StopCause, actor_new, after, call, fwd_to, ret_nop, stop};
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::stream_lookups::StreamLookups;
use self::stream_moves::StreamMoves;
use self::waits::WaitingRequest;
use super::control_links::ControlLinks;
use super::dialect::{Dialect, InForce};
use super::handover::HandoverTargets;
use super::listener::{Acceptor, Limits};
use super::messages::{ForwardMsg, Outcome, PlaceRequest, PlacementError, Ticket};
use super::overload_flags::OverloadFlags;
use super::pool::Pool;
use super::refused_accounts::RefusedAccounts;
use super::request_log::{NO_RESPONSE_LINES, REFUSAL_LINES};
use super::server::Gateway;
use super::shared_notices::SharedNotices;
use super::state::State;
use super::stop_times::StopTimes;
use super::{ForwardHandle, ForwardSettings, Times};
use crate::core::HostCx;
use crate::util::boot_clock::BootClock;
use crate::util::connection_slots::ConnectionSlots;
use crate::util::connections::Connections;
use crate::util::event_loop;
use crate::util::events;
use crate::util::http_server::ConnectionLimits;
use crate::util::line_budget::LineBudget;

/// Time between two ticks of the actor, which handle lease requests, reports and expiry.
const TICK: Duration = Duration::from_millis(100);

/// Most lost neighbours logged per second: all connections handed over to a host break when it is killed.
const LOST_NEIGHBOUR_LINES: u16 = 10;

/// Most requests broken off that are logged per second: a crash ends all that an upstream ran.
const BROKEN_OFF_LINES: u16 = 10;

/// Time after the start from which it is logged that retries of earlier processes aren't known. Control hosts
/// answer within a second.
const EARLIER_RETRIES_AFTER: Duration = Duration::from_secs(2);

/// Part of the shutdown time that is reserved for the process to exit.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Part of the shutdown time before [`STOP_MARGIN`] in which requests that are still in progress are aborted:
/// their callers read a response of some hundred bytes, also beside as many others as a host holds.
const ABORT_TIME: Duration = Duration::from_millis(300);

/// Timeout for reading a caller's headers until a configuration is in force.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Most bytes of a request line and headers; a configuration may set a lower limit.
const HEADER_BYTES: usize = 64 * 1024;

/// Bytes that a connection buffers beyond the headers that the configuration allows.
const HEADER_MARGIN: usize = 8 * 1024;

/// Error from starting a forwarding entry.
#[derive(Debug, Display, Error, From)]
pub enum ForwardError {
    /// The fleet endpoint can't be made.
    #[display("the fleet endpoint can't be started")]
    Endpoint(coltsfootnotch_fabric::EndpointError),
    /// The address of the HTTP listener can't be bound.
    #[display("the address for callers can't be bound")]
    Listen(std::io::Error),
}

/// Runs a forwarding entry until it is stopped; calls `started` with its handle. `draw` returns
/// random numbers from 0 to 1.
///
/// # Errors
/// Returns an error when an address can't be bound.
pub async fn run(
    cx: HostCx,
    settings: ForwardSettings,
    draw: fn() -> f64,
    started: impl FnOnce(ForwardHandle),
) -> Result<(), ForwardError> {
    let listeners = Listeners {
        callers: TcpListener::bind(settings.http_address).await?,
        handed_over: TcpListener::bind(settings.handover_address).await?,
    };
    let mut outcome = Ok(());
    event_loop::drive(|stakker| {
        let actor = actor_new!(stakker, ForwardActor, ret_nop!());
        let (tx, guard) = Channel::new(stakker, fwd_to!([actor], input() as (ForwardMsg)));
        match ForwardActor::build(cx, &settings, draw, listeners, tx, guard) {
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

/// The listening sockets of an entry.
struct Listeners {
    callers: TcpListener,
    handed_over: TcpListener,
}

/// State of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    since: Duration,
    listening: bool,
    /// Whether the requests in progress are told to end.
    is_aborting: bool,
    /// Whether the last report was sent.
    has_reported: bool,
}

struct ForwardActor {
    cx: HostCx,
    boot_clock: BootClock,
    dialect: Dialect,
    times: Times,
    state: State,
    links: ControlLinks,
    endpoint: Endpoint,
    config: watch::Sender<InForce>,
    number: u64,
    /// Body of the configuration in force, which the next patch is made from.
    config_body: Vec<u8>,
    /// Whether the last patch could not be applied, so that the whole configuration is needed.
    needs_whole_config: bool,
    pool: Arc<Pool>,
    connections: Arc<Connections>,
    held: Arc<HeldResources>,
    /// The memory of the configuration in force.
    config_hold: Hold,
    /// Whether new requests are refused for what is held already.
    is_full: bool,
    ready: Arc<AtomicBool>,
    stopping: Option<Stopping>,
    /// Its times, for the tasks of connections.
    stop_times: watch::Sender<Option<StopTimes>>,
    /// Whether the lease was valid at its last check; shared with the tasks of connections.
    lease_valid: Arc<AtomicBool>,
    pause_detector: Arc<PauseDetector>,
    overload: Overload,
    overload_flags: Arc<OverloadFlags>,
    handover: Arc<HandoverTargets>,
    handover_address: SocketAddr,
    is_handing_over: bool,
    /// Whether this entry takes connections over from its neighbours, as control hosts were told.
    accepts_handover: bool,
    refused_accounts: Arc<RefusedAccounts>,
    refused_due: Duration,
    broken_off_lines: LineBudget,
    report_due: Duration,
    /// When it is logged that retries of earlier processes aren't known.
    earlier_retries_due: Duration,
    /// Interval of reports that the selected control host asks for.
    report_period: Duration,
    own_reports: OwnReports,
    /// Whether the load of the other entries is old, as logged.
    is_load_old: bool,
    decoder: LoadDecoder,
    /// The control host whose messages the decoder has.
    decodes_from: Option<LinkId>,
    last_upstream_update: Duration,
    lookups: StreamLookups,
    moves: StreamMoves,
    /// Requests that wait for an engine with room, and when they are placed again at the earliest.
    line: WaitingLine<WaitingRequest>,
    line_due: Duration,
    /// Streams begun lately, which are reported again when another control host is selected: the one before
    /// may not have passed them on.
    begun_lately: VecDeque<(Duration, u64, StreamOrigin)>,
    tx: Channel<ForwardMsg>,
    _guard: ChannelGuard,
}

impl ForwardActor {
    fn build(
        cx: HostCx,
        settings: &ForwardSettings,
        draw: fn() -> f64,
        listeners: Listeners,
        tx: Channel<ForwardMsg>,
        guard: ChannelGuard,
    ) -> Result<Self, ForwardError> {
        let to_actor = tx.clone();
        let endpoint = Endpoint::bind(
            &settings.fleet_runtime,
            settings.fleet_address,
            &settings.credentials,
            cx.identity.incarnation,
            PeerLimits::for_memory(settings.limits.memory_bytes),
            move |event| {
                to_actor.send(ForwardMsg::Fabric(event));
            },
        )?;
        let incarnation = cx.identity.incarnation.0;
        let selector = ControlHostSelector::new(cx.identity.domain.as_str(), incarnation);
        let mut links = ControlLinks::new(&settings.seeds, selector);
        links.dial(&endpoint);
        let (config, watched) = watch::channel(None);
        let (stop_times, stop) = watch::channel(None);
        let held = HeldResources::new(settings.limits);
        let pool = Arc::new(Pool::new(Arc::clone(&held)));
        let connections = Arc::<Connections>::default();
        let notices = Arc::<SharedNotices>::default();
        let pause_detector = Arc::<PauseDetector>::default();
        let lease_valid = Arc::<AtomicBool>::default();
        let overload_flags = Arc::<OverloadFlags>::default();
        let handover = Arc::<HandoverTargets>::default();
        let refused_accounts = Arc::<RefusedAccounts>::default();
        let gateway = Arc::new(Gateway {
            cx: cx.clone(),
            dialect: settings.dialect,
            config: watched,
            tx: tx.clone(),
            pool: Arc::clone(&pool),
            notices: Arc::clone(&notices),
            refusals: LineBudget::new(REFUSAL_LINES),
            refused_accounts: Arc::clone(&refused_accounts),
            lost_neighbours: LineBudget::new(LOST_NEIGHBOUR_LINES),
            no_responses: LineBudget::new(NO_RESPONSE_LINES),
            stop,
            lease_valid: Arc::clone(&lease_valid),
            pause_detector: Arc::clone(&pause_detector),
            overload: Arc::clone(&overload_flags),
            handover: Arc::clone(&handover),
            held: Arc::clone(&held),
            draw,
        });
        let in_force = config.subscribe();
        let limits: Limits = Arc::new(move || {
            let config = in_force.borrow();
            let bounds = config.as_ref().map(|c| c.bounds());
            let header_bytes = bounds.map_or(HEADER_BYTES, |b| b.header_bytes.min(HEADER_BYTES));
            ConnectionLimits {
                header_bytes: (header_bytes + HEADER_MARGIN).min(HEADER_BYTES),
                read_timeout: bounds.map_or(READ_TIMEOUT, |b| b.read_timeout()),
            }
        });
        let Listeners {
            callers,
            handed_over,
        } = listeners;
        let acceptor = Acceptor {
            connections: Arc::clone(&connections),
            limits,
            gw: gateway,
            slots: ConnectionSlots::new(usize::MAX),
        };
        let handed_over = acceptor.clone().accept_handed_over(handed_over);
        let callers = acceptor.accept_callers(callers);
        cx.runtime.spawn(callers);
        cx.runtime.spawn(handed_over);
        let domain = cx.identity.domain.as_str().into();
        let lease = ConfigLease::new(settings.times.lease);
        Ok(Self {
            boot_clock: BootClock,
            dialect: settings.dialect,
            times: settings.times,
            state: State::new(
                domain,
                cx.identity.incarnation.0,
                RetryBudget::succeeding(settings.retries, cx.now()),
                lease,
                notices,
            ),
            links,
            endpoint,
            config,
            number: 0,
            config_body: Vec::new(),
            needs_whole_config: false,
            pool,
            connections,
            config_hold: held.hold(HeldKind::Configuration, None, 0, 0),
            held,
            is_full: false,
            ready: Arc::default(),
            stopping: None,
            stop_times,
            lease_valid,
            pause_detector,
            overload: Overload::default(),
            overload_flags,
            handover,
            handover_address: settings.handover_address,
            is_handing_over: false,
            accepts_handover: false,
            refused_accounts,
            refused_due: Duration::ZERO,
            broken_off_lines: LineBudget::new(BROKEN_OFF_LINES),
            report_due: Duration::ZERO,
            earlier_retries_due: cx.now() + EARLIER_RETRIES_AFTER,
            report_period: reporting_period(1),
            own_reports: OwnReports::default(),
            is_load_old: false,
            decoder: LoadDecoder::default(),
            decodes_from: None,
            last_upstream_update: Duration::ZERO,
            lookups: StreamLookups::default(),
            moves: StreamMoves::default(),
            line: WaitingLine::default(),
            line_due: Duration::ZERO,
            begun_lately: VecDeque::new(),
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
            ForwardMsg::Fabric(event) => self.on_fabric_event(now, event),
            ForwardMsg::Place(req, tx) => self.place_or_wait(now, req, tx),
            ForwardMsg::FindOrigin(req, tx) => self.find_origin(now, req, tx),
            ForwardMsg::ConfirmOrigin(ticket, tx) => self.confirm_origin(now, &ticket, tx),
            ForwardMsg::FirstEvent(ticket) => {
                self.state.on_first_event(now, &ticket);
                self.report_moved_streams(now);
                self.place_waiting(now);
            }
            ForwardMsg::Finished {
                ticket,
                has_started,
                outcome,
            } => {
                self.on_finished(now, &ticket, has_started, outcome);
                self.place_waiting(now);
            }
            ForwardMsg::StreamPause(pause) => self.on_stream_pause(now, &pause),
            ForwardMsg::Silence(silence) => self.state.on_silence(now, &silence),
            ForwardMsg::SchedulingDelay(delay) => self.on_scheduling_delay(now, delay),
            ForwardMsg::Seeds(seeds) => self.links.set_seeds(&self.endpoint, &seeds),
            ForwardMsg::Stop => self.start_shutdown(now),
        }
    }

    /// Handles the end of an exchange.
    fn on_finished(&mut self, now: Duration, ticket: &Ticket, has_started: bool, outcome: Outcome) {
        self.state.on_finished(now, ticket, has_started, outcome);
        let is_suspect = outcome == Outcome::Broken && !has_started;
        if is_suspect && self.broken_off_lines.take(now) {
            self.log_broken_off(ticket);
        }
    }

    fn log_broken_off(&self, ticket: &Ticket) {
        let content = format!("{:016x}", ticket.content);
        let crashed_runs = self.state.poison.crashed_runs(ticket.content);
        let segments = ticket.prompt.shared.iter();
        let segments: Vec<String> = segments.map(|s| format!("{:x}", s.id)).collect();
        let segments = segments.join(",");
        self.cx.log(
            &events::UPSTREAM_BROKE_OFF,
            &[
                ("upstream", &ticket.upstream),
                ("content", &content),
                ("crashed_runs", &crashed_runs),
                ("segments", &segments),
            ],
        );
    }

    fn place(&mut self, now: Duration, req: &PlaceRequest) -> Result<Ticket, PlacementError> {
        if let Some(stopping) = self.stopping {
            let end = stopping.since + self.time_until_abort();
            if now + req.prompt.max_answer_time() > end {
                return Err(PlacementError::Stopping);
            }
        }
        let placed = self
            .state
            .place(now, self.boot_clock.now(), self.number, req);
        self.report_retries(now);
        self.report_moved_streams(now);
        placed
    }

    fn tick(&mut self, cx: CX![]) {
        let now = self.cx.now();
        after!(TICK, [cx], tick());
        if self.pause_detector.tick(self.boot_clock.now()) {
            self.cx.log(&events::PROCESS_PAUSED, &[]);
        }
        // The lease is measured by the clock that includes time while the host is suspended.
        let current = if self.needs_whole_config {
            0
        } else {
            self.number
        };
        self.links.request_lease(self.boot_clock.now(), current);
        self.measure_scheduling_delay();
        self.expire_lookups(now);
        self.moves.expire(now);
        self.place_waiting(now);
        self.report(now);
        self.check_load_age(now);
        self.log_refused_accounts(now);
        self.expire_upstreams(now);
        self.state.expire_notices(now);
        self.observe_held();
        self.observe_running();
        self.observe_fleet();
        self.observe_earlier_retries(now);
        self.update_lease_state();
        self.report_handover();
        self.continue_shutdown(cx, now);
    }

    fn update_lease_state(&mut self) {
        let is_valid = self
            .state
            .lease
            .is_valid(self.boot_clock.now(), self.number);
        if is_valid != self.lease_valid.swap(is_valid, Ordering::Relaxed) {
            let event = if is_valid {
                &events::LEASE_REGAINED
            } else {
                &events::LEASE_LOST
            };
            let (links, number) = (self.links.count(), self.number);
            self.cx
                .log(event, &[("config", &number), ("control_hosts", &links)]);
        }
        let overloaded = self.overload_flags.is_overloaded();
        let accepts = !overloaded && !self.is_full;
        let ready = is_valid && self.number > 0 && self.stopping.is_none() && accepts;
        self.ready.store(ready, Ordering::Relaxed);
    }

    fn end(&mut self, cx: CX![]) {
        self.cx.log(&events::DAEMON_STOPPED, &[]);
        self.endpoint.close();
        cx.shutdown(StopCause::Stopped);
        stop!(cx);
    }
}
