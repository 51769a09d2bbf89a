//! A replica crashes in the middle of its streams while the others have no room. The clients of these streams leave;
//! later the other replicas have room again.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{HOST, stream_headers};
use crate::fleet::Fleet;
use crate::http::{Reader, request};
use crate::record::Record;
use crate::replica::{Received, Replica, wait_or_closed, write_chunk};
use crate::setup::{Verdict, make_ready};

/// Replicas; one of them crashes, a share of 0.167.
const REPLICAS: usize = 6;
const SLOTS: u32 = 48;
/// Streams: as many as the replicas have slots.
const STREAMS: usize = REPLICAS * SLOTS as usize;
const REQUEST_INTERVAL: Duration = Duration::from_millis(6);
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_EVENT: Duration = Duration::from_millis(30);
/// Time until the first event of a stream that goes on here: its prompt is read again.
const FIRST_EVENT_AGAIN: Duration = Duration::from_millis(600);
/// Time from the crash until the clients of the replica leave: half the objective of the route.
const LEAVE_AFTER: Duration = Duration::from_millis(200);
/// Time from the crash until the streams of the other replicas are at their end.
const ROOM_AFTER: Duration = Duration::from_millis(900);
/// Time that the rule gives a machine after its client has left.
const LEFT: Duration = Duration::from_millis(500);
/// The rule counts more than a few.
const FEW: usize = 5;
const USAGE: &str = "543,280";

/// What the replicas of the case know and note.
#[derive(Default)]
struct Engines {
    /// Whether the streams are at their end.
    is_over: AtomicBool,
    runs: Mutex<Vec<Run>>,
}

struct Run {
    id: String,
    began: Duration,
    ended: Duration,
}

/// A client with a stream.
struct Client {
    id: String,
    /// Start of the mark of the replica that answers it.
    replica: String,
    stream: TcpStream,
}

/// Runs the case.
pub fn case(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let fleet = Fleet::start(record)?;
    let engines = Arc::new(Engines::default());
    let mut replicas = Vec::new();
    for n in 0..REPLICAS {
        let engines = Arc::clone(&engines);
        let id = format!("i-{:08x}", 0x7f3a_91c0 + n);
        let spec = (
            id.as_str(),
            "spec-llm",
            ["colombo", "gampaha", "kalutara"][n % 3],
            SLOTS,
        );
        replicas.push(Replica::start(
            record,
            spec,
            fleet.controls(),
            0,
            move |replica, req, stream| run(replica, req, stream, &engines),
        )?);
    }
    if !make_ready(record, &fleet, SLOTS) {
        return Ok(Verdict::NotRun);
    }
    let clients = start_streams(record, fleet.front(0));
    let crashed = &replicas[0];
    let (leaving, staying): (Vec<_>, Vec<_>) =
        clients.into_iter().partition(|c| c.replica == crashed.id);
    record.note(format!(
        "{} streams at {}, {} at the others",
        leaving.len(),
        crashed.id,
        staying.len()
    ));
    if leaving.len() <= FEW {
        return Ok(Verdict::NotRun);
    }
    if has_trouble {
        crashed.crash();
    }
    thread::sleep(LEAVE_AFTER);
    let left: Vec<(String, Duration)> = leaving
        .into_iter()
        .map(|client| leave(record, client))
        .collect();
    thread::sleep(ROOM_AFTER - LEAVE_AFTER);
    engines.is_over.store(true, Ordering::Release);
    record.note("the streams of the replicas are at their end");
    thread::sleep(Duration::from_secs(3));
    let runs = engines.runs.lock().unwrap_or_else(|e| e.into_inner());
    Ok(judge(record, &left, &runs))
}

/// Runs a request: events until the streams are at their end.
fn run(replica: &Replica, req: &Received, stream: &mut TcpStream, engines: &Engines) -> bool {
    let is_whole = stream_events(replica, req, stream, engines);
    let ended = replica.record.note(format!(
        "replica {}: work on {} ends, whole {is_whole}",
        replica.id,
        req.id()
    ));
    let mut runs = engines.runs.lock().unwrap_or_else(|e| e.into_inner());
    runs.push(Run {
        id: req.id().to_owned(),
        began: req.at,
        ended,
    });
    is_whole
}

fn stream_events(
    replica: &Replica,
    req: &Received,
    stream: &mut TcpStream,
    engines: &Engines,
) -> bool {
    let first = if req.last_event().is_some() {
        FIRST_EVENT_AGAIN
    } else {
        FIRST_EVENT
    };
    if wait_or_closed(stream, first) {
        return false;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
        req.answer_headers(replica)
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let is_short = req.path() == "/notes/warm";
    let id = AtomicU64::new(req.last_event().unwrap_or(0));
    loop {
        let next = id.fetch_add(1, Ordering::Relaxed) + 1;
        if !replica.is_up() || !write_chunk(stream, &format!("id: {next}\ndata: piece {next}\n\n"))
        {
            return false;
        }
        let is_over = engines.is_over.load(Ordering::Acquire);
        if is_over || (is_short && next == 2) {
            return stream.write_all(b"0\r\n\r\n").is_ok();
        }
        if wait_or_closed(stream, EVENT_INTERVAL) {
            return false;
        }
    }
}

/// Starts the streams one after the other; each has its first event.
fn start_streams(record: &Arc<Record>, front: SocketAddr) -> Vec<Client> {
    let started: Vec<_> = (0..STREAMS)
        .map(|n| {
            thread::sleep(REQUEST_INTERVAL);
            let record = Arc::clone(record);
            thread::spawn(move || start_stream(&record, front, format!("s{n}")))
        })
        .collect();
    started
        .into_iter()
        .filter_map(|s| s.join().ok().flatten())
        .collect()
}

fn start_stream(record: &Record, front: SocketAddr, id: String) -> Option<Client> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let headers = stream_headers(&id, 15_000, USAGE);
    let body = format!("prompt of {id}");
    stream
        .write_all(request("POST", "/notes/long", HOST, &headers, &body).as_bytes())
        .ok()?;
    let head = Reader::new(stream.try_clone().ok()?).head().ok()?;
    let mark = head.get("x-coltsfootnotch-response-stamp").unwrap_or("-");
    record.note(format!(
        "client {id}: status {}, answered by {mark}",
        head.status()
    ));
    let replica = mark.split('.').next().unwrap_or("-").to_owned();
    (head.status() == 200).then_some(Client {
        id,
        replica,
        stream,
    })
}

/// The client closes its channel.
fn leave(record: &Record, client: Client) -> (String, Duration) {
    let _was_open = client.stream.shutdown(Shutdown::Both);
    let at = record.note(format!("client {}: closes its channel", client.id));
    (client.id, at)
}

/// GONE: after a client has closed its channel, more than a few requests reach a replica over half a second later; or
/// replicas are still at work half a second later on more than a quarter of the streams that would have lasted so long.
fn judge(record: &Record, left: &[(String, Duration)], runs: &[Run]) -> Verdict {
    let (mut reached, mut worked_on) = (0, 0);
    for (id, at) in left {
        let limit = *at + LEFT;
        let of_request = || runs.iter().filter(|run| run.id == *id);
        let reached_at = of_request()
            .filter(|run| run.began > limit)
            .map(|run| run.began)
            .min();
        if let Some(began) = reached_at {
            let late = (began - *at).as_secs_f64();
            record.note(format!(
                "judge: {id} reaches a replica {late:.3} s after its client has left"
            ));
        }
        reached += usize::from(reached_at.is_some());
        worked_on += usize::from(of_request().any(|run| run.ended > limit));
    }
    record.note(format!(
        "judge: of {} requests whose client left, {reached} reached a replica over half a second later, and \
         replicas worked on {worked_on} then",
        left.len()
    ));
    let is_broken = reached > FEW || worked_on * 4 > left.len();
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
