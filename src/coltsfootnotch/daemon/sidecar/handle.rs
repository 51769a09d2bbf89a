//! Starts a sidecar and controls a running one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use coltsfootnotch_fabric::Traffic;
use stakker::sync::Channel;
use stakker::{Stakker, actor, ret_shutdown};

use super::SidecarConfig;
use super::actor::{SidecarActor, SidecarMsg};
use crate::core::HostCx;
use crate::daemon::{StartError, StartReporter};
use crate::util::event_loop;

/// Handle to a running sidecar.
pub struct SidecarHandle {
    tx: Channel<SidecarMsg>,
    thread: JoinHandle<()>,
    announce_address: SocketAddr,
    fleet_address: SocketAddr,
    ready: Arc<AtomicBool>,
    traffic: Arc<Traffic>,
}

impl SidecarHandle {
    /// The bound address for announcements.
    #[must_use]
    pub fn announce_address(&self) -> SocketAddr {
        self.announce_address
    }

    /// The bound address of the fleet endpoint.
    #[must_use]
    pub fn fleet_address(&self) -> SocketAddr {
        self.fleet_address
    }

    /// Counters of the control traffic.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Starts a graceful shutdown: attempts in progress finish, and no new ones are pulled.
    pub fn stop(&self) {
        self.tx.send(SidecarMsg::Stop);
    }

    /// Returns a closure that starts a graceful shutdown.
    pub fn stopper(&self) -> impl Fn() + Send + 'static + use<> {
        let tx = self.tx.clone();
        move || {
            tx.send(SidecarMsg::Stop);
        }
    }

    /// Returns a closure for the readiness probe: whether the sidecar has a configuration and is
    /// not shutting down.
    pub fn readiness(&self) -> impl Fn() -> bool + Send + Sync + 'static + use<> {
        let ready = Arc::clone(&self.ready);
        move || ready.load(Ordering::Relaxed)
    }

    /// Blocks until the thread of the sidecar has finished.
    pub fn join(self) {
        // A panic of the thread was already reported by the panic hook.
        let _joined = self.thread.join();
    }
}

/// Starts a sidecar on a thread of its own.
///
/// # Errors
/// Returns a [`StartError`] when an address can't be bound or the credentials can't be used.
pub fn start(cx: HostCx, cfg: SidecarConfig) -> Result<SidecarHandle, StartError> {
    let (start_reporter, outcome) = StartReporter::new();
    let name = format!("sidecar-{}", cx.identity.host);
    let thread = event_loop::spawn(&name, move |stakker: &mut Stakker| {
        actor!(
            stakker,
            SidecarActor::init(cx, cfg, start_reporter),
            ret_shutdown!(stakker)
        )
    })?;
    let started = outcome.recv().map_err(|_| StartError::Ended)??;
    Ok(SidecarHandle {
        tx: started.tx,
        thread,
        announce_address: started.announce_address,
        fleet_address: started.fleet_address,
        ready: started.ready,
        traffic: started.traffic,
    })
}

/// What the sidecar's thread returns once it runs.
pub(super) struct Started {
    pub(super) tx: Channel<SidecarMsg>,
    pub(super) announce_address: SocketAddr,
    pub(super) fleet_address: SocketAddr,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) traffic: Arc<Traffic>,
}
