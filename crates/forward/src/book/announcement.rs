//! What an upstream says of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{UpstreamStage, UpstreamWord};

/// Where an upstream is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It takes work.
    Ready,
    /// It finishes what it holds and takes no more.
    Draining,
    /// It has left.
    Left,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its identity. A restarted one may have the identity that it had.
    pub id: Arc<str>,
    /// Start of this run of it, in milliseconds of its own calendar clock; tells runs apart.
    pub born_ms: u64,
    /// Number of the announcement within the run; a lower one is late.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Where it is in its life.
    pub stage: Stage,
    /// How much longer it is slow after its start.
    pub warming: Duration,
}

impl From<Stage> for UpstreamStage {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Ready => Self::Ready,
            Stage::Draining => Self::Draining,
            Stage::Left => Self::Left,
        }
    }
}

impl From<UpstreamStage> for Stage {
    fn from(stage: UpstreamStage) -> Self {
        match stage {
            UpstreamStage::Ready => Self::Ready,
            UpstreamStage::Draining => Self::Draining,
            UpstreamStage::Left => Self::Left,
        }
    }
}

impl From<&Announcement> for UpstreamWord {
    fn from(own: &Announcement) -> Self {
        Self {
            id: own.id.to_string(),
            born_ms: own.born_ms,
            sequence: own.sequence,
            service: own.service.to_string(),
            address: own.address,
            domain: own.domain.to_string(),
            slots: own.slots,
            stage: own.stage.into(),
            warming_ms: u32::try_from(own.warming.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<UpstreamWord> for Announcement {
    fn from(word: UpstreamWord) -> Self {
        Self {
            id: word.id.into(),
            born_ms: word.born_ms,
            sequence: word.sequence,
            service: word.service.into(),
            address: word.address,
            domain: word.domain.into(),
            slots: word.slots,
            stage: word.stage.into(),
            warming: Duration::from_millis(word.warming_ms.into()),
        }
    }
}
