//! Connection and memory limits of an entry host.

use std::time::Duration;

use super::{Refusal, RefusalReason};

/// Share of the memory limit above which new requests are refused. The rest is kept for the answers
/// of requests in progress.
const NEW_REQUEST_MEMORY_SHARE: f64 = 0.8;

/// `retry_after` of a host at its limits. Short, since the load balancer may pick another host.
const HOST_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Resource limits of one entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Open connections of callers.
    pub connections: u32,
    /// Bytes of requests and answers held.
    pub memory: u64,
}

/// Resource usage of one entry host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Open connections of callers.
    pub connections: u32,
    /// Bytes of requests and answers held.
    pub memory: u64,
}

impl HostLimits {
    /// Whether the host accepts another connection.
    ///
    /// # Errors
    /// Returns a [`Refusal`] when all connections are in use.
    pub fn admit_connection(&self, load: HostLoad) -> Result<(), Refusal> {
        if load.connections < self.connections {
            return Ok(());
        }
        Err(Refusal::new(RefusalReason::Connections, HOST_RETRY_AFTER))
    }

    /// Whether the host accepts a request with a body of `bytes`.
    ///
    /// # Errors
    /// Returns a [`Refusal`] when the body exceeds the memory left for new requests.
    pub fn admit_body(&self, load: HostLoad, bytes: u64) -> Result<(), Refusal> {
        let new_request_limit = (self.memory as f64 * NEW_REQUEST_MEMORY_SHARE) as u64;
        if load.memory.saturating_add(bytes) <= new_request_limit {
            return Ok(());
        }
        Err(Refusal::new(RefusalReason::Memory, HOST_RETRY_AFTER))
    }
}
