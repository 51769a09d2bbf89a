//! A running entry, as whoever started it sees it.

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

/// Time for the daemon to answer; one that ends meanwhile does not.
const LOOK_PATIENCE: Duration = Duration::from_secs(1);

/// What an entry sees of the sidecars.
#[derive(Debug, Default)]
pub(super) struct Seen {
    pub(super) sidecars: usize,
    pub(super) pools: BTreeSet<PoolName>,
}

/// A running entry.
pub struct EntryHandle {
    tx: Channel<EntryMsg>,
    thread: JoinHandle<()>,
    callers: SocketAddr,
    fleet: SocketAddr,
    ready: Arc<AtomicBool>,
    traffic: Arc<Traffic>,
}

impl EntryHandle {
    /// The address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The address of its fleet endpoint.
    #[must_use]
    pub fn fleet(&self) -> SocketAddr {
        self.fleet
    }

    /// Whether callers may be sent here: a closure for the readiness probe.
    pub fn ready(&self) -> impl Fn() -> bool + Send + Sync + 'static + use<> {
        let ready = Arc::clone(&self.ready);
        move || ready.load(Ordering::Relaxed)
    }

    /// Whether every one of the pools has a connected sidecar.
    #[must_use]
    pub fn serving(&self, pools: &[PoolName]) -> bool {
        let seen = self.look();
        pools.iter().all(|pool| seen.pools.contains(pool))
    }

    /// Sidecars connected.
    #[must_use]
    pub fn connected(&self) -> usize {
        self.look().sidecars
    }

    /// Asks the daemon what it sees; nothing when it has ended.
    fn look(&self) -> Seen {
        let (tx, rx) = mpsc::channel();
        self.tx.send(EntryMsg::Look(tx));
        rx.recv_timeout(LOOK_PATIENCE).unwrap_or_default()
    }

    /// Control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Starts a graceful shutdown: requests in progress finish, no new ones are taken.
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

    /// Waits until the daemon has ended.
    pub fn join(self) {
        // The thread's panic was already reported by its hook; there is nothing to add.
        let _ended = self.thread.join();
    }
}

/// Starts an entry.
///
/// # Errors
/// Returns a [`StartError`] when an address can't be bound or the credentials can't be used.
pub fn start(cx: HostCx, cfg: EntryConfig) -> Result<EntryHandle, StartError> {
    let (starter, outcome) = StartReporter::new();
    let name = format!("entry-{}", cx.identity.host);
    let thread = event_loop::spawn(&name, move |stakker: &mut Stakker| {
        actor!(
            stakker,
            EntryActor::init(cx, cfg, starter),
            ret_shutdown!(stakker)
        )
    })?;
    let started = outcome.recv().map_err(|_| StartError::Ended)??;
    Ok(EntryHandle {
        tx: started.tx,
        thread,
        callers: started.callers,
        fleet: started.fleet,
        ready: started.ready,
        traffic: started.traffic,
    })
}

/// What the daemon's thread hands out once it runs.
pub(super) struct Started {
    pub(super) tx: Channel<EntryMsg>,
    pub(super) callers: SocketAddr,
    pub(super) fleet: SocketAddr,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) traffic: Arc<Traffic>,
}
