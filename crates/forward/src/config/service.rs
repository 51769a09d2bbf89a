//! Services: groups of equivalent upstreams.

use std::sync::Arc;

use crate::place::Prompt;

/// Capacity of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Tokens of memory shared by running requests and cached prompts; zero if not stated.
    pub memory_tokens: u64,
    /// Tokens per millisecond at which it copies cached prompts from another engine of the service;
    /// none if it can't.
    pub copy_tokens_per_ms: Option<f64>,
}

impl Engine {
    /// Whether an idle engine has memory for the prompt and its longest answer. An engine whose memory is not
    /// stated decides itself.
    ///
    /// ```
    /// use coltsfootnotch_forward::config::Engine;
    /// use coltsfootnotch_forward::place::Prompt;
    /// let engine = Engine { slots: 8, memory_tokens: 9_000, copy_tokens_per_ms: None };
    /// let prompt = |tokens| Prompt { tokens, output_tokens: 1_000, shared: Vec::new() };
    /// assert!(engine.can_hold(&prompt(8_000)));
    /// assert!(!engine.can_hold(&prompt(8_001)));
    /// ```
    #[must_use]
    pub fn can_hold(&self, prompt: &Prompt) -> bool {
        self.memory_tokens == 0 || prompt.memory_tokens() <= self.memory_tokens
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Most connections to one of its upstreams from all hosts together.
    pub max_connections: u32,
    /// Capacity of each upstream if they are model engines.
    pub engine: Option<Engine>,
    /// Requests per second that an upstream takes while it warms up; zero if not limited.
    pub warm_up_per_s: f64,
}
