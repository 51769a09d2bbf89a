//! Notices of upstreams, shared by the actor and the tasks of connections.

use std::sync::{Mutex, MutexGuard, PoisonError};

use coltsfootnotch_forward::upstream_notices::UpstreamNotices;

/// What upstreams asked for in their responses. Tasks record it as soon as they have read a
/// response, and check it before each request that they send: a request may have been placed before
/// the response came.
#[derive(Debug, Default)]
pub(super) struct SharedNotices(Mutex<UpstreamNotices>);

impl SharedNotices {
    pub(super) fn lock(&self) -> MutexGuard<'_, UpstreamNotices> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
