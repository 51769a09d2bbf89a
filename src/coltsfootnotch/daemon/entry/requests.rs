//! The active requests of an entry.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootnotch_chart::{Chart, Machine, RequestEvent, RequestState};
use coltsfootnotch_router::QueuedRequest;
use coltsfootnotch_state::ProcessId;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, OpenCause, Run};
use tokio::task::AbortHandle;

use super::ClientRequest;
use super::attempt_result::CollectedResponse;

/// An attempt for which a slot was chosen.
#[derive(Debug, Clone)]
pub(super) struct ChosenSlot {
    pub(super) attempt: AttemptId,
    pub(super) host: HostName,
    pub(super) sidecar: Incarnation,
    pub(super) cause: OpenCause,
    pub(super) queued: QueuedRequest,
}

/// The stage of a request, with the state needed to proceed.
#[derive(Debug)]
pub(super) enum Stage {
    /// Waits for a slot.
    Queued,
    /// The intent is being committed; nothing was sent to the sidecar.
    CommittingIntent(Box<ChosenSlot>),
    /// The attempt was sent to the sidecar.
    Running {
        chosen: Box<ChosenSlot>,
        task: AbortHandle,
    },
    /// The attempt was not started and is being closed in the ledger before another one.
    Closing(Box<ChosenSlot>),
    /// The response is being recorded in the ledger.
    Recording { response: CollectedResponse },
    /// An earlier attempt of the same call is being resolved.
    Resolving(Box<UnresolvedAttempt>),
}

/// An earlier attempt that may have run.
#[derive(Debug, Clone)]
pub(super) struct UnresolvedAttempt {
    /// Queued again if the earlier attempt did not run.
    pub(super) queued: QueuedRequest,
    pub(super) earlier: AttemptId,
    pub(super) sidecar: ProcessId,
    /// The reread call, once it is made.
    pub(super) reread: Option<u64>,
    pub(super) deadline: std::time::Duration,
}

/// A request from its admission until it is finished.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) req: ClientRequest,
    pub(super) stage: Stage,
    /// Whether the caller has left. A call that was sent runs on, so that its outcome is recorded, and is not sent
    /// again.
    pub(super) caller_left: bool,
    /// Upstreams on which attempts have failed.
    pub(super) failed_on: Vec<UpstreamName>,
    machine: Machine,
}

impl ActiveRequest {
    /// Applies an event to the request's state chart; panics on an event that it does not expect.
    pub(super) fn fire(&mut self, event: RequestEvent) {
        if let Err(e) = self.machine.fire(event) {
            panic!("request {}: {e}", self.req.request);
        }
    }

    /// Whether the request has run, as reported if it finishes now.
    ///
    /// Once an attempt was sent, only a report of the sidecar can rule out that it ran (chart
    /// `request`).
    pub(super) fn run_status(&self) -> Run {
        let any_of = |states: &[RequestState]| states.iter().any(|state| self.machine.is(*state));
        if any_of(&[
            RequestState::Received,
            RequestState::Waiting,
            RequestState::CommittingIntent,
        ]) {
            return Run::No;
        }
        if any_of(&[
            RequestState::Streaming,
            RequestState::Resuming,
            RequestState::CommittingOutcome,
        ]) {
            return Run::Yes;
        }
        Run::Unknown
    }
}

/// Requests by number.
#[derive(Debug)]
pub(super) struct Requests {
    chart: Arc<Chart>,
    by_number: HashMap<u64, ActiveRequest>,
}

impl Requests {
    pub(super) fn new(chart: Arc<Chart>) -> Self {
        Self {
            chart,
            by_number: HashMap::new(),
        }
    }

    /// Inserts an admitted request.
    pub(super) fn insert(&mut self, req: ClientRequest) {
        let machine = Machine::new(&self.chart);
        let request = req.request;
        let mut active = ActiveRequest {
            req,
            stage: Stage::Queued,
            caller_left: false,
            failed_on: vec![],
            machine,
        };
        active.fire(RequestEvent::Admitted);
        let previous = self.by_number.insert(request, active);
        assert!(
            previous.is_none(),
            "the request number {request} is used twice"
        );
    }

    pub(super) fn get(&self, request: u64) -> Option<&ActiveRequest> {
        self.by_number.get(&request)
    }

    pub(super) fn get_mut(&mut self, request: u64) -> Option<&mut ActiveRequest> {
        self.by_number.get_mut(&request)
    }

    pub(super) fn remove(&mut self, request: u64) -> Option<ActiveRequest> {
        self.by_number.remove(&request)
    }

    /// Applies an event to a request, if it is still active.
    pub(super) fn fire(&mut self, request: u64, event: RequestEvent) {
        if let Some(active) = self.by_number.get_mut(&request) {
            active.fire(event);
        }
    }

    /// Returns the running attempt of a request if it is `attempt`, and none for an earlier one.
    pub(super) fn running(&self, attempt: AttemptId) -> Option<&ChosenSlot> {
        match &self.by_number.get(&attempt.request)?.stage {
            Stage::Running { chosen, .. } if chosen.attempt == attempt => Some(chosen),
            _ => None,
        }
    }

    /// Requests whose earlier attempt is being resolved.
    pub(super) fn unresolved(&self) -> impl Iterator<Item = (u64, &UnresolvedAttempt)> {
        self.by_number
            .iter()
            .filter_map(|(request, active)| match &active.stage {
                Stage::Resolving(unresolved) => Some((*request, &**unresolved)),
                _ => None,
            })
    }

    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }
}
