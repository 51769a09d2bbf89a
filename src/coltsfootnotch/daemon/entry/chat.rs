//! What an entry needs to know of a chat completion request; the rest passes through unread.

use coltsfootnotch_wire::announce::PREFIX_BYTES;
use serde::Deserialize;
use sha2::{Digest, Sha256};

/// Tokens assumed for an answer whose request states no length.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Bytes of text per token, roughly, for the first estimate of a prompt's cost.
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

/// A chat completion request, as far as it matters here.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    pub(super) stream: bool,
    /// Tokens of the prompt, roughly.
    pub(super) tokens_in: u64,
    /// Most tokens of the answer.
    pub(super) tokens_out: u64,
    /// Digest of the prompt's beginning, as cache events name it.
    pub(super) prefix: u64,
}

impl ChatRequest {
    /// Reads a request body.
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

/// The first eight bytes of a SHA-256, as a number.
pub(super) fn digest64(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    digest
        .iter()
        .take(8)
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}
