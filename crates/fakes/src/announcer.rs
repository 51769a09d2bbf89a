//! The thread that announces an upstream to the sidecar on its host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use coltsfootnotch_wire::announce::AnnouncementBody;

use crate::clock::sleep_unless;

/// Longest wait for a sidecar's answer; shorter than the usual time to live.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Where and how often an upstream announces itself.
#[derive(Debug, Clone, Copy)]
pub struct AnnounceConfig {
    /// Address on which the sidecar takes announcements.
    pub sidecar: SocketAddr,
    /// Time between announcements.
    pub every: Duration,
    /// How long each announcement holds.
    pub ttl: Duration,
}

impl AnnounceConfig {
    /// One announcement a second that holds for three, so that two may be lost.
    #[must_use]
    pub fn new(sidecar: SocketAddr) -> Self {
        Self {
            sidecar,
            every: Duration::from_secs(1),
            ttl: Duration::from_secs(3),
        }
    }
}

/// A running announcer; stops on drop.
pub struct Announcer {
    stopping: Arc<AtomicBool>,
    accepted: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Announcer {
    /// Posts what `body` returns to the sidecar, at once and then at every interval.
    ///
    /// # Errors
    /// Returns the system's error when no thread can be started.
    pub fn start(
        cfg: AnnounceConfig,
        mut body: impl FnMut() -> AnnouncementBody + Send + 'static,
    ) -> io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicU64::new(0));
        let (stopping2, accepted2) = (Arc::clone(&stopping), Arc::clone(&accepted));
        let url = format!("http://{}/v1/announce", cfg.sidecar);
        let thread = thread::Builder::new()
            .name("fake-announcer".into())
            .spawn(move || {
                let agent = agent();
                while !stopping2.load(Ordering::SeqCst) {
                    // A sidecar that is away hears the next announcement.
                    if post(&agent, &url, &body()) {
                        accepted2.fetch_add(1, Ordering::SeqCst);
                    }
                    sleep_unless(cfg.every, || stopping2.load(Ordering::SeqCst));
                }
            })?;
        Ok(Self {
            stopping,
            accepted,
            thread: Some(thread),
        })
    }

    /// Number of announcements that the sidecar has accepted.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Ends the announcements without a last one; the sidecar forgets the upstream by its expiry.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
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
