//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded: when an upstream's connection breaks within an event,
//! another upstream can resume after the last complete one, and the caller gets nothing twice or in
//! part.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered, in bytes. A longer one is forwarded in chunks.
const MAX_EVENT: usize = 1 << 20;

/// Buffers a stream up to the end of an event.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    rest: BytesMut,
    last_id: Option<u64>,
    seen: u64,
}

impl EventSplitter {
    /// Adds bytes; returns all events that are complete now.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let end = match last_blank_line(&self.rest) {
            Some(end) => end,
            None if self.rest.len() > MAX_EVENT => self.rest.len(),
            None => return Bytes::new(),
        };
        let complete = self.rest.split_to(end).freeze();
        self.record_ids(&complete);
        complete
    }

    /// Whether a stream that ends now ends inside an event. Blank lines and comments between events belong
    /// to none.
    pub(super) fn is_inside_event(&self) -> bool {
        let mut lines = self.rest.split_inclusive(|b| *b == b'\n');
        lines.any(|line| {
            let is_blank = line.iter().all(|b| matches!(b, b'\r' | b'\n'));
            let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
            !is_blank && !is_comment
        })
    }

    /// Takes the bytes of an incomplete event.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Drops the bytes of an incomplete event.
    pub(super) fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// The identity of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events with a numeric id so far.
    pub(super) fn seen(&self) -> u64 {
        self.seen
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|b| *b == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let text = std::str::from_utf8(value).unwrap_or_default().trim();
            if let Ok(id) = text.parse() {
                self.last_id = Some(id);
                self.seen += 1;
            }
        }
    }
}

/// The end of the last complete event.
fn last_blank_line(bytes: &[u8]) -> Option<usize> {
    let lf = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|at| at + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf)
}

#[cfg(test)]
#[path = "event_splitter_tests.rs"]
mod tests;
