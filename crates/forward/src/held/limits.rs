//! Limits of a host, and how far they are used.

/// Memory of a process that holds nothing for callers, in bytes: code, the fleet's connections, the
/// registry of upstreams and what the allocator keeps.
const RESERVED_BYTES: u64 = 22 << 20;

/// Least memory for callers, in bytes, on hosts with hardly more than the reserve.
const MIN_BYTES: u64 = 4 << 20;

/// Share of a limit from which connections are not kept for further requests. Callers with kept connections stay
/// with this host when the load balancer sends others elsewhere.
const CROWDED_SHARE: f64 = 0.4;

/// Share of a limit from which new requests are refused. The rest is for the answers of those accepted.
const REFUSED_SHARE: f64 = 0.8;

/// Share of the memory to which long responses may grow in all.
const RESPONSES_SHARE: f64 = 0.55;

/// Share of the memory that is left to new requests of an account when long responses, its own as well, have
/// grown as far as they may: a body of 4 MiB on a host with 50 MB for its callers.
const ACCOUNT_REQUESTS_SHARE: f64 = 0.085;

/// Share of the memory to which the long responses of one account may grow. An account may hold as much as is free,
/// so what its requests take counts twice.
const ACCOUNT_RESPONSES_SHARE: f64 = 1.0 - RESPONSES_SHARE - 2.0 * ACCOUNT_REQUESTS_SHARE;

/// Share of the memory up to which the heads of requests may outgrow the first buffers of their connections. Buffers that
/// grow leave gaps that the allocator keeps, so not all of the memory is theirs.
const HEADS_SHARE: f64 = 0.6;

/// Share of the memory that long responses leave to new requests, also to those of their own account.
const RESERVED_SHARE: f64 = 0.05;

/// What a host may hold for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory for callers, in bytes.
    pub memory_bytes: u64,
    /// Sockets of callers, neighbours and upstreams.
    pub sockets: u64,
}

impl HostLimits {
    /// The limits of a process that may use `memory_bytes` in all, and `sockets`.
    ///
    /// ```
    /// use coltsfootnotch_forward::held::HostLimits;
    /// let limits = HostLimits::of_process(96 << 20, 2_000);
    /// assert!(limits.memory_bytes > 64 << 20);
    /// assert!(limits.memory_bytes < 96 << 20);
    /// ```
    #[must_use]
    pub fn of_process(memory_bytes: u64, sockets: u64) -> Self {
        Self {
            memory_bytes: memory_bytes.saturating_sub(RESERVED_BYTES).max(MIN_BYTES),
            sockets,
        }
    }

    /// Memory to which the long responses of an account may grow, in bytes.
    pub(super) fn account_response_bytes(&self) -> u64 {
        (self.memory_bytes as f64 * ACCOUNT_RESPONSES_SHARE) as u64
    }

    /// Memory to which all responses may grow, in bytes.
    pub(super) fn response_bytes(&self) -> u64 {
        (self.memory_bytes as f64 * RESPONSES_SHARE) as u64
    }

    /// Memory up to which requests are accepted, in bytes.
    pub(super) fn accepting_bytes(&self) -> u64 {
        (self.memory_bytes as f64 * REFUSED_SHARE) as u64
    }

    /// Memory up to which heads may outgrow their first buffers, in bytes.
    pub(super) fn head_bytes(&self) -> u64 {
        (self.memory_bytes as f64 * HEADS_SHARE) as u64
    }

    /// Memory that long responses leave free, in bytes.
    pub(super) fn reserved_bytes(&self) -> u64 {
        (self.memory_bytes as f64 * RESERVED_SHARE) as u64
    }

    /// How far the memory is used by `bytes`.
    pub(super) fn memory_load(&self, bytes: u64) -> Load {
        Load::of(bytes, self.memory_bytes)
    }

    /// How far the sockets are used by `sockets`.
    pub(super) fn socket_load(&self, sockets: u64) -> Load {
        Load::of(sockets, self.sockets)
    }
}

/// How far the limits of a host are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Load {
    /// Everything is accepted.
    Normal,
    /// Connections are closed after the response in progress.
    Crowded,
    /// New requests are refused before their bodies are read.
    Refusing,
    /// New connections are closed.
    Full,
}

impl Load {
    fn of(used: u64, limit: u64) -> Self {
        match used as f64 / limit.max(1) as f64 {
            share if share >= 1.0 => Self::Full,
            share if share >= REFUSED_SHARE => Self::Refusing,
            share if share >= CROWDED_SHARE => Self::Crowded,
            _ => Self::Normal,
        }
    }
}
