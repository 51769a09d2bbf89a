//! Runs a daemon's actors.
//!
//! `stakker` is single-threaded: each daemon has one `Stakker`, on its own thread or as one task of
//! the runtime. Tasks that own sockets send to the actors through channels, which wake the loop.

use std::io;
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use stakker::Stakker;
use tokio::sync::Notify;

/// Maximum sleep without a timer; messages wake the loop earlier.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Runs a `Stakker` on its own thread until an actor shuts it down.
///
/// The value that `init` returns is held until then, since an actor terminates when its owner is
/// dropped.
///
/// # Errors
/// Returns an error when no thread can be started.
pub fn spawn<T>(
    name: &str,
    init: impl FnOnce(&mut Stakker) -> T + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(init))
}

fn run<T>(init: impl FnOnce(&mut Stakker) -> T) {
    let mut stakker = Stakker::new(Instant::now());
    let (wake, woken) = mpsc::sync_channel(1);
    stakker.set_poll_waker(move || {
        // A full channel already holds a wake-up.
        let _ = wake.try_send(());
    });
    let owner = init(&mut stakker);
    let mut idle_pending = stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, idle_pending);
        let activity = woken.recv_timeout(sleep).is_ok();
        if activity {
            stakker.poll_wake();
        }
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    drop(owner);
}

/// Runs a `Stakker` as one task of the runtime until an actor shuts it down.
///
/// On a host with a fraction of one core this avoids the thread switches and the system call that
/// each message to a separate thread costs.
pub async fn drive<T>(init: impl FnOnce(&mut Stakker) -> T) {
    let mut stakker = Stakker::new(Instant::now());
    let woken = Arc::new(Notify::new());
    let wake = Arc::clone(&woken);
    stakker.set_poll_waker(move || wake.notify_one());
    let owner = init(&mut stakker);
    let mut idle_pending = stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, idle_pending);
        let activity = tokio::time::timeout(sleep, woken.notified()).await.is_ok();
        if activity {
            stakker.poll_wake();
        }
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    drop(owner);
}
