//! Names of the chart `host` as enumerations; `charts/host.json` describes each.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `host`.
    HostState, StateId {
        Joining = "joining",
        Alive = "alive",
        Silent = "silent",
        Leaving = "leaving",
        Left = "left",
        Lost = "lost",
    }
}

symbols! {
    /// Events of the chart `host`.
    HostEvent, EventId {
        Heartbeat = "heartbeat",
        HeartbeatLeaving = "heartbeat-leaving",
        SilenceShort = "silence-short",
        SilenceLong = "silence-long",
        Replaced = "replaced",
        Goodbye = "goodbye",
    }
}
