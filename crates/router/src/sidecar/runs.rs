//! Running attempts and their charges.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootnotch_decide::estimate::RunCharge;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, ContentKey, CrashRef, OpenAttempt};

use super::InFlightRequests;

/// A running attempt.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) upstream: UpstreamName,
    /// The upstream's generation of slots in which it runs.
    pub(super) generation: u64,
    pub(super) key: ContentKey,
    pub(super) prefix: u64,
    pub(super) suspected_of: Vec<CrashRef>,
    pub(super) charge: RunCharge,
    pub(super) started: Duration,
    /// Time and total of the last token count.
    pub(super) tokens: Option<(Duration, u64)>,
}

impl Run {
    pub(super) fn new(
        open: &OpenAttempt,
        (upstream, generation): (UpstreamName, u64),
        charge: RunCharge,
        now: Duration,
    ) -> Self {
        let key = ContentKey {
            account: open.account.clone(),
            content: open.content,
        };
        Self {
            upstream,
            generation,
            key,
            prefix: open.prefix,
            suspected_of: open.suspected_of.clone(),
            charge,
            started: now,
            tokens: None,
        }
    }

    /// Mean time between the tokens since the last count; `None` without a new token.
    pub(super) fn token_gap(&mut self, now: Duration, tokens: u64) -> Option<Duration> {
        let (since, before) = self.tokens.replace((now, tokens))?;
        let new = u32::try_from(tokens.checked_sub(before)?)
            .ok()
            .filter(|new| *new > 0)?;
        Some(now.saturating_sub(since) / new)
    }
}

/// Running attempts by id.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: HashMap<AttemptId, Run>,
}

impl Runs {
    pub(super) fn insert(&mut self, attempt: AttemptId, run: Run) {
        let before = self.runs.insert(attempt, run);
        assert!(before.is_none(), "attempt {attempt} is started twice");
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.runs.contains_key(&attempt)
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<&Run> {
        self.runs.get(&attempt)
    }

    pub(super) fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Run> {
        self.runs.get_mut(&attempt)
    }

    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<Run> {
        self.runs.remove(&attempt)
    }

    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// The requests whose attempts run on an upstream.
    pub(super) fn requests_on(&self, upstream: &UpstreamName) -> InFlightRequests {
        let on_upstream = || self.runs.values().filter(|run| run.upstream == *upstream);
        let unanswered = on_upstream().filter(|run| run.tokens.is_none() && run.prefix != 0);
        InFlightRequests {
            keys: on_upstream().map(|run| run.key.clone()).collect(),
            prefixes: unanswered.map(|run| run.prefix).collect(),
        }
    }
}
