//! Memory that connections and streams take besides the bytes in transit, in bytes. Includes what the
//! allocator and the runtime add.

/// A connection of a caller, with the buffers of its server.
pub(super) const CONNECTION_BYTES: u64 = 14 * 1024;
/// A connection of a caller that is relayed to a neighbour.
pub(super) const RELAY_BYTES: u64 = 20 * 1024;
/// Part of that for heads that are not complete and requests without a response; ordinary ones fit.
pub(super) const RELAY_HEAD_BYTES: u64 = 4 * 1024;
/// A connection to an upstream.
pub(super) const UPSTREAM_BYTES: u64 = 12 * 1024;
/// A request in progress, besides its headers and body: its tasks and what is decided for it.
pub(super) const REQUEST_BYTES: u64 = 19 * 1024;
/// Multiple of a configuration's size that it takes with its decoded form.
pub(super) const CONFIG_FACTOR: u64 = 4;
