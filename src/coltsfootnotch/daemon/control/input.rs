//! What comes to the daemon's actor.

use std::net::SocketAddr;

use coltsfootnotch_fabric::Event;
use tokio::sync::oneshot;

use super::disk::DiskReport;
use super::seeded::{Call, CallReply};

/// How the daemon is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stop {
    /// Hands the leadership over first.
    Graceful,
    /// At once.
    Now,
}

/// What comes to the daemon's actor, from other threads.
#[derive(Debug)]
pub(super) enum Input {
    /// From the fleet endpoint.
    Fabric(Event),
    /// From the thread that owns the data folder.
    Disk(DiskReport),
    /// An operator or an upstream calls over HTTP.
    Call(Call, oneshot::Sender<CallReply>),
    /// The settings name other seeds now.
    Seeds(Vec<SocketAddr>),
    /// From the handle.
    Stop(Stop),
}
