//! Stand-ins for upstreams: they run requests, stream answers, announce themselves, crash and leave.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use coltsfootnotch_platform_peers::{
    EXPECTED_UPSTREAM, LAST_EVENT, NOT_RUN, REQUEST_ID, STAMP, UpstreamText, announce_path,
    leave_path,
};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::book::{Book, Promise};
use crate::operator::Calls;

/// Between two announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(400);
/// How long an upstream that leaves goes on serving.
const SERVES_ON: Duration = Duration::from_millis(3_000);
/// From the acknowledgement of its leaving until it may get nothing new: the platform's usual bound.
const LEFT_ALONE_AFTER: Duration = Duration::from_millis(2_000);
/// Time that a plain call and an event of a stream take.
const WORK: Duration = Duration::from_millis(15);
/// Events of a stream.
pub const EVENTS: u64 = 12;
/// Requests at once.
const SLOTS: u32 = 32;

type Body = BoxBody<Bytes, Broken>;

/// The stand-in breaks its answer off.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the stand-in breaks off")]
struct Broken;

/// What an upstream is told, and what it is.
#[derive(Debug)]
struct Run {
    id: String,
    service: &'static str,
    address: SocketAddr,
    born_ms: u64,
    sequence: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    draining: bool,
    /// When its leaving was acknowledged.
    left: Option<Duration>,
    loses_answers: bool,
}

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
            if self.calls.post(&path, run.text().announcement()).await == 200 {
                run.state().left = Some(self.book.now());
                break;
            }
        }
        sleep(SERVES_ON).await;
        let path = leave_path(&run.id);
        // Without an acknowledgement it ends all the same, as real ones do.
        let _status = self.calls.post(&path, run.text().leave()).await;
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

impl Run {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn text(&self) -> UpstreamText<'_> {
        UpstreamText {
            service: self.service,
            address: self.address,
            domain: "north",
            slots: SLOTS,
            draining: self.state().draining,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            born_ms: self.born_ms,
        }
    }
}

async fn announce(run: Arc<Run>, calls: Calls) {
    let path = announce_path(&run.id);
    loop {
        // Lost ones are followed by the next.
        let _status = calls.post(&path, run.text().announcement()).await;
        sleep(ANNOUNCE_EVERY).await;
    }
}

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn reply(
    status: StatusCode,
    id: &str,
    marks: &[(&'static str, &str)],
    body: Body,
) -> Response<Body> {
    let mut builder = Response::builder().status(status).header(REQUEST_ID, id);
    for (name, value) in marks {
        builder = builder.header(*name, *value);
    }
    builder.body(body).expect("these are headers")
}

fn whole(text: String) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed()
}

async fn answer(
    req: Request<Incoming>,
    run: &Run,
    book: &Book,
    calm: &(dyn Fn() -> bool + Send + Sync),
) -> Result<Response<Body>, Broken> {
    let id = header(&req, REQUEST_ID).unwrap_or("-").to_owned();
    if header(&req, EXPECTED_UPSTREAM) != Some(&run.id) {
        let marks = [(NOT_RUN, "1"), (STAMP, "s")];
        return Ok(reply(
            StatusCode::MISDIRECTED_REQUEST,
            &id,
            &marks,
            whole(String::new()),
        ));
    }
    let state = *run.state();
    let since_left = state.left.map(|left| book.now().saturating_sub(left));
    if since_left.is_some_and(|time| time > LEFT_ALONE_AFTER) && calm() {
        let what = format!("{id} reaches {} {since_left:?} after its leaving", run.id);
        book.find(Promise::LeftAlone, what);
    }
    book.ran(&id, &run.id);
    let first = header(&req, LAST_EVENT).and_then(|n| n.parse::<u64>().ok());
    let is_stream = req.uri().path().starts_with("/stream/");
    // The body is the caller's; what matters is that it came whole.
    let _body = req.into_body().collect().await.map_err(|_| Broken)?;
    let stamp = format!("s.{id}");
    let marks = [(STAMP, stamp.as_str())];
    if state.loses_answers && !is_stream {
        sleep(WORK).await;
        return Err(Broken);
    }
    if is_stream {
        return Ok(reply(
            StatusCode::OK,
            &id,
            &marks,
            stream(id.clone(), first),
        ));
    }
    sleep(WORK).await;
    Ok(reply(
        StatusCode::OK,
        &id,
        &marks,
        whole(format!("answer to {id}")),
    ))
}

fn stream(id: String, after: Option<u64>) -> Body {
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(async move {
        for n in after.unwrap_or(0) + 1..=EVENTS {
            sleep(WORK).await;
            // Refused once the router has closed the connection: the rest is not made.
            if tx.send(event_text(&id, n)).await.is_err() {
                return;
            }
        }
    });
    EventBody { events: rx }.boxed()
}

/// A stream's events as they are made.
struct EventBody {
    events: mpsc::Receiver<String>,
}

impl hyper::body::Body for EventBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let event = std::task::ready!(self.events.poll_recv(cx));
        Poll::Ready(event.map(|text| Ok(Frame::data(Bytes::from(text)))))
    }
}

/// An event of a stream.
#[must_use]
pub fn event_text(id: &str, n: u64) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}
