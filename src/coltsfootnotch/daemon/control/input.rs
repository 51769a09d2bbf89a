//! Inputs of the daemon's actor.

use std::net::SocketAddr;

use coltsfootnotch_fabric::Event;
use tokio::sync::oneshot;

use super::disk::DiskReport;
use super::seeded::{Call, CallReply};

/// How to stop the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stop {
    /// Transfers the leadership first.
    Graceful,
    /// At once.
    Now,
}

/// Input of the daemon's actor, sent by other threads.
#[derive(Debug)]
pub(super) enum Input {
    /// From the fleet endpoint.
    Fabric(Event),
    /// From the thread that owns the data folder.
    Disk(DiskReport),
    /// An HTTP call of an operator or an upstream.
    Call(Call, oneshot::Sender<CallReply>),
    /// New seeds from changed settings.
    Seeds(Vec<SocketAddr>),
    /// From the handle.
    Stop(Stop),
}
