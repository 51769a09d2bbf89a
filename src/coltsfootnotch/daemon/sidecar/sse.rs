//! Splits and classifies the server-sent events of an engine.

use serde::{Deserialize, Deserializer};

/// Maximum size of an event in bytes; a longer one fails the response.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, including the blank line that ends it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct SseEvent {
    pub(super) bytes: Vec<u8>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(super) struct SseSplitter {
    buf: Vec<u8>,
}

#[derive(Deserialize)]
struct CompletionChunk {
    #[serde(default)]
    usage: Option<TokenUsage>,
    #[serde(default)]
    choices: Vec<serde_json::Value>,
}

/// Most tokens of a prompt or an answer that are counted, more than the memory of an engine holds. A number beyond is
/// a mistake, for which the account of the request would be charged.
const MAX_TOKENS: u64 = 1 << 24;

/// Token counts that an engine reports, each at most [`MAX_TOKENS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(super) struct TokenUsage {
    #[serde(default, deserialize_with = "token_count")]
    pub(super) prompt_tokens: u64,
    #[serde(default, deserialize_with = "token_count")]
    pub(super) completion_tokens: u64,
}

fn token_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(u64::deserialize(deserializer)?.min(MAX_TOKENS))
}

/// Classification of an event.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    Token,
    Usage(TokenUsage),
    Done,
    Other,
}

impl SseSplitter {
    /// Appends bytes and returns the events that are complete, or `None` if the next event exceeds
    /// [`MAX_EVENT_BYTES`].
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<Vec<SseEvent>> {
        // The first of the two line ends may be the last byte of the previous read.
        let mut search_from = self.buf.len().saturating_sub(1);
        self.buf.extend_from_slice(bytes);
        let (mut events, mut start) = (Vec::new(), 0);
        while let Some(at) = find_blank_line(&self.buf[search_from..]) {
            let end = search_from + at + 2;
            events.push(SseEvent {
                bytes: self.buf[start..end].to_vec(),
            });
            (start, search_from) = (end, end);
        }
        self.buf.drain(..start);
        (self.buf.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Whether no bytes of an incomplete event are buffered.
    pub(super) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

impl SseEvent {
    /// Classifies the event by its data.
    pub(super) fn kind(&self) -> EventKind {
        let text = String::from_utf8_lossy(&self.bytes);
        let Some(data) = text.lines().find_map(|line| line.strip_prefix("data:")) else {
            return EventKind::Other;
        };
        if data.trim() == "[DONE]" {
            return EventKind::Done;
        }
        let Ok(chunk) = serde_json::from_str::<CompletionChunk>(data) else {
            return EventKind::Other;
        };
        match chunk.usage {
            Some(usage) => EventKind::Usage(usage),
            None if chunk.choices.is_empty() => EventKind::Other,
            None => EventKind::Token,
        }
    }
}

#[cfg(test)]
#[path = "sse_tests.rs"]
mod tests;
