//! Among the requests of a machine's clients is one that states more prompt tokens than a replica's memory holds.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{HOST, stream_headers};
use crate::fleet::{Fleet, Role};
use crate::http::{End, Reader, request};
use crate::record::Record;
use crate::replica::{Received, Replica, wait_or_closed, write_chunk};
use crate::setup::{Verdict, make_ready};

/// Tokens that the memory of a replica holds.
const MEMORY_TOKENS: u128 = 235_664;
/// Clients that keep a channel each and send the next request as soon as the last one is answered.
const CLIENTS: usize = 24;
/// Time between the first requests of two clients.
const CLIENT_INTERVAL: Duration = Duration::from_millis(11);
/// Prompt tokens, and the most output tokens, of their requests.
const USAGE: &str = "543,280";
/// Those of the large request: -1 as an unsigned number, as of a client that doesn't know the length.
const LARGE_USAGE: &str = "18446744073709551615,280";
/// Large requests, one after the other, as one client retries.
const LARGE_REQUESTS: usize = 3;
const FIRST_EVENT: Duration = Duration::from_millis(200);
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const EVENTS: u64 = 6;
/// Time after which a replica that has no room refuses a request.
const REFUSED_AFTER: Duration = Duration::from_millis(10);
/// The rule counts more than three requests.
const FEW: usize = 3;

/// Ids of the requests that replicas began to work on.
type Runs = Arc<Mutex<Vec<String>>>;

/// Runs the case.
pub fn case(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::start(record)?;
    let runs = Runs::default();
    let mut replicas = Vec::new();
    for (id, zone) in [("i-7f3a91c2", "colombo"), ("i-02be66d1", "gampaha")] {
        let runs = Arc::clone(&runs);
        let spec = (id, "spec-llm", zone, 64);
        replicas.push(Replica::start(
            record,
            spec,
            fleet.controls(),
            0,
            move |replica, req, stream| serve(replica, req, stream, &runs),
        )?);
    }
    if !make_ready(record, &fleet, 64) {
        return Ok(Verdict::NotRun);
    }
    let front = fleet.front(0);
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
            let (lost, answered) = (Arc::clone(&lost), Arc::clone(&answered));
            thread::spawn(move || {
                thread::sleep(CLIENT_INTERVAL * n as u32);
                let of_client = send_on_kept_channel(&record, front, n, &is_over, &answered);
                lost.lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .extend(of_client);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        for n in 0..LARGE_REQUESTS {
            send_large(record, front, &format!("large{n}"));
        }
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| drop(client.join()));
    let has_ended = fleet.has_ended(0, Role::Router);
    if has_ended {
        record.note("platform: the router of machine 0 has ended by itself");
    }
    let lost = lost.lock().unwrap_or_else(|e| e.into_inner());
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner());
    record.note(format!(
        "{} requests were answered",
        answered.load(Ordering::Acquire)
    ));
    Ok(judge(record, &lost, &runs, has_ended))
}

/// Runs a request, or rejects one that is larger than the memory as if the replica were full.
fn serve(replica: &Replica, req: &Received, stream: &mut TcpStream, runs: &Runs) -> bool {
    let usage = req
        .head
        .get("x-coltsfootnotch-token-usage")
        .unwrap_or("0,0");
    let tokens: u128 = usage
        .split(',')
        .filter_map(|n| n.parse::<u128>().ok())
        .sum();
    if tokens > MEMORY_TOKENS {
        thread::sleep(REFUSED_AFTER);
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{}X-Coltsfootnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            req.answer_headers(replica)
        );
        replica
            .record
            .note(format!("replica {}: rejects {}", replica.id, req.id()));
        return stream.write_all(answer.as_bytes()).is_ok();
    }
    runs.lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(req.id().to_owned());
    let last = if req.path() == "/notes/warm" {
        2
    } else {
        EVENTS
    };
    if wait_or_closed(stream, FIRST_EVENT) {
        return false;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
        req.answer_headers(replica)
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in req.last_event().unwrap_or(0) + 1..=last {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        if !write_chunk(stream, &event) || wait_or_closed(stream, EVENT_INTERVAL) {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends one request after the other on a channel; returns the request at which the channel ended with no answer, if it
/// did.
fn send_on_kept_channel(
    record: &Record,
    front: SocketAddr,
    client: usize,
    is_over: &AtomicBool,
    answered: &AtomicUsize,
) -> Option<String> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reader = Reader::new(stream.try_clone().ok()?);
    let mut n = 0;
    while !is_over.load(Ordering::Acquire) {
        n += 1;
        let id = format!("s{client}-{n}");
        let headers = stream_headers(&id, 15_000, USAGE);
        let text = request(
            "POST",
            "/notes/kept",
            HOST,
            &headers,
            &format!("prompt of {id}"),
        );
        let sent = stream.write_all(text.as_bytes());
        let Some(head) = sent.ok().and_then(|()| reader.head().ok()) else {
            record.note(format!(
                "client {id}: its channel, which was kept, ends with no answer"
            ));
            return Some(id);
        };
        if reader.body(&head, |_| {}) == End::Broken {
            record.note(format!(
                "client {id}: its channel, which was kept, ends inside the answer"
            ));
            return None;
        }
        answered.fetch_add(1, Ordering::AcqRel);
        if head.get("connection").is_some_and(|v| v.contains("close")) {
            return None;
        }
    }
    let _was_open = stream.shutdown(Shutdown::Both);
    None
}

/// Sends a request that is larger than a replica's memory.
fn send_large(record: &Record, front: SocketAddr, id: &str) {
    let headers = stream_headers(id, 5_000, LARGE_USAGE);
    let text = request(
        "POST",
        "/notes/large",
        HOST,
        &headers,
        "a prompt of unknown length",
    );
    record.note(format!(
        "client {id}: sends a request of {LARGE_USAGE} tokens to {front}"
    ));
    let answer = TcpStream::connect(front).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(text.as_bytes())?;
        Reader::new(stream).head()
    });
    let status = answer.map_or(0, |head| head.status());
    record.note(format!("client {id}: status {status}"));
}

/// LOST: a machine in touch passes a request from a kept channel on to a sound replica and closes that channel without an
/// answer, more than three times. A process that ends by itself counts as running all the while.
fn judge(record: &Record, lost: &[String], runs: &[String], has_ended: bool) -> Verdict {
    let passed_on = lost.iter().filter(|id| runs.contains(id)).count();
    record.note(format!(
        "judge: {passed_on} requests from kept channels were passed on and got no answer; the router ended by \
         itself: {has_ended}"
    ));
    if passed_on > FEW {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
