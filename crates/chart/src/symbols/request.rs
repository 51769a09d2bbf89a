//! States and events of the chart `request`; `charts/request.json` describes them.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `request`.
    RequestState, StateId {
        Received = "received",
        Waiting = "waiting",
        Requeued = "requeued",
        CommittingIntent = "committing-intent",
        Offered = "offered",
        Reoffered = "reoffered",
        Started = "started",
        Reconnecting = "reconnecting",
        Streaming = "streaming",
        Resuming = "resuming",
        CommittingOutcome = "committing-outcome",
        InDoubt = "in-doubt",
        Done = "done",
        Refused = "refused",
        Cancelled = "cancelled",
        Failed = "failed",
        Unknown = "unknown",
    }
}

symbols! {
    /// Events of the chart `request`.
    RequestEvent, EventId {
        Admitted = "admitted",
        Refused = "refused",
        Replayed = "replayed",
        AttemptSent = "attempt-sent",
        SlotChosen = "slot-chosen",
        IntentCommitted = "intent-committed",
        IntentRefused = "intent-refused",
        OtherAttemptOpen = "other-attempt-open",
        IntentUnknown = "intent-unknown",
        NotStarted = "not-started",
        Started = "started",
        AnswerStarted = "answer-started",
        Finished = "finished",
        OutcomeReceived = "outcome-received",
        OutcomeCommitted = "outcome-committed",
        OutcomeUnknown = "outcome-unknown",
        OutcomeLost = "outcome-lost",
        ResolvedNotRun = "resolved-not-run",
        AttemptFailed = "attempt-failed",
        Retried = "retried",
        ConnectionLost = "connection-lost",
        ConnectionResumed = "connection-resumed",
        CallerDisconnected = "caller-disconnected",
        DeadlinePassed = "deadline-passed",
    }
}
