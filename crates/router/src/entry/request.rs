//! A request in an entry's queue.

use std::time::Duration;

use coltsfootnotch_decide::route::PrefixKey;
use coltsfootnotch_types::prelude::*;

/// An admitted request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Number of the request, unique within the entry's incarnation.
    pub request: u64,
    /// Number of its next attempt, from 0.
    pub attempt: u32,
    /// The client account that sent it.
    pub account: AccountName,
    /// The pool that it is for.
    pub pool: PoolName,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller's timeout ends.
    pub deadline: Duration,
    /// Estimated service of one run.
    pub estimate: ServiceUnits,
    /// Digest of the prompt's prefix, for cache affinity; zero for none.
    pub prefix: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Sidecars at which it failed before; a retry avoids them while another one serves the pool.
    pub avoid: Vec<HostName>,
}

impl QueuedRequest {
    /// The key of its prompt's prefix, if it has one.
    #[must_use]
    pub fn prefix_key(&self) -> Option<PrefixKey> {
        (self.prefix != 0).then_some(PrefixKey(self.prefix))
    }
}
