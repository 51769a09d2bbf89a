//! Simulated upstreams that run requests, stream answers, announce themselves, drain and crash.

mod response;
mod run;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootnotch_platform_peers::{announce_path, leave_path};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

pub use self::response::{EVENTS, answer_text, event_text};
use self::response::{Observers, respond};
use self::run::Run;
use crate::notices::Notices;
use crate::operator::ControlClient;
use crate::recorder::Recorder;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which a draining upstream keeps serving before it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
/// Versions of the software, which successive runs of an upstream have in turn.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Announced number of concurrent requests.
const CONCURRENCY: u32 = 32;

/// A simulated upstream: one address, with one run (incarnation) at a time.
pub struct Upstream {
    number: usize,
    service: &'static str,
    /// Address that it binds; `proxied` is that of its proxy.
    bound: SocketAddr,
    proxied: SocketAddr,
    recorder: Recorder,
    notices: Notices,
    control_client: ControlClient,
    /// Returns whether the routers are undisturbed, so that updates must reach them within the bound.
    is_undisturbed: Arc<dyn Fn() -> bool + Send + Sync>,
    runs: u64,
    current: Option<(Arc<Run>, Vec<JoinHandle<()>>)>,
}

impl Upstream {
    /// Creates an upstream that isn't running yet.
    #[must_use]
    pub fn new(
        number: usize,
        service: &'static str,
        (bound, proxied): (SocketAddr, SocketAddr),
        (recorder, notices): (Recorder, Notices),
        control_client: ControlClient,
        is_undisturbed: Arc<dyn Fn() -> bool + Send + Sync>,
    ) -> Self {
        Self {
            number,
            service,
            bound,
            proxied,
            recorder,
            notices,
            control_client,
            is_undisturbed,
            runs: 0,
            current: None,
        }
    }

    /// Starts a new run.
    ///
    /// # Errors
    /// Returns an error when its address can't be bound.
    pub async fn start(&mut self) -> io::Result<()> {
        self.runs += 1;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let run = Arc::new(Run {
            id: format!("u{}-{}", self.number, self.runs),
            service: self.service,
            version: self.version(self.runs),
            address: self.proxied,
            born_ms: since_epoch.map_err(io::Error::other)?.as_millis() as u64,
            sequence: AtomicU64::new(0),
            state: Mutex::default(),
        });
        let listener = bind(self.bound).await?;
        let observers = Arc::new(Observers {
            upstream: self.number,
            recorder: self.recorder.clone(),
            notices: self.notices.clone(),
            is_undisturbed: Arc::clone(&self.is_undisturbed),
        });
        let served_run = Arc::clone(&run);
        let serving = tokio::spawn(async move {
            // Dropping the set closes all connections, as a crash does.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let (run, observers) = (Arc::clone(&served_run), Arc::clone(&observers));
                let service = service_fn(move |req| {
                    let (run, observers) = (Arc::clone(&run), Arc::clone(&observers));
                    async move { respond(req, &run, &observers).await }
                });
                connections.spawn(async move {
                    // Broken connections are checked at the client.
                    let _ignored = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        let announcing = tokio::spawn(announce(Arc::clone(&run), self.control_client.clone()));
        self.current = Some((run, vec![serving, announcing]));
        Ok(())
    }

    /// Whether a run is in progress.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.current.is_some()
    }

    /// The service that it belongs to.
    #[must_use]
    pub fn service(&self) -> &'static str {
        self.service
    }

    /// The version that its next run has.
    #[must_use]
    pub fn next_version(&self) -> &'static str {
        self.version(self.runs + 1)
    }

    fn version(&self, run: u64) -> &'static str {
        VERSIONS[(self.number + run as usize) % VERSIONS.len()]
    }

    /// Leaves and ends the run at once, without a drain.
    pub async fn leave(&mut self) {
        if let Some((run, _)) = &self.current {
            let (path, body) = (leave_path(&run.id), run.description().leave_body());
            // Like a real upstream, it ends even without an acknowledgement.
            let _status = self.control_client.post(&path, body).await;
        }
        self.crash();
    }

    /// Ends the run and its connections at once.
    pub fn crash(&mut self) {
        for task in self.current.take().into_iter().flat_map(|(_, tasks)| tasks) {
            task.abort();
        }
    }

    /// Sets whether the run drops its answers.
    pub fn set_drops_answers(&self, drops: bool) {
        if let Some((run, _)) = &self.current {
            run.state().drops_answers = drops;
        }
    }

    /// Sets whether the run refuses requests, and the pause that it asks for with each refusal.
    pub fn set_refusing(&self, backoff: Option<Duration>) {
        if let Some((run, _)) = &self.current {
            run.state().refusing = backoff;
        }
    }

    /// Sets whether the run's responses have neither a length nor chunks; some of them are cut short then.
    pub fn set_omits_framing(&self, omits: bool) {
        if let Some((run, _)) = &self.current {
            run.state().omits_framing = omits;
        }
    }

    /// Announces the drain, keeps serving for a while, then leaves and ends the run.
    pub async fn drain(&mut self) {
        let Some((run, _)) = &self.current else {
            return;
        };
        let run = Arc::clone(run);
        run.state().draining = true;
        for _ in 0..10 {
            let path = announce_path(&run.id);
            if self
                .control_client
                .post(&path, run.description().announcement_body())
                .await
                == 200
            {
                run.state().drained_at = Some(self.recorder.now());
                break;
            }
        }
        sleep(DRAIN_TIME).await;
        let path = leave_path(&run.id);
        // Like a real upstream, it ends even without an acknowledgement.
        let _status = self
            .control_client
            .post(&path, run.description().leave_body())
            .await;
        self.crash();
    }
}

/// Binds an address, retrying while the previous run still holds it.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if attempts < 100 => attempts += 1,
            bound => return bound,
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn announce(run: Arc<Run>, control_client: ControlClient) {
    let path = announce_path(&run.id);
    loop {
        // A lost announcement is followed by the next one.
        let _status = control_client
            .post(&path, run.description().announcement_body())
            .await;
        sleep(ANNOUNCE_INTERVAL).await;
    }
}
