//! Requests in progress at one entry.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootnotch_chart::{Chart, Machine, RequestEvent, RequestState};
use coltsfootnotch_router::QueuedRequest;
use coltsfootnotch_state::ProcessId;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, BeginCause, Run};
use tokio::task::AbortHandle;

use super::Arrival;
use super::attempt_end::Collected;

/// An attempt whose slot is chosen.
#[derive(Debug, Clone)]
pub(super) struct Chosen {
    pub(super) attempt: AttemptId,
    pub(super) host: HostName,
    pub(super) sidecar: Incarnation,
    pub(super) cause: BeginCause,
    pub(super) waiting: QueuedRequest,
}

/// What a request waits for, with what is needed to go on.
#[derive(Debug)]
pub(super) enum Stage {
    /// A slot.
    Waiting,
    /// Its intent is being committed; nothing was sent to the sidecar.
    Intent(Box<Chosen>),
    /// The sidecar.
    Running {
        chosen: Box<Chosen>,
        task: AbortHandle,
    },
    /// Its attempt was not started; the ledger is being told before another may be.
    Closing(Box<Chosen>),
    /// Its answer is being recorded.
    Recording { answer: Collected },
    /// An earlier attempt of the same call is being settled.
    Settling(Box<Settling>),
}

/// An earlier attempt that may have run.
#[derive(Debug, Clone)]
pub(super) struct Settling {
    /// The request's own place, to wait again when the earlier attempt did not run.
    pub(super) waiting: QueuedRequest,
    pub(super) earlier: AttemptId,
    pub(super) sidecar: ProcessId,
    pub(super) until: std::time::Duration,
}

/// One request.
#[derive(Debug)]
pub(super) struct InProgress {
    pub(super) arrival: Arrival,
    pub(super) stage: Stage,
    /// Upstreams on which attempts have failed.
    pub(super) failed_on: Vec<UpstreamName>,
    machine: Machine,
}

impl InProgress {
    /// Moves the request on; an event that its chart never expects is a fault of the program.
    pub(super) fn fire(&mut self, event: RequestEvent) {
        if let Err(e) = self.machine.fire(event) {
            panic!("request {}: {e}", self.arrival.request);
        }
    }

    /// Whether the request was run, if it ended now.
    ///
    /// Once an attempt was sent only the sidecar's word takes it back: see the chart `request`.
    pub(super) fn run(&self) -> Run {
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
    by_number: HashMap<u64, InProgress>,
}

impl Requests {
    pub(super) fn new(chart: Arc<Chart>) -> Self {
        Self {
            chart,
            by_number: HashMap::new(),
        }
    }

    /// Takes in an admitted request.
    pub(super) fn insert(&mut self, arrival: Arrival) {
        let machine = Machine::new(&self.chart);
        let request = arrival.request;
        let mut in_progress = InProgress {
            arrival,
            stage: Stage::Waiting,
            failed_on: vec![],
            machine,
        };
        in_progress.fire(RequestEvent::Admitted);
        let before = self.by_number.insert(request, in_progress);
        assert!(
            before.is_none(),
            "the request number {request} is used twice"
        );
    }

    pub(super) fn get(&self, request: u64) -> Option<&InProgress> {
        self.by_number.get(&request)
    }

    pub(super) fn get_mut(&mut self, request: u64) -> Option<&mut InProgress> {
        self.by_number.get_mut(&request)
    }

    pub(super) fn remove(&mut self, request: u64) -> Option<InProgress> {
        self.by_number.remove(&request)
    }

    /// Moves a request on.
    pub(super) fn fire(&mut self, request: u64, event: RequestEvent) {
        if let Some(in_progress) = self.by_number.get_mut(&request) {
            in_progress.fire(event);
        }
    }

    /// The attempt named, if it is the one that runs; else what came of it is late and is dropped.
    pub(super) fn running(&self, attempt: AttemptId) -> Option<&Chosen> {
        match &self.by_number.get(&attempt.request)?.stage {
            Stage::Running { chosen, .. } if chosen.attempt == attempt => Some(chosen),
            _ => None,
        }
    }

    /// Requests whose earlier attempt is being settled.
    pub(super) fn settling(&self) -> impl Iterator<Item = (u64, &Settling)> {
        self.by_number
            .iter()
            .filter_map(|(request, in_progress)| match &in_progress.stage {
                Stage::Settling(settling) => Some((*request, &**settling)),
                _ => None,
            })
    }

    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }
}
