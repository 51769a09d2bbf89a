//! The listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use coltsfootnotch_manifest::ConfigIndex;
use stakker::sync::Channel;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::EntryConfig;
use super::actor::EntryMsg;
use super::callers::Callers;
use crate::core::HostCx;
use crate::daemon::StartError;
use crate::util::connections::Connections;
use crate::util::http_server::{ServerLimits, serve_and_close};

/// What the actor shares with the tasks of callers' connections.
pub(super) struct Shared {
    pub(super) config: watch::Receiver<Option<Arc<ConfigIndex>>>,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) next_request: Arc<AtomicU64>,
    pub(super) connections: Arc<Connections>,
}

/// Starts to take callers; gives the address bound.
pub(super) fn listen(
    cx: &HostCx,
    cfg: &EntryConfig,
    tx: &Channel<EntryMsg>,
    shared: Shared,
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
        config: shared.config,
        tx: tx.clone(),
        limits: cfg.limits.clone(),
        ready: shared.ready,
        memory: Callers::memory_of(&cfg.limits),
        next_request: shared.next_request,
    });
    let handler = move |req, peer| Arc::clone(&callers).answer(req, peer);
    let connections = shared.connections;
    cx.runtime.spawn(serve_and_close(
        listener,
        limits,
        move || limits.read_timeout,
        connections,
        handler,
    ));
    Ok(address)
}
