//! Acceptance of callers' connections, which are served here or handed over to a neighbour.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};

use super::handover::{HandedOver, LostNeighbour, connect, probe_peer, relay};
use super::server::Gateway;
use crate::util::connections::OpenConnection;
use crate::util::events;
use crate::util::http_server::{ServerLimits, accept_connections, prepare, serve_connection};

/// Neighbours tried before a connection is served here.
const HANDOVER_ATTEMPTS: usize = 2;

/// Timeouts and size limits of connections; read when a connection is accepted, since they change with
/// the configuration.
pub(super) type Limits = Arc<dyn Fn() -> ServerLimits + Send + Sync>;

/// Accepts connections of callers until its task is aborted.
pub(super) async fn accept_callers(listener: TcpListener, limits: Limits, gw: Arc<Gateway>) {
    let max = limits().connections;
    let open = Arc::clone(&gw.connections);
    accept_connections(listener, max, open, move |stream, peer, open| {
        serve_caller(stream, peer, open, limits(), Arc::clone(&gw))
    })
    .await;
}

/// Accepts connections that neighbours hand over, until its task is aborted. They are served here in any
/// case, so that a connection is handed over at most once.
pub(super) async fn accept_handed_over(listener: TcpListener, limits: Limits, gw: Arc<Gateway>) {
    let max = limits().connections;
    let open = Arc::clone(&gw.connections);
    accept_connections(listener, max, open, move |stream, peer, open| {
        serve_handed_over(stream, peer, open, limits(), Arc::clone(&gw))
    })
    .await;
}

async fn serve_caller(
    stream: TcpStream,
    peer: SocketAddr,
    open: OpenConnection,
    limits: ServerLimits,
    gw: Arc<Gateway>,
) {
    if prepare(&stream).is_err() {
        return;
    }
    if gw.handover.should_hand_over((gw.draw)())
        && let Some(neighbour) = connect_neighbour(&gw).await
    {
        gw.cx
            .metrics
            .counter("connections_handed_over", &[])
            .increment(1);
        let started = Instant::now();
        let address = neighbour.peer_addr().ok();
        // Boxed, since its buffers would otherwise be part of the task of each connection that is served
        // here. A broken connection to the caller is its own.
        let relayed = Box::pin(relay(stream, neighbour, gw.handover.ended())).await;
        if let Ok(Some(lost)) = relayed {
            log_lost_neighbour(&gw, address, lost, started.elapsed());
        }
        return;
    }
    let handler = move |req, peer| Arc::clone(&gw).handle(req, peer);
    serve_connection(stream, peer, limits, open.closing(), &handler).await;
}

fn log_lost_neighbour(
    gw: &Gateway,
    address: Option<SocketAddr>,
    lost: LostNeighbour,
    age: Duration,
) {
    if !gw.lost_neighbours.take(gw.cx.now()) {
        gw.cx.metrics.count_event(&events::NEIGHBOUR_LOST);
        return;
    }
    let address = address.map_or_else(|| "-".to_owned(), |address| address.to_string());
    let how = if lost.is_broken { "broken" } else { "closed" };
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

async fn serve_handed_over(
    stream: TcpStream,
    peer: SocketAddr,
    open: OpenConnection,
    limits: ServerLimits,
    gw: Arc<Gateway>,
) {
    if prepare(&stream).and_then(|()| probe_peer(&stream)).is_err() {
        return;
    }
    let stream = HandedOver::new(stream);
    let close_requested = stream.close_requested();
    let closing = async {
        tokio::select! {
            () = close_requested.notified() => {}
            () = open.closing() => {}
        }
    };
    let handler = move |req, peer| Arc::clone(&gw).handle(req, peer);
    serve_connection(stream, peer, limits, closing, &handler).await;
}
