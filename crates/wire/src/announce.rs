//! The announcement by which an upstream makes itself known to the sidecar on its host.
//!
//! An upstream posts an [`AnnouncementBody`] as JSON to `/v1/announce` on the sidecar, again and
//! again well within its time to live. The sidecar checks it into an [`Announcement`]; an upstream
//! whose announcements stop is forgotten when the last one has expired.
//!
//! Load reports lag and cache events arrive late and with gaps, so both are hints: a sidecar never
//! takes them as proof that a slot is free or that a prefix is still cached.

use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

use coltsfootnotch_types::{NameError, PoolName, UpstreamName};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

/// Most models one announcement may name; bounds what an upstream can make a sidecar keep.
pub const MAX_MODELS: usize = 64;
/// Most cache events one announcement may carry; later ones follow in the next announcement.
pub const MAX_CACHE_EVENTS: usize = 1024;
/// Longest accepted time to live in milliseconds: an upstream that died must not look alive longer.
pub const MAX_TTL_MS: u64 = 60_000;
/// Bytes of the prompt that a prefix digest covers.
pub const PREFIX_BYTES: usize = 256;

/// What runs behind the announced address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine: chat completions, streamed or whole.
    #[display("engine")]
    Engine,
    /// A plain HTTP service.
    #[display("service")]
    Service,
}

/// What an upstream can do beyond answering requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Capabilities {
    /// Resumes a stream at a token (`X-Resume-From`).
    pub resume: bool,
    /// Ends an attempt on `DELETE /v1/attempts/<id>`.
    pub cancel: bool,
    /// Exports and imports its key-value cache.
    pub kv_transfer: bool,
    /// Refuses an order that carries an old fencing number.
    pub fenced: bool,
}

/// The load an upstream reports; as old as `age_ms` says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests admitted and waiting inside the upstream.
    pub waiting: u32,
    /// Age of the two figures when they were sent, in milliseconds.
    pub age_ms: u64,
}

/// What happened to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheOp {
    /// The prefix has been cached.
    Add,
    /// The prefix has been evicted.
    Evict,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events were lost and the view is stale.
    pub seq: u64,
    /// Hex of the first eight bytes of the SHA-256 of the prompt's first [`PREFIX_BYTES`] bytes.
    pub prefix: String,
    /// What happened.
    pub op: CacheOp,
}

/// An announcement as it is sent, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementBody {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Model or service it serves.
    pub pool: String,
    /// What runs behind the address.
    pub kind: UpstreamKind,
    /// Address that takes its requests, `ip:port`.
    pub address: String,
    /// What it can do.
    #[serde(default)]
    pub capabilities: Capabilities,
    /// Models, adapters and versions it has loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// Its load.
    #[serde(default)]
    pub load: LoadReport,
    /// Changes of its prefix cache since the last announcement.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// How long the announcement holds, in milliseconds.
    pub ttl_ms: u64,
}

/// An announcement whose parts have been checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Model or service it serves.
    pub pool: PoolName,
    /// What runs behind the address.
    pub kind: UpstreamKind,
    /// Address that takes its requests.
    pub address: SocketAddr,
    /// What it can do.
    pub capabilities: Capabilities,
    /// Models, adapters and versions it has loaded.
    pub models: Vec<String>,
    /// Its load.
    pub load: LoadReport,
    /// Changes of its prefix cache since the last announcement.
    pub cache_events: Vec<CacheEvent>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// How long the announcement holds.
    pub ttl: Duration,
}

/// Why an announcement is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum AnnounceError {
    /// The upstream's or the pool's name is not a name.
    #[display("the announcement holds a bad name")]
    Name(NameError),
    /// The address is not `ip:port`.
    #[display("the announced address is not ip:port")]
    Address(AddrParseError),
    /// The time to live is zero or too long.
    #[display("a time to live of {ttl_ms} ms is not between 1 and {MAX_TTL_MS}")]
    #[from(ignore)]
    Ttl {
        /// The time found, in milliseconds.
        ttl_ms: u64,
    },
    /// More models than a sidecar keeps.
    #[display("{found} models are more than {MAX_MODELS}")]
    #[from(ignore)]
    TooManyModels {
        /// The number found.
        found: usize,
    },
    /// More cache events than one announcement may carry.
    #[display("{found} cache events are more than {MAX_CACHE_EVENTS}")]
    #[from(ignore)]
    TooManyCacheEvents {
        /// The number found.
        found: usize,
    },
}

impl TryFrom<AnnouncementBody> for Announcement {
    type Error = AnnounceError;

    /// Checks what an upstream sent.
    ///
    /// ```
    /// use coltsfootnotch_wire::announce::{Announcement, AnnouncementBody, UpstreamKind};
    /// let body = AnnouncementBody {
    ///     name: "spec-llm-1".into(),
    ///     pool: "spec-llm".into(),
    ///     kind: UpstreamKind::Engine,
    ///     address: "127.0.0.1:8000".into(),
    ///     capabilities: Default::default(),
    ///     models: vec!["spec-llm".into()],
    ///     load: Default::default(),
    ///     cache_events: Vec::new(),
    ///     leaving: false,
    ///     ttl_ms: 3000,
    /// };
    /// let checked = Announcement::try_from(body)?;
    /// assert_eq!(checked.pool.as_str(), "spec-llm");
    /// # Ok::<(), coltsfootnotch_wire::announce::AnnounceError>(())
    /// ```
    fn try_from(body: AnnouncementBody) -> Result<Self, AnnounceError> {
        if !(1..=MAX_TTL_MS).contains(&body.ttl_ms) {
            return Err(AnnounceError::Ttl {
                ttl_ms: body.ttl_ms,
            });
        }
        if body.models.len() > MAX_MODELS {
            return Err(AnnounceError::TooManyModels {
                found: body.models.len(),
            });
        }
        if body.cache_events.len() > MAX_CACHE_EVENTS {
            return Err(AnnounceError::TooManyCacheEvents {
                found: body.cache_events.len(),
            });
        }
        Ok(Self {
            name: UpstreamName::new(body.name)?,
            pool: PoolName::new(body.pool)?,
            kind: body.kind,
            address: body.address.parse::<SocketAddr>()?,
            capabilities: body.capabilities,
            models: body.models,
            load: body.load,
            cache_events: body.cache_events,
            leaving: body.leaving,
            ttl: Duration::from_millis(body.ttl_ms),
        })
    }
}
