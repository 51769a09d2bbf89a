//! A model replica whose streams last as long as their path says.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::replica::{Received, Replica, wait_or_closed, write_chunk};

/// How the engine runs a request.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Time until the first event.
    pub first: Duration,
    /// Time between two events.
    pub interval: Duration,
    /// Id of the last event.
    pub last: u64,
    /// An event after which nothing comes for a time.
    pub pause: Option<(u64, Duration)>,
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    /// When its work ended.
    pub ended: Duration,
    /// Whether it ended because the channel was closed; otherwise all events were made, or the replica crashed.
    pub was_closed: bool,
}

/// The runs of all engines of a case.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Runs a request; the channel is kept after a whole answer.
pub fn run(
    replica: &Replica,
    req: &Received,
    stream: &mut TcpStream,
    plan: Plan,
    runs: &Runs,
) -> bool {
    let is_whole = stream_events(replica, req, stream, plan);
    let was_closed = !is_whole && replica.is_up();
    let why = match (is_whole, replica.is_up()) {
        (true, _) => "all events are made",
        (false, true) => "its channel was closed",
        (false, false) => "the replica has crashed",
    };
    let ended = replica
        .record
        .note(format!("replica {}: ends {}: {why}", replica.id, req.id()));
    let mut runs = runs.lock().unwrap_or_else(|e| e.into_inner());
    runs.push(Run {
        id: req.id().to_owned(),
        ended,
        was_closed,
    });
    is_whole
}

fn stream_events(replica: &Replica, req: &Received, stream: &mut TcpStream, plan: Plan) -> bool {
    if wait_or_closed(stream, plan.first) {
        return false;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
        req.answer_headers(replica)
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let from = req.last_event().unwrap_or(0) + 1;
    for id in from..=plan.last {
        if !replica.is_up()
            || !write_chunk(
                stream,
                &format!("id: {id}\ndata: piece {id} of {}\n\n", req.id()),
            )
        {
            return false;
        }
        let pause = plan
            .pause
            .filter(|(after, _)| *after == id)
            .map(|(_, time)| time);
        let is_last = id == plan.last;
        if !is_last && wait_or_closed(stream, plan.interval + pause.unwrap_or_default()) {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
