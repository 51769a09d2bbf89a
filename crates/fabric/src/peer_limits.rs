//! Limits on what peers can make an endpoint hold.

/// Memory that a connection takes besides its frames, in bytes: its state, and what it has received and not read.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Part of the memory of a process for connections that its peers open.
const CONNECTIONS_DIVISOR: u64 = 2;
/// Part of these that may be in their handshakes at once.
const HANDSHAKES_DIVISOR: u64 = 8;
/// Part of the memory of a process for the frames that it receives, and as much for those that it sends.
const FRAMES_DIVISOR: u64 = 4;

/// Memory of a process that is not told how much it has, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 128 << 20;

/// Limits on what the peers of an endpoint make it hold, all together.
///
/// ```
/// use coltsfootnotch_fabric::PeerLimits;
/// let limits = PeerLimits::for_memory(128 << 20);
/// assert_eq!(limits.connections, 1_024);
/// assert_eq!(limits.handshakes, 128);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Connections that were accepted; further ones are refused.
    pub connections: usize,
    /// Connections among them whose first frame has not arrived, and as many that wait to be accepted; further ones are
    /// refused.
    pub handshakes: usize,
    /// Memory for frames that are received and not handled, in bytes; further ones wait.
    pub received_bytes: u64,
    /// Memory for frames that peers have not read, in bytes; the connection with most of them is closed beyond it.
    pub queued_bytes: u64,
}

impl PeerLimits {
    /// Limits for a process that has this memory, in bytes.
    #[must_use]
    pub fn for_memory(bytes: u64) -> Self {
        let connections = bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let connections = usize::try_from(connections).unwrap_or(usize::MAX).max(1);
        Self {
            connections,
            handshakes: connections.div_ceil(HANDSHAKES_DIVISOR as usize),
            received_bytes: bytes / FRAMES_DIVISOR,
            queued_bytes: bytes / FRAMES_DIVISOR,
        }
    }
}

impl Default for PeerLimits {
    /// Limits for a process that is not told how much memory it has.
    fn default() -> Self {
        Self::for_memory(DEFAULT_MEMORY_BYTES)
    }
}
