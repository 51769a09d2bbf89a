//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded: when an upstream's connection breaks within an event,
//! another upstream can resume after the last complete one, and the caller gets nothing twice or in
//! part.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered, in bytes. A longer one is forwarded in parts.
const MAX_EVENT: usize = 1 << 20;
/// Bytes at the end of a part that are kept back: a blank line may go on after them.
const MAX_BLANK_LINE: usize = 4;

/// Buffers a stream up to the end of an event.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    rest: BytesMut,
    /// The number after which the stream is resumed.
    resumed_after: Option<u64>,
    last_id: Option<u64>,
    seen: u64,
    /// Whether a part of the current event has been returned.
    is_partly_returned: bool,
    is_out_of_order: bool,
}

impl EventSplitter {
    /// A splitter for a stream that its caller resumes after the event with this number.
    pub(super) fn resumed_after(event: Option<u64>) -> Self {
        Self {
            resumed_after: event,
            ..Self::default()
        }
    }

    /// Adds bytes; returns all events that are complete now.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Bytes {
        let scanned = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let blank_line = last_blank_line(&self.rest, scanned);
        let end = match blank_line {
            Some(end) => end,
            None if self.rest.len() > MAX_EVENT => self.rest.len() - MAX_BLANK_LINE,
            None => return Bytes::new(),
        };
        let complete = self.rest.split_to(end).freeze();
        self.record(&complete, blank_line.is_none());
        complete
    }

    /// Takes what came of an incomplete event, but for the bytes that its end may begin with.
    pub(super) fn take_part(&mut self) -> Bytes {
        let end = self.rest.len().saturating_sub(MAX_BLANK_LINE);
        let part = self.rest.split_to(end).freeze();
        self.record(&part, true);
        part
    }

    /// Whether the numbers of events do not increase. What was returned last is not to be forwarded then, and is
    /// not recorded.
    pub(super) fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
    }

    /// Bytes of an incomplete event.
    pub(super) fn rest_len(&self) -> usize {
        self.rest.len()
    }

    /// Whether a stream that ends now ends inside an event. Blank lines and comments between events belong
    /// to none.
    pub(super) fn is_inside_event(&self) -> bool {
        self.is_partly_returned || has_line_of_event(&self.rest)
    }

    /// Whether a part of an event was returned whose rest has not come yet. Another upstream can't go on
    /// inside an event.
    pub(super) fn is_partly_returned(&self) -> bool {
        self.is_partly_returned
    }

    /// Takes the bytes of an incomplete event.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// A splitter for the response of another upstream that goes on after the last complete event.
    pub(super) fn after_last_event(&self) -> Self {
        Self {
            last_id: self.last_id,
            seen: self.seen,
            ..Self::default()
        }
    }

    /// The identity of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events with a numeric id so far.
    pub(super) fn seen(&self) -> u64 {
        self.seen
    }

    /// Records what is returned: events, the last of them in part or whole.
    fn record(&mut self, events: &[u8], is_part: bool) {
        let (mut last_id, mut seen) = (self.last_id, self.seen);
        for id in events.split(is_line_end).filter_map(id_of_line) {
            if last_id
                .or(self.resumed_after)
                .is_some_and(|last| id <= last)
            {
                self.is_out_of_order = true;
                return;
            }
            last_id = Some(id);
            seen += 1;
        }
        (self.last_id, self.seen) = (last_id, seen);
        self.is_partly_returned = is_part;
    }
}

/// The number in a line that states the identity of an event, if it is one.
fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Whether a line belongs to an event: blank lines and comments belong to none.
pub(super) fn has_line_of_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split_inclusive(is_line_end);
    lines.any(|line| {
        let is_blank = line.iter().all(is_line_end);
        let is_comment = line.starts_with(b":") && line.last().is_some_and(is_line_end);
        !is_blank && !is_comment
    })
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// The end of the last complete event, if it is after `scanned` bytes.
fn last_blank_line(bytes: &[u8], scanned: usize) -> Option<usize> {
    (scanned + 1..=bytes.len()).rev().find(|end| {
        let line = without_line_end(&bytes[..*end]);
        line.is_some_and(|line| line.last().is_some_and(is_line_end))
    })
}

/// A line without its end, which is a carriage return, a line feed or both.
fn without_line_end(line: &[u8]) -> Option<&[u8]> {
    let line_ends = [&b"\r\n"[..], b"\n", b"\r"];
    line_ends.iter().find_map(|end| line.strip_suffix(*end))
}

#[cfg(test)]
#[path = "event_splitter_tests.rs"]
mod tests;
