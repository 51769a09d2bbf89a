//! The HTTP listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use coltsfootnotch_manifest::ConfigIndex;
use stakker::sync::Channel;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::EntryConfig;
use super::actor::EntryMsg;
use super::request_handler::RequestHandler;
use crate::core::HostCx;
use crate::daemon::StartError;
use crate::util::connections::Connections;
use crate::util::http_server::{ServerLimits, serve_and_close};

/// Part of the memory for bodies and answers that heads may take besides, which need it for moments only.
const LONG_HEADS_DIVISOR: u64 = 4;

/// State that the actor shares with the tasks of caller connections.
pub(super) struct ListenerState {
    pub(super) config: watch::Receiver<Option<Arc<ConfigIndex>>>,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) next_request_number: Arc<AtomicU64>,
    pub(super) connections: Arc<Connections>,
}

/// Starts the listener and returns its bound address.
pub(super) fn listen(
    cx: &HostCx,
    cfg: &EntryConfig,
    tx: &Channel<EntryMsg>,
    state: ListenerState,
) -> Result<SocketAddr, StartError> {
    let listener = cx.runtime.block_on(TcpListener::bind(cfg.http_address))?;
    let address = listener.local_addr()?;
    let limits = ServerLimits {
        connections: cfg.limits.connections,
        header_bytes: cfg.limits.header_bytes,
        long_head_bytes: cfg.limits.memory_bytes / LONG_HEADS_DIVISOR,
        read_timeout: cfg.limits.read_timeout(),
        write_timeout: cfg.limits.write_timeout(),
    };
    let request_handler = Arc::new(RequestHandler {
        cx: cx.clone(),
        config: state.config,
        tx: tx.clone(),
        limits: cfg.limits.clone(),
        ready: state.ready,
        memory: RequestHandler::memory_semaphore(&cfg.limits),
        next_request_number: state.next_request_number,
    });
    let handler = move |req, peer| Arc::clone(&request_handler).handle(req, peer);
    let connections = state.connections;
    cx.runtime.spawn(serve_and_close(
        listener,
        limits,
        move || limits.read_timeout,
        connections,
        handler,
    ));
    Ok(address)
}
