//! States and events of the chart `upstream`; `charts/upstream.json` describes them.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `upstream`.
    UpstreamState, StateId {
        Announced = "announced",
        Serving = "serving",
        Unreachable = "unreachable",
        Expired = "expired",
        Leaving = "leaving",
        Removed = "removed",
    }
}

symbols! {
    /// Events of the chart `upstream`.
    UpstreamEvent, EventId {
        Announced = "announced",
        AnnouncedLeaving = "announced-leaving",
        AnnouncementExpired = "announcement-expired",
        ProbeSucceeded = "probe-succeeded",
        ConnectFailed = "connect-failed",
        Crashed = "crashed",
        Drained = "drained",
    }
}
