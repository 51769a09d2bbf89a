//! The thread on which a daemon's actors live.
//!
//! `stakker` is single-threaded: each daemon has a thread of its own with one `Stakker`. Tasks that
//! own sockets run elsewhere and reach the actors through channels, which wake the thread.

use std::io;
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use stakker::Stakker;
use tokio::sync::Notify;

/// Longest sleep without a timer; a bound only, since messages wake the thread.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Runs a `Stakker` on a thread of its own until an actor shuts it down.
///
/// What `init` returns is kept until then: an actor ends when its owner is dropped.
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
    let kept = init(&mut stakker);
    let mut idle_pending = stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, idle_pending);
        let activity = woken.recv_timeout(sleep).is_ok();
        if activity {
            stakker.poll_wake();
        }
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    drop(kept);
}

/// Runs a `Stakker` as one task of the runtime, beside the tasks that own sockets, until an actor
/// shuts it down.
///
/// On a host with a small share of one core, a message to a thread of its own costs two switches of
/// threads and a system call each way; on one thread it costs none.
pub async fn drive<T>(init: impl FnOnce(&mut Stakker) -> T) {
    let mut stakker = Stakker::new(Instant::now());
    let woken = Arc::new(Notify::new());
    let wake = Arc::clone(&woken);
    stakker.set_poll_waker(move || wake.notify_one());
    let kept = init(&mut stakker);
    let mut idle_pending = stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, idle_pending);
        let activity = tokio::time::timeout(sleep, woken.notified()).await.is_ok();
        if activity {
            stakker.poll_wake();
        }
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    drop(kept);
}
