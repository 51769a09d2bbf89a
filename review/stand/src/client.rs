//! Clients with streams and plain requests.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{End, Reader, request};
use crate::record::Record;

/// The key of the only tenant of the cases.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// The host of the cases' routes.
pub const HOST: &str = "ficu95.example";

/// What a client has of a stream.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub status: u16,
    /// Ids of the events, in order.
    pub events: Vec<u64>,
    pub end: Option<End>,
    /// When the answer ended or the client left.
    pub ended_at: Duration,
}

impl Outcome {
    /// Whether it has all events up to `last`, once each, and an answer that is complete.
    pub fn is_whole(&self, last: u64) -> bool {
        let expected: Vec<u64> = (1..=last).collect();
        self.status == 200 && self.events == expected && self.end == Some(End::Complete)
    }
}

/// Headers of a request for a model, whose prompt has one part of its own.
pub fn stream_headers(id: &str, deadline_ms: u64, usage: &str) -> String {
    format!(
        "Authorization: Bearer {KEY}\r\nX-Coltsfootnotch-Request-Id: {id}\r\n\
         X-Coltsfootnotch-Deadline-Ms: {deadline_ms}\r\nX-Coltsfootnotch-Model: m\r\n\
         X-Coltsfootnotch-Token-Usage: {usage}\r\n\
         X-Coltsfootnotch-Prompt-Prefix: {:x}:543\r\n",
        fingerprint(id)
    )
}

fn fingerprint(text: &str) -> u32 {
    text.bytes().fold(17, |sum: u32, b| {
        sum.wrapping_mul(31).wrapping_add(b.into())
    })
}

/// Sends a request for a stream and reads its answer to the end. A client that gets nothing for `patience` leaves.
pub fn read_stream(
    record: &Arc<Record>,
    front: SocketAddr,
    (id, path, usage): (&str, &str, &str),
    deadline_ms: u64,
    patience: Duration,
) -> Outcome {
    let mut outcome = Outcome {
        status: 0,
        events: Vec::new(),
        end: None,
        ended_at: record.now(),
    };
    let headers = stream_headers(id, deadline_ms, usage);
    let Ok(mut stream) = TcpStream::connect(front) else {
        return outcome;
    };
    let _set = stream.set_read_timeout(Some(patience));
    let _set = stream.set_nodelay(true);
    let body = format!("prompt of {id}");
    record.note(format!("client {id}: sends {path} to {front}"));
    let sent = stream.write_all(request("POST", path, HOST, &headers, &body).as_bytes());
    let Ok(read) = stream.try_clone() else {
        return outcome;
    };
    let mut reader = Reader::new(read);
    if let (Ok(()), Ok(head)) = (sent, reader.head()) {
        outcome.status = head.status();
        let mut text = String::new();
        let end = reader.body(&head, |part| text.push_str(&String::from_utf8_lossy(part)));
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        outcome.events = ids.filter_map(|id| id.trim().parse().ok()).collect();
        outcome.end = Some(end);
    }
    let _was_open = stream.shutdown(Shutdown::Both);
    outcome.ended_at = record.note(format!(
        "client {id}: status {}, {} events, end {:?}",
        outcome.status,
        outcome.events.len(),
        outcome.end
    ));
    outcome
}
