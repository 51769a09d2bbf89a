//! States and events of the chart `request`; `charts/request.json` describes them.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `request`.
    RequestState, StateId {
        Received = "received",
        Waiting = "waiting",
        WaitingAgain = "waiting-again",
        CommittingIntent = "committing-intent",
        Offered = "offered",
        OfferedAgain = "offered-again",
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
        Begun = "begun",
        SlotChosen = "slot-chosen",
        IntentCommitted = "intent-committed",
        IntentRefused = "intent-refused",
        OpenElsewhere = "open-elsewhere",
        IntentUnknown = "intent-unknown",
        NotStarted = "not-started",
        Started = "started",
        AnswerBegun = "answer-begun",
        Finished = "finished",
        OutcomeReceived = "outcome-received",
        OutcomeCommitted = "outcome-committed",
        OutcomeUnknown = "outcome-unknown",
        OutcomeLost = "outcome-lost",
        SettledNotRun = "settled-not-run",
        AttemptFailed = "attempt-failed",
        Retried = "retried",
        ConnectionLost = "connection-lost",
        ConnectionResumed = "connection-resumed",
        CallerGone = "caller-gone",
        DeadlinePassed = "deadline-passed",
    }
}
