//! What comes to the daemon's actor.

use coltsfootnotch_fabric::Event;

use super::disk::DiskReport;

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
    /// From the handle.
    Stop(Stop),
}
