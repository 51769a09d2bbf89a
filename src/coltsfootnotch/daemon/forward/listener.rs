//! Acceptance of callers' connections, which are served here or handed over to a neighbour.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch_forward::held::{HeldKind, Hold, Load};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::costs::{CONNECTION_BYTES, RELAY_BYTES, RELAY_HEAD_BYTES};
use super::handover::{HandedOver, RelayEnd, connect, probe_peer, relay};
use super::server::Gateway;
use super::stop_times::StopNotice;
use crate::util::connection_io::ServerSocket;
use crate::util::connection_slots::{ConnectionSlots, Slot};
use crate::util::connections::{Connections, OpenConnection};
use crate::util::events;
use crate::util::http_server::{
    ConnectionCx, ConnectionLimits, accept_connections, prepare, serve_in_slot,
};
use crate::util::refused_connection::{MAX_WAITED_FOR, refuse_connection};

/// Neighbours tried before a connection is served here.
const HANDOVER_ATTEMPTS: usize = 2;

/// Timeouts and size limits of connections, which change with the configuration.
pub(super) type Limits = Arc<dyn Fn() -> ConnectionLimits + Send + Sync>;

/// What the tasks that accept connections share.
#[derive(Clone)]
pub(super) struct Acceptor {
    pub(super) connections: Arc<Connections>,
    pub(super) limits: Limits,
    pub(super) gw: Arc<Gateway>,
    /// Connections that are served here, whose number is limited by what the host holds.
    pub(super) slots: Arc<ConnectionSlots>,
}

impl Acceptor {
    /// Accepts connections of callers until the connections are told to close.
    pub(super) async fn accept_callers(self, listener: TcpListener) {
        let refusals = Arc::new(Semaphore::new(MAX_WAITED_FOR));
        let acceptor = self.clone();
        let serve = move |stream, peer, open, hold| {
            let conn = Accepted { peer, open, hold };
            serve_caller(stream, conn, acceptor.clone(), Arc::clone(&refusals))
        };
        let admit = || admit(&self.gw, &self.slots);
        accept_connections(listener, admit, Arc::clone(&self.connections), serve).await;
    }

    /// Accepts connections that neighbours hand over, until the connections are told to close. They are served
    /// here in any case, so that a connection is handed over at most once.
    pub(super) async fn accept_handed_over(self, listener: TcpListener) {
        let acceptor = self.clone();
        let serve = move |stream, peer, open, hold| {
            let conn = Accepted { peer, open, hold };
            serve_handed_over(stream, conn, acceptor.clone())
        };
        let admit = || admit(&self.gw, &self.slots);
        accept_connections(listener, admit, Arc::clone(&self.connections), serve).await;
    }

    /// Serves a connection here until it ends, or is closed for a new one.
    async fn serve<S: AsyncRead + AsyncWrite + ServerSocket + Unpin>(
        &self,
        stream: S,
        conn: Accepted,
        closing: impl Future<Output = ()>,
        relay_stop: Option<StopNotice>,
    ) {
        let Accepted { peer, open, hold } = conn;
        let Some(slot) = self.slots.take() else {
            return;
        };
        let cx = connection_cx(peer, &slot, hold, &self.gw);
        let handler = |req, _peer| Arc::clone(&self.gw).handle(req, relay_stop.clone());
        let limits = || (self.limits)();
        serve_in_slot(stream, cx, limits, &open, &slot, closing, &handler).await;
    }
}

/// A connection that was accepted.
struct Accepted {
    peer: SocketAddr,
    open: OpenConnection,
    hold: Hold,
}

/// Memory and socket of a new connection. If no more may be held, the connection that has waited for its caller for the
/// longest is closed for it; none if no connection waits.
fn admit(gw: &Gateway, slots: &ConnectionSlots) -> Option<Hold> {
    if gw.held.load() >= Load::Full && !slots.evict() {
        count_closed_unread(gw);
        return None;
    }
    Some(
        gw.held
            .hold(HeldKind::Connection, None, CONNECTION_BYTES, 1),
    )
}

fn count_closed_unread(gw: &Gateway) {
    let metrics = &gw.cx.metrics;
    metrics
        .counter("connections_closed_unread", &[])
        .increment(1);
}

async fn serve_caller(
    stream: TcpStream,
    mut conn: Accepted,
    acceptor: Acceptor,
    refusals: Arc<Semaphore>,
) {
    let gw = &acceptor.gw;
    if prepare(&stream).is_err() {
        return;
    }
    let hands_over = should_hand_over(gw);
    if hands_over && gw.overload.should_refuse((gw.draw)()) {
        // Even handing over takes more time than this host has, and a fixed refusal takes less: with it the
        // caller knows that it may reach another host at once.
        count_closed_unread(gw);
        // Boxed, as each connection that is served holds the space of its timer.
        Box::pin(refuse_connection(stream, &refusals)).await;
        return;
    }
    if hands_over && let Some(neighbour) = connect_neighbour(gw).await {
        gw.cx
            .metrics
            .counter("connections_handed_over", &[])
            .increment(1);
        conn.hold.resize(RELAY_BYTES);
        conn.hold.add_sockets(1);
        let is_single = gw.held.load() >= Load::Crowded;
        let started = Instant::now();
        let address = neighbour.peer_addr().ok();
        let closing = async {
            gw.handover.ended().await;
            let stop = *gw.stop.borrow();
            stop.map(|stop| stop.time_left(Instant::now()))
        };
        let aborting = conn.open.aborting();
        // Boxed, since its buffers would otherwise be part of the task of each connection that is served
        // here. A broken connection to the caller is its own.
        let mut reserve_more = reserve_buffer(conn.hold, gw);
        let reserve = |bytes: u64| reserve_more(bytes.saturating_sub(RELAY_HEAD_BYTES));
        let relaying = relay(stream, neighbour, closing, aborting, is_single, reserve);
        let relayed = Box::pin(relaying).await;
        match relayed {
            Ok(RelayEnd::NeighbourLost { is_broken }) => {
                log_lost_neighbour(gw, address, is_broken, started.elapsed());
            }
            Ok(RelayEnd::Refused) => {
                let metrics = &gw.cx.metrics;
                metrics
                    .counter("relayed_requests_refused", &[])
                    .increment(1);
            }
            Ok(RelayEnd::Closed) | Err(_) => {}
        }
        return;
    }
    let never = std::future::pending();
    acceptor.serve(stream, conn, never, None).await;
}

/// A connection whose buffer is counted with what `hold` holds.
fn connection_cx(peer: SocketAddr, slot: &Slot, hold: Hold, gw: &Gateway) -> ConnectionCx {
    ConnectionCx::with_slot(peer, slot).reserve_buffer(reserve_buffer(hold, gw))
}

/// Bytes by which a head may outgrow the first buffer while requests are accepted: one that arrives in parts does.
const PARTIAL_HEAD_BYTES: u64 = 8 * 1024;

/// Holds as many bytes besides those of `hold` as it is called with, if there is room for those that are more.
fn reserve_buffer(mut hold: Hold, gw: &Gateway) -> impl FnMut(u64) -> bool + Send + 'static {
    let (held, others) = (Arc::clone(&gw.held), hold.bytes());
    move |bytes| {
        let more = (others + bytes).saturating_sub(hold.bytes());
        let is_short = bytes <= PARTIAL_HEAD_BYTES && held.memory_load() < Load::Refusing;
        let has_room = more == 0 || is_short || held.has_room_for_head(more);
        if has_room {
            hold.resize(others + bytes);
        }
        has_room
    }
}

/// Whether to hand a new connection over: this host has more callers than it can serve, or holds nearly as
/// much for them as it may.
fn should_hand_over(gw: &Gateway) -> bool {
    // A relayed connection takes more sockets than a refusal, and less memory than a served one.
    if gw.held.load() >= Load::Refusing {
        return false;
    }
    if gw.held.memory_load() >= Load::Crowded {
        return gw.handover.can_hand_over();
    }
    gw.handover.should_hand_over((gw.draw)())
}

fn log_lost_neighbour(gw: &Gateway, address: Option<SocketAddr>, is_broken: bool, age: Duration) {
    if !gw.lost_neighbours.take(gw.cx.now()) {
        gw.cx.metrics.count_event(&events::NEIGHBOUR_LOST);
        return;
    }
    let address = address.map_or_else(|| "-".to_owned(), |address| address.to_string());
    let how = if is_broken { "broken" } else { "closed" };
    let age_ms = age.as_millis();
    gw.cx.log(
        &events::NEIGHBOUR_LOST,
        &[
            ("neighbour", &address),
            ("connection", &how),
            ("age_ms", &age_ms),
        ],
    );
}

async fn connect_neighbour(gw: &Gateway) -> Option<TcpStream> {
    for _ in 0..HANDOVER_ATTEMPTS {
        let neighbour = gw.handover.pick((gw.draw)())?;
        match connect(neighbour).await {
            Ok(stream) => return Some(stream),
            Err(e) => log::debug!("neighbour {neighbour} takes no connection over: {e}"),
        }
    }
    None
}

async fn serve_handed_over(stream: TcpStream, conn: Accepted, acceptor: Acceptor) {
    if prepare(&stream).and_then(|()| probe_peer(&stream)).is_err() {
        return;
    }
    let stream = HandedOver::new(stream);
    let close_requested = stream.close_requested();
    let closing = async { close_requested.notified().await };
    let relay_stop = stream.stop_notice();
    acceptor
        .serve(stream, conn, closing, Some(relay_stop))
        .await;
}
