//! States and events of the chart `host`; `charts/host.json` describes them.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `host`.
    HostState, StateId {
        Returning = "returning",
        Listed = "listed",
        Suspect = "suspect",
        Silent = "silent",
        Left = "left",
    }
}

symbols! {
    /// Events of the chart `host`.
    HostEvent, EventId {
        HeartbeatReceived = "heartbeat-received",
        Stabilized = "stabilized",
        SuspectTimeout = "suspect-timeout",
        SilenceTimeout = "silence-timeout",
        LeaveAnnounced = "leave-announced",
    }
}
