//! Requests in progress at one entry.

use std::collections::HashMap;

use coltsfootnotch_router::Waiting;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, BeginCause};
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
    pub(super) waiting: Waiting,
}

/// Where a request stands.
#[derive(Debug)]
pub(super) enum Stage {
    /// In the queue.
    Waiting,
    /// Its intent is being committed; nothing was sent to the sidecar.
    Intent(Box<Chosen>),
    /// An attempt runs.
    Running {
        chosen: Box<Chosen>,
        task: AbortHandle,
    },
    /// Its attempt was not started; the ledger is being told before another may be.
    Closing(Box<Chosen>),
    /// Its answer is being recorded.
    Recording { answer: Collected },
}

/// One request.
#[derive(Debug)]
pub(super) struct InProgress {
    pub(super) arrival: Arrival,
    pub(super) stage: Stage,
}

/// Requests by number.
#[derive(Debug, Default)]
pub(super) struct Requests {
    by_number: HashMap<u64, InProgress>,
}

impl Requests {
    pub(super) fn insert(&mut self, arrival: Arrival) {
        let stage = Stage::Waiting;
        let before = self
            .by_number
            .insert(arrival.request, InProgress { arrival, stage });
        assert!(before.is_none(), "a request number is used twice");
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

    /// The request, if the attempt named is the one that runs; else a late message is dropped.
    pub(super) fn running(&self, attempt: AttemptId) -> Option<&Chosen> {
        match &self.by_number.get(&attempt.request)?.stage {
            Stage::Running { chosen, .. } if chosen.attempt == attempt => Some(chosen),
            _ => None,
        }
    }

    /// Puts a request back that was taken out and goes on.
    pub(super) fn restore(&mut self, in_progress: InProgress) {
        self.by_number
            .insert(in_progress.arrival.request, in_progress);
    }

    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }
}
