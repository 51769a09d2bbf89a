//! Stand-ins for upstreams: they run requests, stream answers, announce themselves, crash and leave.

mod answer;
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

use self::answer::answer;
pub use self::answer::{EVENTS, event_text};
use self::run::Run;
use crate::book::Book;
use crate::operator::Calls;

/// Between two announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(400);
/// How long an upstream that leaves goes on serving.
const SERVES_ON: Duration = Duration::from_millis(3_000);
/// Requests at once.
const SLOTS: u32 = 32;

/// One upstream: a place at which runs follow each other.
pub struct Upstream {
    number: usize,
    service: &'static str,
    /// Where it binds, and where it is reached.
    bound: SocketAddr,
    reached: SocketAddr,
    book: Book,
    calls: Calls,
    /// Whether the routers are undisturbed, and what they are told must reach them in time.
    calm: Arc<dyn Fn() -> bool + Send + Sync>,
    runs: u64,
    now: Option<(Arc<Run>, Vec<JoinHandle<()>>)>,
}

impl Upstream {
    /// An upstream that does not run yet.
    #[must_use]
    pub fn new(
        number: usize,
        service: &'static str,
        (bound, reached): (SocketAddr, SocketAddr),
        book: Book,
        calls: Calls,
        calm: Arc<dyn Fn() -> bool + Send + Sync>,
    ) -> Self {
        Self {
            number,
            service,
            bound,
            reached,
            book,
            calls,
            calm,
            runs: 0,
            now: None,
        }
    }

    /// Starts a new run.
    ///
    /// # Errors
    /// Returns an error when its address can't be bound.
    pub async fn start(&mut self) -> io::Result<()> {
        self.runs += 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let run = Arc::new(Run {
            id: format!("u{}-{}", self.number, self.runs),
            service: self.service,
            address: self.reached,
            born_ms: born.map_err(io::Error::other)?.as_millis() as u64,
            sequence: AtomicU64::new(0),
            state: Mutex::default(),
        });
        let listener = bind(self.bound).await?;
        let (book, calm) = (self.book.clone(), Arc::clone(&self.calm));
        let served = Arc::clone(&run);
        let serving = tokio::spawn(async move {
            // Connections end with the run: a crash closes them all.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let (run, book, calm) = (Arc::clone(&served), book.clone(), Arc::clone(&calm));
                let service = service_fn(move |req| {
                    let (run, book, calm) = (Arc::clone(&run), book.clone(), Arc::clone(&calm));
                    async move { answer(req, &run, &book, &*calm).await }
                });
                connections.spawn(async move {
                    // A broken connection is the router's to notice.
                    let _ended = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        let announcing = tokio::spawn(announce(Arc::clone(&run), self.calls.clone()));
        self.now = Some((run, vec![serving, announcing]));
        Ok(())
    }

    /// Ends the run at once.
    pub fn crash(&mut self) {
        for task in self.now.take().into_iter().flat_map(|(_, tasks)| tasks) {
            task.abort();
        }
    }

    /// Makes the run lose its answers, or not.
    pub fn lose_answers(&self, loses: bool) {
        if let Some((run, _)) = &self.now {
            run.state().loses_answers = loses;
        }
    }

    /// Drains, leaves and ends the run.
    pub async fn drain(&mut self) {
        let Some((run, _)) = &self.now else {
            return;
        };
        let run = Arc::clone(run);
        run.state().draining = true;
        for _ in 0..10 {
            let path = announce_path(&run.id);
            if self.calls.post(&path, run.text().announcement_body()).await == 200 {
                run.state().left = Some(self.book.now());
                break;
            }
        }
        sleep(SERVES_ON).await;
        let path = leave_path(&run.id);
        // Without an acknowledgement it ends all the same, as real ones do.
        let _status = self.calls.post(&path, run.text().leave_body()).await;
        self.crash();
    }
}

/// Binds an address that a run before may still hold for a moment.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if tries < 100 => tries += 1,
            bound => return bound,
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn announce(run: Arc<Run>, calls: Calls) {
    let path = announce_path(&run.id);
    loop {
        // Lost ones are followed by the next.
        let _status = calls.post(&path, run.text().announcement_body()).await;
        sleep(ANNOUNCE_EVERY).await;
    }
}
