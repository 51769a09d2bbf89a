//! JSON types of the chat completions API.

use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub(crate) struct ChatRequest {
    #[serde(default)]
    pub(crate) model: Option<String>,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    pub(crate) content: String,
}

#[derive(Serialize)]
pub(crate) struct Completion<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'a str,
    pub(crate) model: &'a str,
    pub(crate) choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<Usage>,
}

#[derive(Serialize, Default)]
pub(crate) struct Choice<'a> {
    pub(crate) index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<Message>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<Delta>,
    pub(crate) finish_reason: Option<&'a str>,
}

#[derive(Serialize, Default)]
pub(crate) struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<String>,
}

#[derive(Serialize, Clone, Copy)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    pub(crate) total_tokens: u32,
}
