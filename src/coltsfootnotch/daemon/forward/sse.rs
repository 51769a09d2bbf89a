//! Whole events of a stream, split off the bytes as they come.
//!
//! An upstream may break off in the middle of an event. Only whole events go to the caller, so that
//! another upstream can go on after the last of them and no piece comes twice or half.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for. A longer one is passed on in pieces.
const MAX_EVENT: usize = 1 << 20;

/// Splits whole events off a stream.
#[derive(Debug, Default)]
pub(super) struct Events {
    rest: BytesMut,
    last_id: Option<u64>,
    seen: u64,
}

impl Events {
    /// Takes bytes in; gives the events that are whole now, together.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let end = match last_blank_line(&self.rest) {
            Some(end) => end,
            None if self.rest.len() > MAX_EVENT => self.rest.len(),
            None => return Bytes::new(),
        };
        let whole = self.rest.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    /// What has come of an event that is not whole.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Drops what has come of an event that is not whole.
    pub(super) fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// The identity of the last whole event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events so far.
    pub(super) fn seen(&self) -> u64 {
        self.seen
    }

    fn note(&mut self, events: &[u8]) {
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

/// Where the last whole event ends.
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
#[path = "sse_tests.rs"]
mod tests;
