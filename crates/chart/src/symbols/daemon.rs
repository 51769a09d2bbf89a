//! States and events of the chart `daemon`; `charts/daemon.json` describes them.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `daemon`.
    DaemonState, StateId {
        Starting = "starting",
        Ready = "ready",
        Draining = "draining",
        Stopped = "stopped",
    }
}

symbols! {
    /// Events of the chart `daemon`.
    DaemonEvent, EventId {
        ConfigInForce = "config-in-force",
        ShutdownRequested = "shutdown-requested",
        Drained = "drained",
        ShutdownTimeout = "shutdown-timeout",
        ShutdownForced = "shutdown-forced",
    }
}
