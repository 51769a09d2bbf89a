//! Services: the upstreams of one kind, known by one name.

use std::sync::Arc;

/// What a model engine holds at once.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that running requests and cached prompts share.
    pub memory_tokens: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its upstreams takes from all hosts together.
    pub max_connections: u32,
    /// What each upstream holds, for a model engine; none for a plain service.
    pub engine: Option<Engine>,
}
