//! Starts an entry and controls a running one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use coltsfootnotch_fabric::Traffic;
use coltsfootnotch_types::prelude::*;
use stakker::sync::Channel;
use stakker::{Stakker, actor, ret_shutdown};

use super::EntryConfig;
use super::actor::{EntryActor, EntryMsg};
use crate::core::HostCx;
use crate::daemon::{StartError, StartReporter};
use crate::util::event_loop;

/// Time within which the daemon must reply; a stopped daemon never does.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(1);

/// The connected sidecars and the pools that they serve.
#[derive(Debug, Default)]
pub(super) struct ConnectionSummary {
    pub(super) sidecars: usize,
    pub(super) pools: BTreeSet<PoolName>,
}

/// Handle of a running entry.
pub struct EntryHandle {
    tx: Channel<EntryMsg>,
    thread: JoinHandle<()>,
    http_address: SocketAddr,
    fleet_address: SocketAddr,
    ready: Arc<AtomicBool>,
    traffic: Arc<Traffic>,
}

impl EntryHandle {
    /// The bound address of the HTTP listener for callers.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// The bound address of the fleet endpoint (UDP).
    #[must_use]
    pub fn fleet_address(&self) -> SocketAddr {
        self.fleet_address
    }

    /// A closure for the readiness probe, which returns whether the entry accepts requests.
    pub fn readiness(&self) -> impl Fn() -> bool + Send + Sync + 'static + use<> {
        let ready = Arc::clone(&self.ready);
        move || ready.load(Ordering::Relaxed)
    }

    /// Whether each of the pools has a connected sidecar.
    #[must_use]
    pub fn has_sidecars_for(&self, pools: &[PoolName]) -> bool {
        let summary = self.connection_summary();
        pools.iter().all(|pool| summary.pools.contains(pool))
    }

    /// Number of connected sidecars.
    #[must_use]
    pub fn connected_sidecars(&self) -> usize {
        self.connection_summary().sidecars
    }

    /// Queries the daemon; the summary is empty when the daemon has stopped.
    fn connection_summary(&self) -> ConnectionSummary {
        let (tx, rx) = mpsc::channel();
        self.tx.send(EntryMsg::ConnectionSummary(tx));
        rx.recv_timeout(SUMMARY_TIMEOUT).unwrap_or_default()
    }

    /// Counters of the control traffic since the start.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Starts a graceful shutdown: requests in progress finish, new ones are refused.
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

    /// Waits until the daemon has stopped.
    pub fn join(self) {
        // The panic hook has already reported a panic of the thread.
        let _result = self.thread.join();
    }
}

/// Starts an entry.
///
/// # Errors
/// Returns a [`StartError`] when an address can't be bound or the credentials can't be used.
pub fn start(cx: HostCx, cfg: EntryConfig) -> Result<EntryHandle, StartError> {
    let (start_reporter, outcome) = StartReporter::new();
    let name = format!("entry-{}", cx.identity.host);
    let thread = event_loop::spawn(&name, move |stakker: &mut Stakker| {
        actor!(
            stakker,
            EntryActor::init(cx, cfg, start_reporter),
            ret_shutdown!(stakker)
        )
    })?;
    let started = outcome.recv().map_err(|_| StartError::Ended)??;
    Ok(EntryHandle {
        tx: started.tx,
        thread,
        http_address: started.http_address,
        fleet_address: started.fleet_address,
        ready: started.ready,
        traffic: started.traffic,
    })
}

/// What the daemon's thread returns once it has started.
pub(super) struct StartedEntry {
    pub(super) tx: Channel<EntryMsg>,
    pub(super) http_address: SocketAddr,
    pub(super) fleet_address: SocketAddr,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) traffic: Arc<Traffic>,
}
