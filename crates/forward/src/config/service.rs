//! Services: groups of equivalent upstreams.

use std::sync::Arc;

/// Capacity of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Tokens of memory shared by running requests and cached prompts.
    pub memory_tokens: u64,
    /// Tokens per millisecond at which it copies cached prompts from another engine of the service;
    /// none if it can't.
    pub copy_tokens_per_ms: Option<f64>,
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
