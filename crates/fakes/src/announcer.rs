//! A thread that announces an upstream to the sidecar of its host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use coltsfootnotch_wire::announce::AnnouncementBody;

use crate::sleep::sleep_unless;

/// Timeout of an announcement; shorter than the default time to live.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Configuration of an [`Announcer`].
#[derive(Debug, Clone, Copy)]
pub struct AnnounceConfig {
    /// Address on which the sidecar accepts announcements.
    pub sidecar: SocketAddr,
    /// Interval between announcements.
    pub every: Duration,
    /// Time to live of each announcement.
    pub ttl: Duration,
}

impl AnnounceConfig {
    /// One announcement per second with a time to live of three seconds, so that two may be lost.
    #[must_use]
    pub fn new(sidecar: SocketAddr) -> Self {
        Self {
            sidecar,
            every: Duration::from_secs(1),
            ttl: Duration::from_secs(3),
        }
    }
}

/// A running announcer, stopped on drop.
pub struct Announcer {
    stopping: Arc<AtomicBool>,
    accepted: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Announcer {
    /// Posts the result of `body` to the sidecar, immediately and then at every interval.
    ///
    /// # Errors
    /// Returns an error when the thread can't be started.
    pub fn start(
        cfg: AnnounceConfig,
        mut body: impl FnMut() -> AnnouncementBody + Send + 'static,
    ) -> io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicU64::new(0));
        let (stopping_clone, accepted_clone) = (Arc::clone(&stopping), Arc::clone(&accepted));
        let url = format!("http://{}/v1/announce", cfg.sidecar);
        let thread = thread::Builder::new()
            .name("fake-announcer".into())
            .spawn(move || {
                let agent = agent();
                while !stopping_clone.load(Ordering::SeqCst) {
                    // An unreachable sidecar gets the next announcement.
                    if post(&agent, &url, &body()) {
                        accepted_clone.fetch_add(1, Ordering::SeqCst);
                    }
                    sleep_unless(cfg.every, || stopping_clone.load(Ordering::SeqCst));
                }
            })?;
        Ok(Self {
            stopping,
            accepted,
            thread: Some(thread),
        })
    }

    /// Number of announcements that the sidecar accepted.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Stops without a final announcement; the sidecar removes the upstream when it expires.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .build()
        .into()
}

fn post(agent: &ureq::Agent, url: &str, body: &AnnouncementBody) -> bool {
    let Ok(json) = serde_json::to_vec(body) else {
        return false;
    };
    agent
        .post(url)
        .content_type("application/json")
        .send(&json[..])
        .is_ok()
}
