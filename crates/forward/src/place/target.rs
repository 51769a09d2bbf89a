//! Where a request may go, and where it goes.

use std::sync::Arc;
use std::time::Duration;

use crate::load::{Sent, UpstreamLoad};

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its identity.
    pub id: &'a Arc<str>,
    /// Its failure domain.
    pub domain: &'a str,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that its memory holds, for an engine.
    pub memory_tokens: u64,
    /// What is known of its load.
    pub load: &'a UpstreamLoad,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub id: Arc<str>,
    /// What it counts for there until it ends.
    pub sent: Sent,
    /// How long it is expected to wait there before the engine reads it.
    pub wait: Duration,
    /// How long an account with its fair share may wait there.
    pub bound: Duration,
}
