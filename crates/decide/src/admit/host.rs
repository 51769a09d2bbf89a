//! Shortage of connections or memory on the entry host itself.

use std::time::Duration;

use super::{Refusal, RefusalReason};

/// New requests are turned away at this share of the memory limit. The rest belongs to requests in
/// progress, whose answers still have to be buffered.
const MEMORY_FOR_NEW: f64 = 0.8;

/// When to come back to a host that is short itself: another host behind the balancer has room at
/// once, and this one frees memory within a few answers.
const HOST_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What one entry host may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Open connections of callers.
    pub connections: u32,
    /// Bytes of requests and answers held.
    pub memory: u64,
}

/// What one entry host uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Open connections of callers.
    pub connections: u32,
    /// Bytes of requests and answers held.
    pub memory: u64,
}

impl HostLimits {
    /// Whether the host takes another connection.
    ///
    /// # Errors
    /// Returns a [`Refusal`] when all connections are in use.
    pub fn admit_connection(&self, load: HostLoad) -> Result<(), Refusal> {
        if load.connections < self.connections {
            return Ok(());
        }
        Err(Refusal::new(RefusalReason::Connections, HOST_RETRY_AFTER))
    }

    /// Whether the host takes a request with a body of `bytes`.
    ///
    /// # Errors
    /// Returns a [`Refusal`] when the memory kept for new requests is used up.
    pub fn admit_body(&self, load: HostLoad, bytes: u64) -> Result<(), Refusal> {
        let for_new = (self.memory as f64 * MEMORY_FOR_NEW) as u64;
        if load.memory.saturating_add(bytes) <= for_new {
            return Ok(());
        }
        Err(Refusal::new(RefusalReason::Memory, HOST_RETRY_AFTER))
    }
}
