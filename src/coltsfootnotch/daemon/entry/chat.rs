//! Parses the fields of a chat completion request that the entry uses.

use coltsfootnotch_wire::announce::PREFIX_BYTES;
use serde::Deserialize;
use sha2::{Digest, Sha256};

/// Maximum tokens of the response when the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Approximate bytes of text per token, for the estimated cost of a prompt.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

/// The parsed fields of a chat completion request.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    pub(super) stream: bool,
    /// Approximate number of prompt tokens.
    pub(super) tokens_in: u64,
    /// Maximum tokens of the response.
    pub(super) tokens_out: u64,
    /// Digest of the prompt's prefix, as in cache events.
    pub(super) prefix: u64,
}

impl ChatRequest {
    /// Parses a request body.
    pub(super) fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let chat: ChatBody = serde_json::from_slice(body)?;
        let contents: Vec<&str> = chat
            .messages
            .iter()
            .filter_map(|message| message.content.as_str())
            .collect();
        let prompt = contents.join("\n");
        let covered = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        Ok(Self {
            model: chat.model,
            stream: chat.stream,
            tokens_in: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
            tokens_out: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefix: digest64(covered),
        })
    }
}

/// The first eight bytes of a SHA-256 digest, as a big-endian number.
pub(super) fn digest64(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    digest
        .iter()
        .take(8)
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}
