//! A replica of a service, as the pages describe it: it names itself in beats, runs a request once for each time that
//! it gets it, and stops work when the channel of the request closes.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, Reader, call};
use crate::record::Record;

/// Interval of beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A beat counts as acknowledged if its answer comes within a second.
const BEAT_TIME: Duration = Duration::from_secs(1);

/// A request that a replica has received.
pub struct Received {
    pub head: Head,
    pub at: Duration,
}

impl Received {
    /// The request's id.
    pub fn id(&self) -> &str {
        self.head.get("x-coltsfootnotch-request-id").unwrap_or("-")
    }

    /// Path and query.
    pub fn path(&self) -> &str {
        self.head.line.split(' ').nth(1).unwrap_or("")
    }

    /// The last event that the client has, if the stream is resumed.
    pub fn last_event(&self) -> Option<u64> {
        self.head.get("last-event-id")?.parse().ok()
    }

    /// Headers of each of the replica's answers to it.
    pub fn answer_headers(&self, replica: &Replica) -> String {
        let id = self.id();
        format!(
            "X-Coltsfootnotch-Request-Id: {id}\r\nX-Coltsfootnotch-Response-Stamp: {}.{id}\r\n",
            replica.id
        )
    }
}

type Handler = dyn Fn(&Replica, &Received, &mut TcpStream) -> bool + Send + Sync;

/// A replica.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: &'static str,
    slots: u32,
    born: u64,
    sequence: AtomicU64,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    handler: Box<Handler>,
    pub record: Arc<Record>,
}

impl Replica {
    /// Starts a replica, whose beats go to `controls[first]` as long as that acknowledges them.
    pub fn start(
        record: &Arc<Record>,
        (id, service, zone, slots): (&str, &str, &'static str, u32),
        controls: Vec<SocketAddr>,
        first: usize,
        handler: impl Fn(&Replica, &Received, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            zone,
            slots,
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            connections: Mutex::new(Vec::new()),
            handler: Box::new(handler),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.is_up() {
                    return;
                }
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = Arc::clone(&replica);
        thread::spawn(move || beating.beat(&controls, first));
        Ok(replica)
    }

    /// Whether it has not crashed.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Acquire)
    }

    /// It crashes: all its channels end, and it says nothing more.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::Release);
        self.record.note(format!("replica {}: crashes", self.id));
        let connections = self.connections.lock().unwrap_or_else(|e| e.into_inner());
        for stream in connections.iter() {
            let _was_open = stream.shutdown(Shutdown::Both);
        }
    }

    fn beat(&self, controls: &[SocketAddr], first: usize) {
        let mut node = first;
        while self.is_up() {
            self.beat_once(controls, &mut node);
            thread::sleep(BEAT_INTERVAL);
        }
    }

    /// Sends a beat to one node after the other until one acknowledges it.
    fn beat_once(&self, controls: &[SocketAddr], node: &mut usize) {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let headers = "Content-Type: application/json\r\n";
        for _ in 0..controls.len() {
            let control = controls[*node % controls.len()];
            if let Ok((200..=299, _)) = call(control, "POST", &path, headers, &body, BEAT_TIME) {
                return;
            }
            *node += 1;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let (Ok(kept), Ok(read)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(kept);
        let mut reader = Reader::new(read);
        let mut stream = stream;
        while let Ok(head) = reader.head() {
            let _end = reader.body(&head, |_| {});
            if !self.is_up() {
                return;
            }
            let at = self.record.now();
            let received = Received { head, at };
            let is_meant = received.head.get("x-coltsfootnotch-expect-instance") == Some(&self.id);
            let is_kept = if is_meant {
                self.record.note(format!(
                    "replica {}: receives {} {} last event {:?}",
                    self.id,
                    received.id(),
                    received.path(),
                    received.last_event()
                ));
                (self.handler)(self, &received, &mut stream)
            } else {
                let id = received.id();
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Coltsfootnotch-Request-Id: {id}\r\n\
                     X-Coltsfootnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes()).is_ok()
            };
            if !is_kept {
                let _was_open = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Whether the other end has closed the channel.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let is_closed = match stream.peek(&mut byte) {
        Ok(len) => len == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || is_closed
}

/// Waits, and returns early whether the other end has closed the channel.
pub fn wait_or_closed(stream: &TcpStream, time: Duration) -> bool {
    const STEP: Duration = Duration::from_millis(5);
    let start = std::time::Instant::now();
    loop {
        if is_closed(stream) {
            return true;
        }
        let left = time.saturating_sub(start.elapsed());
        if left.is_zero() {
            return false;
        }
        thread::sleep(left.min(STEP));
    }
}

/// Writes a part of a body in chunks.
pub fn write_chunk(stream: &mut TcpStream, part: &str) -> bool {
    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
    stream.write_all(chunk.as_bytes()).is_ok()
}
