//! Announcements of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{UpstreamRecord, UpstreamStage};

/// Stage of an upstream's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and accepts no more.
    Draining,
    /// It has left.
    Left,
}

/// The announcement of an upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its identity, which may be the same after a restart.
    pub id: Arc<str>,
    /// Start of this run in milliseconds of its own wall clock; distinguishes runs.
    pub born_ms: u64,
    /// Number of the announcement within the run; a lower one is out of date.
    pub sequence: u64,
    /// Name of its service.
    pub service: Arc<str>,
    /// Version of its software; empty if it announced none.
    pub version: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Its stage.
    pub stage: Stage,
    /// Remaining warm-up time after its start.
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

impl From<&Announcement> for UpstreamRecord {
    fn from(announcement: &Announcement) -> Self {
        Self {
            id: announcement.id.to_string(),
            born_ms: announcement.born_ms,
            sequence: announcement.sequence,
            service: announcement.service.to_string(),
            version: announcement.version.to_string(),
            address: announcement.address,
            domain: announcement.domain.to_string(),
            slots: announcement.slots,
            stage: announcement.stage.into(),
            warming_ms: u32::try_from(announcement.warming.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<UpstreamRecord> for Announcement {
    fn from(message: UpstreamRecord) -> Self {
        Self {
            id: message.id.into(),
            born_ms: message.born_ms,
            sequence: message.sequence,
            service: message.service.into(),
            version: message.version.into(),
            address: message.address,
            domain: message.domain.into(),
            slots: message.slots,
            stage: message.stage.into(),
            warming: Duration::from_millis(message.warming_ms.into()),
        }
    }
}
