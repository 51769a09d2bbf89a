//! Attempts in the simulation, from opening to end.

use std::time::Duration;

use coltsfootnotch_router::{QueuedRequest, RunOutcome};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, Call, CrashRef, NotStartedReason, OpenAttempt, OpenCause};
use rand::Rng;

use super::engine::{PREFILL, Run};
use super::{Event, Outcome, Request, Sim, Stage};

/// Maximum attempts of a request that may be repeated.
const MAX_ATTEMPTS: u32 = 3;

impl Sim {
    pub(super) fn open(
        &mut self,
        e: usize,
        s: usize,
        open: Box<OpenAttempt>,
        waiting: QueuedRequest,
    ) {
        let link = self.links[e][s].at_entry;
        let (run, number) = (self.entries[e].run, waiting.request);
        let request = self.entries[e].requests.get_mut(&number);
        let request = request.expect("an opened request is registered");
        assert!(matches!(request.stage, Stage::Waiting { .. }));
        request.waiting = waiting;
        let source = request.source;
        self.sources[source].waiting -= 1;
        let at = self.now + self.delay();
        if open.repeatable {
            let attempt = open.attempt;
            self.set_stage(e, number, Stage::Running { attempt, s, link });
            self.schedule(at, Event::Open { e, s, link, open });
        } else {
            self.set_stage(e, number, Stage::Intent);
            self.schedule(
                at + self.now.min(PREFILL),
                Event::Committed {
                    e,
                    run,
                    s,
                    link,
                    open,
                },
            );
        }
    }

    pub(super) fn on_committed(
        &mut self,
        e: usize,
        run: Incarnation,
        s: usize,
        link: u64,
        open: Box<OpenAttempt>,
    ) {
        let attempt = open.attempt;
        if self.entries[e].run != run {
            return;
        }
        if self.links[e][s].at_entry != link {
            self.requeue(e, attempt.request, None);
            return self.run_entry(e);
        }
        self.set_stage(e, attempt.request, Stage::Running { attempt, s, link });
        let at = self.now + self.delay();
        self.schedule(at, Event::Open { e, s, link, open });
    }

    pub(super) fn on_open(&mut self, e: usize, s: usize, link: u64, open: &OpenAttempt) {
        if self.links[e][s].cut || self.links[e][s].at_sidecar != link {
            return;
        }
        let (now, attempt) = (self.now, open.attempt);
        let from = self.entries[e].host.clone();
        self.traffic.opened += 1;
        let mut outcome = self.sidecars[s].core.try_start(now, &from, open);
        if outcome.is_ok() && self.rng.random_bool(self.options.unreachable) {
            let core = &mut self.sidecars[s].core;
            core.finish(now, attempt, ServiceUnits(0), RunOutcome::NotReached);
            outcome = Err(NotStartedReason::NotReached);
        }
        match outcome {
            Ok(upstream) => self.start(e, s, link, open, &upstream),
            Err(reason) => {
                self.traffic.not_started += 1;
                let at = now + self.delay();
                self.schedule(
                    at,
                    Event::NotStarted {
                        e,
                        link,
                        attempt,
                        reason,
                    },
                );
            }
        }
        self.run_sidecar(s);
    }

    fn start(&mut self, e: usize, s: usize, link: u64, open: &OpenAttempt, name: &UpstreamName) {
        let (now, attempt) = (self.now, open.attempt);
        let engine = &mut self.sidecars[s].engine;
        assert_eq!((&engine.name, &engine.announced), (name, &open.pool));
        for since in [engine.leaving, engine.silent].into_iter().flatten() {
            assert!(now < since + Duration::from_secs(3), "new work for {name}");
        }
        self.log.start(now, attempt);
        let record = &self.log.records[attempt.request as usize];
        let run = Run {
            attempt,
            source: record.source,
            cost: record.cost,
            entry: e,
            link,
            admitted: None,
            counted: 0,
        };
        let admitted = engine.add(now, run);
        self.schedule_run(s, admitted);
    }

    fn schedule_run(&mut self, s: usize, admitted: Option<(AttemptId, Duration)>) {
        let run = self.sidecars[s].run;
        if let Some((attempt, end)) = admitted {
            self.schedule(self.now + PREFILL, Event::FirstChunk { s, run, attempt });
            self.schedule(end, Event::Finish { s, run, attempt });
        }
    }

    pub(super) fn on_finish(&mut self, s: usize, attempt: AttemptId) {
        let now = self.now;
        let Some((run, admitted)) = self.sidecars[s].engine.end(now, attempt) else {
            return;
        };
        self.schedule_run(s, admitted);
        self.count_service(run.source, run.cost - run.counted);
        let total = ServiceUnits(run.cost);
        let core = &mut self.sidecars[s].core;
        core.progress(now, attempt, run.cost, total);
        core.finish(now, attempt, total, RunOutcome::Finished);
        let (e, link) = (run.entry, run.link);
        let at = now + self.delay();
        if !self.links[e][s].cut && self.links[e][s].at_sidecar == link {
            self.schedule(at, Event::Done { e, link, attempt });
        }
        self.run_sidecar(s);
    }

    fn count_service(&mut self, source: usize, tokens: u64) {
        if !self.options.checked {
            return;
        }
        let source = &self.sources[source];
        self.meter
            .record_service(&source.account, source.weight, ServiceUnits(tokens));
    }

    /// Counts the tokens of runs in progress.
    pub(crate) fn progress(&mut self) {
        let now = self.now;
        for s in 0..self.sidecars.len() {
            let mut counted = Vec::new();
            let engine = &self.sidecars[s].engine;
            for (i, run) in engine.active.iter().enumerate() {
                counted.push((i, engine.tokens_generated(now, run)));
            }
            for (i, tokens) in counted {
                let run = &mut self.sidecars[s].engine.active[i];
                let more = tokens - run.counted;
                run.counted = tokens;
                let (attempt, source) = (run.attempt, run.source);
                let core = &mut self.sidecars[s].core;
                core.progress(now, attempt, tokens, ServiceUnits(tokens));
                self.count_service(source, more);
            }
        }
    }

    pub(super) fn on_not_started(
        &mut self,
        e: usize,
        link: u64,
        attempt: AttemptId,
        reason: NotStartedReason,
    ) {
        if self.is_running(e, attempt, link) {
            self.requeue(e, attempt.request, Some(reason));
            self.run_entry(e);
        }
    }

    fn requeue(&mut self, e: usize, number: u64, reason: Option<NotStartedReason>) {
        let now = self.now;
        let request = self.entries[e].requests.get_mut(&number);
        let request = request.expect("a requeued request is registered");
        if let (
            Some(NotStartedReason::NotReached | NotStartedReason::Leaving),
            Stage::Running { s, .. },
        ) = (reason, request.stage)
        {
            request.waiting.avoid.push(self.sidecars[s].host.clone());
        }
        request.stage = Stage::Waiting { since: now };
        let waiting = request.waiting.clone();
        self.sources[request.source].waiting += 1;
        if reason == Some(NotStartedReason::OtherSuspect) {
            return self.entries[e].core.requeue_with_backoff(now, waiting);
        }
        self.entries[e].core.requeue(waiting);
    }

    /// Retries or fails the attempts at a sidecar whose connection was lost.
    pub(crate) fn fail_attempts(&mut self, e: usize, at: usize) {
        let requests = &self.entries[e].requests;
        let running = requests
            .iter()
            .filter(|(_, r)| matches!(r.stage, Stage::Running { s, .. } if s == at));
        let lost: Vec<u64> = running.map(|(number, _)| *number).collect();
        for number in lost {
            let request = self.entries[e]
                .requests
                .get_mut(&number)
                .expect("its number was just listed");
            if request.waiting.repeatable && request.waiting.attempt + 1 < MAX_ATTEMPTS {
                request.waiting.avoid.push(self.sidecars[at].host.clone());
                self.requeue(e, number, None);
            } else {
                self.entries[e].requests.remove(&number);
                self.log.end(number, Outcome::Unknown);
            }
        }
    }

    pub(super) fn is_running(&self, e: usize, attempt: AttemptId, link: u64) -> bool {
        let request = self.entries[e].requests.get(&attempt.request);
        let is_on_link = |r: &Request| {
            matches!(
                r.stage,
                Stage::Running { attempt: a, link: l, .. } if (a, l) == (attempt, link)
            )
        };
        self.entries[e].run == attempt.entry && request.is_some_and(is_on_link)
    }

    fn set_stage(&mut self, e: usize, number: u64, stage: Stage) {
        if let Some(request) = self.entries[e].requests.get_mut(&number) {
            request.stage = stage;
        }
    }

    pub(super) fn open_message(
        &self,
        e: usize,
        attempt: AttemptId,
        sidecar: Incarnation,
        cause: OpenCause,
        waiting: &QueuedRequest,
    ) -> Box<OpenAttempt> {
        let suspect = self.entries[e]
            .requests
            .get(&waiting.request)
            .is_some_and(|r| r.suspect);
        let crash = CrashRef {
            host: self.sidecars[0].host.clone(),
            incarnation: Incarnation(0),
            number: waiting.request,
        };
        let mut content = [0; 32];
        content[..8].copy_from_slice(&waiting.request.to_be_bytes());
        Box::new(OpenAttempt {
            attempt,
            cause,
            account: waiting.account.clone(),
            pool: waiting.pool.clone(),
            sidecar,
            content,
            prefix: 0,
            repeatable: waiting.repeatable,
            suspected_of: if suspect { vec![crash] } else { Vec::new() },
            estimate: waiting.estimate,
            deadline_ms: 1_000,
            call: Call {
                method: "POST".to_owned(),
                path: "/".to_owned(),
                content_type: None,
                idempotency_key: None,
                body: Vec::new(),
                stream: false,
            },
        })
    }
}
