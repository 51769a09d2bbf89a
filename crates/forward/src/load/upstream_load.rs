//! One upstream as this entry sees it.

use std::time::Duration;

use coltsfootnotch_wire::UpstreamUse;

use super::{BacklogLimit, Held, KeptParts, Speed, Standing};

/// The load of a request that was sent, until it finishes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    /// Prompt tokens that the upstream has to prefill.
    pub unread_tokens: u64,
    /// Tokens that it occupies in the upstream's memory.
    pub held_tokens: u64,
    /// Expected time to the first event in milliseconds, at factor 1.
    pub expected_ms: f64,
    /// When it was sent.
    pub at: Duration,
}

/// Counters of this entry since its last report.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    took_ms: f64,
    expected_ms: f64,
    failed: u32,
    succeeded: u32,
}

/// One upstream as this entry sees it.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    own: Held,
    remote: Held,
    speed: Speed,
    standing: Standing,
    since_report: Counters,
    /// Limit on its prompt backlog.
    pub backlog: BacklogLimit,
    /// Prompt segments in its prefix cache.
    pub kept: KeptParts,
}

impl UpstreamLoad {
    /// Requests of all entries.
    #[must_use]
    pub fn held(&self) -> Held {
        let mut all = self.own;
        all += self.remote;
        all
    }

    /// Requests of this entry.
    #[must_use]
    pub fn own(&self) -> Held {
        self.own
    }

    /// Outcomes of recent requests.
    #[must_use]
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// Factor by which it is slower than expected; 1 is as expected.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        self.speed.factor(now)
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, sent: &Sent) {
        self.own.waiting_tokens += sent.unread_tokens;
        self.own.running += 1;
        self.own.held_tokens += sent.held_tokens;
    }

    /// Records the first event of a request.
    pub fn on_begun(&mut self, now: Duration, sent: &Sent) {
        self.leave_backlog(sent);
        let took_ms = now.saturating_sub(sent.at).as_secs_f64() * 1e3;
        self.speed.observe(now, took_ms, sent.expected_ms);
        self.since_report.took_ms += took_ms;
        self.since_report.expected_ms += sent.expected_ms;
    }

    fn leave_backlog(&mut self, sent: &Sent) {
        let remaining = self.own.waiting_tokens.checked_sub(sent.unread_tokens);
        self.own.waiting_tokens = remaining.expect("a request leaves the backlog once");
    }

    /// Records the end of a request, with any outcome; `has_started` tells whether its answer had
    /// started.
    pub fn on_over(&mut self, sent: &Sent, has_started: bool) {
        if !has_started {
            self.leave_backlog(sent);
        }
        let running = self.own.running.checked_sub(1);
        self.own.running = running.expect("a request ends once");
        let held = self.own.held_tokens.checked_sub(sent.held_tokens);
        self.own.held_tokens = held.expect("a request frees its memory once");
    }

    /// Records a success.
    pub fn on_succeeded(&mut self, now: Duration) {
        self.standing.on_ended(now, 0, 1);
        self.since_report.succeeded += 1;
    }

    /// Records a failure caused by the upstream.
    pub fn on_failed(&mut self, now: Duration) {
        self.standing.on_ended(now, 1, 0);
        self.since_report.failed += 1;
    }

    /// Records a failed connection, or an answer that never started.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.standing.on_unreachable(now);
        self.on_failed(now);
    }

    /// Applies the totals of the other entries.
    pub fn take_others(&mut self, now: Duration, report: &UpstreamUse) {
        self.remote = Held::from(report);
        if report.expected_ms > 0 {
            self.speed
                .observe(now, report.took_ms as f64, report.expected_ms as f64);
        }
        if report.failed > 0 || report.succeeded > 0 {
            self.standing.on_ended(now, report.failed, report.succeeded);
        }
    }

    /// Clears the requests of the other entries.
    pub fn clear_others(&mut self) {
        self.remote = Held::default();
    }

    /// The report of this period, if there is anything to report; starts a new one.
    pub fn report(&mut self, id: &str) -> Option<UpstreamUse> {
        let since_report = std::mem::take(&mut self.since_report);
        let report = UpstreamUse {
            id: id.to_owned(),
            waiting_tokens: self.own.waiting_tokens,
            running: self.own.running,
            held_tokens: self.own.held_tokens,
            took_ms: since_report.took_ms as u64,
            expected_ms: since_report.expected_ms as u64,
            failed: since_report.failed,
            succeeded: since_report.succeeded,
        };
        let idle = UpstreamUse {
            id: id.to_owned(),
            ..UpstreamUse::default()
        };
        (report != idle).then_some(report)
    }
}
