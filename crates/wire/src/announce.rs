//! Announcements of upstreams to the sidecar on their host.
//!
//! An upstream posts an [`AnnouncementBody`] as JSON to `/v1/announce` on the sidecar, and repeats
//! it before its time to live has passed. The sidecar validates it into an [`Announcement`] and
//! removes an upstream when its last announcement expires.
//!
//! Load reports are delayed and cache events can be late or lost, so both are hints: neither proves
//! that a slot is free or that a prefix is still cached.

use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

use coltsfootnotch_types::{NameError, PoolName, UpstreamName};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

/// Maximum number of models in one announcement; bounds the memory that an upstream takes up in a
/// sidecar.
pub const MAX_MODELS: usize = 64;
/// Maximum number of cache events in one announcement; the rest go into the next one.
pub const MAX_CACHE_EVENTS: usize = 1024;
/// Maximum time to live in milliseconds; bounds how long an upstream that crashed is still listed.
pub const MAX_TTL_MS: u64 = 60_000;
/// Length in bytes of the start of a prompt that a prefix digest covers.
pub const PREFIX_BYTES: usize = 256;

/// Kind of upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine that serves chat completions, streamed or not.
    #[display("engine")]
    Engine,
    /// A plain HTTP service.
    #[display("service")]
    Service,
}

/// Optional features that an upstream supports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Capabilities {
    /// Resumes a stream at a token (`X-Resume-From`).
    pub resume: bool,
    /// Cancels an attempt on `DELETE /v1/attempts/<id>`.
    pub cancel: bool,
    /// Exports and imports its key-value cache.
    pub kv_transfer: bool,
    /// Refuses orders with an outdated fencing number.
    pub fenced: bool,
}

/// Load that an upstream reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted by the upstream that wait for a place in the batch.
    pub waiting: u32,
    /// Age of the two counts when the report was sent, in milliseconds.
    pub age_ms: u64,
}

/// Kind of change of a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheOp {
    /// The prefix was cached.
    Add,
    /// The prefix was evicted.
    Evict,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost and the recorded prefixes may be stale.
    pub seq: u64,
    /// Hex of the first eight bytes of the SHA-256 of the prompt's first [`PREFIX_BYTES`] bytes.
    pub prefix: String,
    /// The kind of change.
    pub op: CacheOp,
}

/// JSON body of an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementBody {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Pool of the model or service that it serves.
    pub pool: String,
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Address for requests, `ip:port`.
    pub address: String,
    /// Optional features that it supports.
    #[serde(default)]
    pub capabilities: Capabilities,
    /// Models, adapters and versions that are loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// Its current load.
    #[serde(default)]
    pub load: LoadReport,
    /// Changes of its prefix cache since the last announcement.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
    /// Whether it is draining and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Time to live of the announcement, in milliseconds.
    pub ttl_ms: u64,
}

/// A validated announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Pool of the model or service that it serves.
    pub pool: PoolName,
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Address for requests.
    pub address: SocketAddr,
    /// Optional features that it supports.
    pub capabilities: Capabilities,
    /// Models, adapters and versions that are loaded.
    pub models: Vec<String>,
    /// Its current load.
    pub load: LoadReport,
    /// Changes of its prefix cache since the last announcement.
    pub cache_events: Vec<CacheEvent>,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
    /// Time to live of the announcement.
    pub ttl: Duration,
}

/// Reason why an announcement is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum AnnounceError {
    /// The name of the upstream or of the pool is not valid.
    #[display("the announcement holds a bad name")]
    Name(NameError),
    /// The address is not of the form `ip:port`.
    #[display("the announced address is not ip:port")]
    Address(AddrParseError),
    /// The time to live is zero or too long.
    #[display("a time to live of {ttl_ms} ms is not between 1 and {MAX_TTL_MS}")]
    #[from(ignore)]
    Ttl {
        /// The announced time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// More than [`MAX_MODELS`] models.
    #[display("{found} models are more than {MAX_MODELS}")]
    #[from(ignore)]
    TooManyModels {
        /// The announced number.
        found: usize,
    },
    /// More than [`MAX_CACHE_EVENTS`] cache events.
    #[display("{found} cache events are more than {MAX_CACHE_EVENTS}")]
    #[from(ignore)]
    TooManyCacheEvents {
        /// The announced number.
        found: usize,
    },
}

impl TryFrom<AnnouncementBody> for Announcement {
    type Error = AnnounceError;

    /// Validates the body of an announcement.
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
