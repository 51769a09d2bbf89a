//! A running sidecar, as whoever started it sees it.

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

/// A running sidecar.
pub struct SidecarHandle {
    tx: Channel<SidecarMsg>,
    thread: JoinHandle<()>,
    announce: SocketAddr,
    fleet: SocketAddr,
    ready: Arc<AtomicBool>,
    traffic: Arc<Traffic>,
}

impl SidecarHandle {
    /// The address for announcements.
    #[must_use]
    pub fn announce(&self) -> SocketAddr {
        self.announce
    }

    /// The address of its fleet endpoint.
    #[must_use]
    pub fn fleet(&self) -> SocketAddr {
        self.fleet
    }

    /// Control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Starts a graceful shutdown: attempts in progress finish, no new ones are pulled.
    pub fn stop(&self) {
        self.tx.send(SidecarMsg::Stop);
    }

    /// A closure that starts a graceful shutdown.
    pub fn stopper(&self) -> impl Fn() + Send + 'static + use<> {
        let tx = self.tx.clone();
        move || {
            tx.send(SidecarMsg::Stop);
        }
    }

    /// Whether it has a configuration and is not leaving: a closure for the readiness probe.
    pub fn ready(&self) -> impl Fn() -> bool + Send + Sync + 'static + use<> {
        let ready = Arc::clone(&self.ready);
        move || ready.load(Ordering::Relaxed)
    }

    /// Waits until the daemon has ended.
    pub fn join(self) {
        // The thread's panic was already reported by its hook; there is nothing to add.
        let _ended = self.thread.join();
    }
}

/// Starts a sidecar.
///
/// # Errors
/// Returns a [`StartError`] when an address can't be bound or the credentials can't be used.
pub fn start(cx: HostCx, cfg: SidecarConfig) -> Result<SidecarHandle, StartError> {
    let (starter, outcome) = StartReporter::new();
    let name = format!("sidecar-{}", cx.identity.host);
    let thread = event_loop::spawn(&name, move |stakker: &mut Stakker| {
        actor!(
            stakker,
            SidecarActor::init(cx, cfg, starter),
            ret_shutdown!(stakker)
        )
    })?;
    let started = outcome.recv().map_err(|_| StartError::Ended)??;
    Ok(SidecarHandle {
        tx: started.tx,
        thread,
        announce: started.announce,
        fleet: started.fleet,
        ready: started.ready,
        traffic: started.traffic,
    })
}

/// What the daemon's thread hands out once it runs.
pub(super) struct Started {
    pub(super) tx: Channel<SidecarMsg>,
    pub(super) announce: SocketAddr,
    pub(super) fleet: SocketAddr,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) traffic: Arc<Traffic>,
}
