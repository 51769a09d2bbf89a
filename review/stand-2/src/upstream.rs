//! A plain service: answers a request after its work, announces itself and notes what it runs.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, call, read_body, read_head};
use crate::record::{Record, lock};

/// Interval of announcements.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that an upstream has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// When, since the record began.
    pub at: Duration,
    /// The head of the request.
    pub head: Head,
}

/// How an upstream answers a request: writes the whole response, and returns whether it keeps the connection.
pub type Respond = Arc<dyn Fn(&mut TcpStream, &Head) -> io::Result<bool> + Send + Sync>;

/// An upstream; its threads end with the process.
pub struct Upstream {
    /// Its identity.
    pub id: String,
    service: String,
    domain: String,
    version: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its start, in Unix milliseconds.
    pub born: u64,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
    record: Record,
    respond: Respond,
}

/// What an upstream is started with.
pub struct UpstreamPlan<'a> {
    /// Its identity.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// How it answers.
    pub respond: Respond,
}

impl Upstream {
    /// Starts an upstream that announces itself to the control hosts in turn.
    pub fn start(
        plan: UpstreamPlan<'_>,
        controls: Vec<SocketAddr>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(plan.address)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(io::Error::other)?;
        let upstream = Arc::new(Self {
            id: plan.id.to_owned(),
            service: plan.service.to_owned(),
            domain: plan.domain.to_owned(),
            version: "v1".to_owned(),
            address: plan.address,
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            record: record.clone(),
            respond: plan.respond,
        });
        let serving = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&serving);
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let announcing = Arc::clone(&upstream);
        thread::spawn(move || {
            let mut next = 0;
            loop {
                if announcing
                    .announce(controls[next % controls.len()])
                    .is_err()
                {
                    next += 1;
                    sleep(Duration::from_millis(100));
                } else {
                    sleep(HEARTBEAT);
                }
            }
        });
        Ok(upstream)
    }

    fn announce(&self, control: SocketAddr) -> io::Result<()> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.domain, self.version, self.born
        );
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let answer = call(control, "POST", &path, &body, Duration::from_secs(1))?;
        match answer.head.status() {
            200..=299 => Ok(()),
            status => Err(io::Error::other(format!("status {status}"))),
        }
    }

    /// The requests that it has begun to run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    fn serve(&self, stream: TcpStream) {
        // The connection ends with the first error.
        let _ended = self.serve_requests(stream);
    }

    fn serve_requests(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head, false)?;
            if head.path() == "/healthz" {
                let id = &self.id;
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nX-Coltsfootnotch-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let expected = head.get("x-coltsfootnotch-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let id = head.get("x-coltsfootnotch-request-id").unwrap_or("-");
            let account = head.get("x-coltsfootnotch-tenant").unwrap_or("-");
            let (own, path, len) = (&self.id, head.path(), body.len());
            self.record.line(format!(
                "{own} runs request {id} ({path}, {len} bytes, account {account})"
            ));
            lock(&self.runs).push(Run {
                at: self.record.now(),
                head: head.clone(),
            });
            if !(self.respond)(&mut stream, &head)? {
                break;
            }
        }
        Ok(())
    }
}

/// Answers after `work` with a short body.
pub fn answer_after(work: Duration) -> Respond {
    Arc::new(move |stream, head| {
        sleep(work);
        let id = head.get("x-coltsfootnotch-request-id").unwrap_or("-");
        let body = format!("done {id}\n");
        let len = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Coltsfootnotch-Request-Id: {id}\r\n\
             X-Coltsfootnotch-Response-Stamp: stamp.{id}\r\nContent-Length: {len}\r\n\r\n{body}"
        )?;
        Ok(true)
    })
}
