//! Server-sent events as they come from an engine, cut at their ends.

use serde::Deserialize;

/// Largest event in bytes; an upstream that sends a longer one has broken off.
const MAX_EVENT: usize = 1024 * 1024;

/// One event with the blank line that ends it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct SseEvent {
    pub(super) bytes: Vec<u8>,
}

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub(super) struct SseCutter {
    buf: Vec<u8>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    usage: Option<ChunkUsage>,
    #[serde(default)]
    choices: Vec<serde_json::Value>,
}

/// Token counts, as an engine states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(super) struct ChunkUsage {
    #[serde(default)]
    pub(super) prompt_tokens: u64,
    #[serde(default)]
    pub(super) completion_tokens: u64,
}

/// What an event says.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Meaning {
    Token,
    Usage(ChunkUsage),
    Last,
    Other,
}

impl SseCutter {
    /// Adds bytes; none when an event has grown too long.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<Vec<SseEvent>> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let rest = self.buf.split_off(end + 2);
            events.push(SseEvent {
                bytes: std::mem::replace(&mut self.buf, rest),
            });
        }
        (self.buf.len() <= MAX_EVENT).then_some(events)
    }

    /// Whether bytes of an unfinished event are left.
    pub(super) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

impl SseEvent {
    /// What the event says.
    pub(super) fn meaning(&self) -> Meaning {
        let text = String::from_utf8_lossy(&self.bytes);
        let Some(data) = text.lines().find_map(|line| line.strip_prefix("data:")) else {
            return Meaning::Other;
        };
        if data.trim() == "[DONE]" {
            return Meaning::Last;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return Meaning::Other;
        };
        match chunk.usage {
            Some(usage) => Meaning::Usage(usage),
            None if chunk.choices.is_empty() => Meaning::Other,
            None => Meaning::Token,
        }
    }
}
