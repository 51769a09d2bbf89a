//! Handle to a control daemon that runs on its own thread.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use coltsfootnotch_fabric::Traffic;
use stakker::sync::Channel;
use tokio::sync::oneshot;

use super::ControlError;
use super::input::{Input, Stop};
use super::seeded::{Call, CallReply};

/// State shared between the daemon's thread and its handle.
#[derive(Debug, Default)]
pub(super) struct Shared {
    ready: AtomicBool,
    failure: Mutex<Option<ControlError>>,
}

impl Shared {
    pub(super) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(super) fn fail(&self, error: ControlError) {
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.get_or_insert(error);
    }

    fn take_failure(&self) -> Option<ControlError> {
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.take()
    }
}

/// A running control daemon. Dropping the handle doesn't stop it; see [`ControlHandle::stop`].
pub struct ControlHandle {
    pub(super) address: SocketAddr,
    pub(super) traffic: Arc<Traffic>,
    pub(super) channel: Channel<Input>,
    pub(super) shared: Arc<Shared>,
    pub(super) thread: JoinHandle<()>,
}

impl ControlHandle {
    /// The address of the fleet endpoint.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the endpoint's traffic.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// A closure that reports whether the daemon knows a leader and is not stopping, for `/readyz`.
    pub fn readiness(&self) -> impl Fn() -> bool + Send + Sync + use<> {
        let shared = Arc::clone(&self.shared);
        move || shared.ready.load(Ordering::Relaxed)
    }

    /// A closure that submits calls of operators and upstreams; the reply channel closes without a reply
    /// if the daemon stops.
    pub fn caller(
        &self,
    ) -> impl Fn(Call) -> oneshot::Receiver<CallReply> + Clone + Send + Sync + 'static + use<> {
        let channel = self.channel.clone();
        move |call| {
            let (tx, rx) = oneshot::channel();
            channel.send(Input::Call(call, tx));
            rx
        }
    }

    /// A closure that replaces the daemon's seed addresses.
    pub fn seed_updater(&self) -> impl Fn(Vec<SocketAddr>) + Send + 'static + use<> {
        let channel = self.channel.clone();
        move |seeds| {
            channel.send(Input::Seeds(seeds));
        }
    }

    /// Starts a graceful stop, which transfers the leadership first.
    pub fn stop(&self) {
        self.channel.send(Input::Stop(Stop::Graceful));
    }

    /// A closure that starts a graceful stop.
    pub fn stopper(&self) -> impl Fn() + Send + 'static + use<> {
        let channel = self.channel.clone();
        move || {
            channel.send(Input::Stop(Stop::Graceful));
        }
    }

    /// Stops the daemon at once, as a second signal does. Acknowledged writes are not lost.
    pub fn kill(&self) {
        self.channel.send(Input::Stop(Stop::Now));
    }

    /// Whether the daemon has stopped.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the daemon has stopped and its data folder is released.
    ///
    /// # Errors
    /// Returns the error that stopped the daemon, such as a failed sync.
    pub fn join(self) -> Result<(), ControlError> {
        if self.thread.join().is_err() {
            let source = io::Error::other("the daemon's thread panicked");
            return Err(ControlError::Thread(source));
        }
        self.shared.take_failure().map_or(Ok(()), Err)
    }
}
