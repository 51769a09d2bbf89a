//! Record of every request, with the invariants on its starts and end.

use std::collections::HashSet;
use std::time::Duration;

use coltsfootnotch_wire::AttemptId;

/// The outcome that a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    NotRun,
    Unknown,
    /// Its entry restarted, which broke the caller's connection.
    EntryLost,
}

#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) source: usize,
    pub(crate) cost: u64,
    pub(crate) booking: bool,
    pub(crate) arrived: Duration,
    pub(crate) first_start: Option<Duration>,
    pub(crate) starts: u32,
    pub(crate) outcome: Option<Outcome>,
}

/// Every submitted request, by number.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    pub(crate) records: Vec<Record>,
    started: HashSet<AttemptId>,
}

impl RequestLog {
    pub(crate) fn submit(&mut self, now: Duration, source: usize, cost: u64, booking: bool) -> u64 {
        self.records.push(Record {
            source,
            cost,
            booking,
            arrived: now,
            first_start: None,
            starts: 0,
            outcome: None,
        });
        self.records.len() as u64 - 1
    }

    pub(crate) fn start(&mut self, now: Duration, attempt: AttemptId) {
        assert!(self.started.insert(attempt), "{attempt} is started twice");
        let record = &mut self.records[attempt.request as usize];
        assert_ne!(
            record.outcome,
            Some(Outcome::NotRun),
            "{attempt} starts after the caller was told that it did not run"
        );
        assert!(
            !record.booking || record.starts == 0,
            "booking {attempt} starts more than once"
        );
        record.starts += 1;
        record.first_start.get_or_insert(now);
    }

    pub(crate) fn end(&mut self, request: u64, outcome: Outcome) {
        let record = &mut self.records[request as usize];
        assert_eq!(record.outcome, None, "request {request} ends twice");
        assert!(
            outcome != Outcome::NotRun || !record.booking || record.starts == 0,
            "booking {request} ran but is reported as not run"
        );
        record.outcome = Some(outcome);
    }

    pub(crate) fn count(&self, outcome: Outcome) -> usize {
        let matching = self.records.iter().filter(|r| r.outcome == Some(outcome));
        matching.count()
    }

    /// Asserts that every request has ended.
    pub(crate) fn assert_none_lost(&self) {
        let open = self.records.iter().position(|r| r.outcome.is_none());
        assert_eq!(open, None, "a request was lost");
    }

    /// Times from arrival to first start of a source's requests, in milliseconds, sorted.
    pub(crate) fn waits(&self, source: usize, since: Duration) -> Vec<u64> {
        let is_selected = |r: &&Record| r.source == source && r.arrived >= since;
        let records = self.records.iter().filter(is_selected);
        let mut waits: Vec<u64> = records
            .filter_map(|r| Some((r.first_start? - r.arrived).as_millis() as u64))
            .collect();
        waits.sort_unstable();
        waits
    }
}
