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

/// The candidates that a request may go to, but for those in `avoid`. Upstreams that are silent are among them only
/// if there are no others: a silence may be a hang, or end in a moment.
pub(super) fn usable<'a>(
    now: Duration,
    avoid: &[Arc<str>],
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    let candidates = candidates.into_iter();
    let mut usable: Vec<_> = candidates
        .filter(|c| !avoid.contains(c.id) && c.load.health().is_available(now))
        .collect();
    if usable.iter().any(|c| !c.load.health().is_silent(now)) {
        usable.retain(|c| !c.load.health().is_silent(now));
    }
    usable
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
