//! Candidates for a request, and its placement.

use std::sync::Arc;
use std::time::Duration;

use crate::load::{SentRequest, UpstreamLoad};

/// An upstream that can be chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its identity.
    pub id: &'a Arc<str>,
    /// Its failure domain.
    pub domain: &'a str,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Size of its memory in tokens, for an engine.
    pub memory_tokens: u64,
    /// Its load.
    pub load: &'a UpstreamLoad,
}

/// The upstream chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Identity of the upstream.
    pub id: Arc<str>,
    /// Another engine from which it copies the shared segments that it lacks.
    pub copy_from: Option<Arc<str>>,
    /// The request's load at the upstream until it finishes.
    pub sent: SentRequest,
    /// Expected wait before the engine prefills it.
    pub wait: Duration,
    /// Limit on the wait for an account within its fair share.
    pub bound: Duration,
}
