//! Load and health of one upstream.

use std::time::Duration;

use coltsfootnotch_wire::UpstreamUsage;

use super::{BacklogLimit, CachedSegments, InFlight, Slowdown, UpstreamHealth, WarmUp};

/// The load of a request that was sent, until it finishes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentRequest {
    /// Prompt tokens that the upstream has to prefill.
    pub uncached_tokens: u64,
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
    elapsed_ms: f64,
    expected_ms: f64,
    failed: u32,
    succeeded: u32,
}

/// Load and health of one upstream, as seen by this entry.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    local: InFlight,
    remote: InFlight,
    slowdown: Slowdown,
    health: UpstreamHealth,
    since_report: Counters,
    /// Limit on its prompt backlog.
    pub backlog: BacklogLimit,
    /// Prompt segments in its prefix cache.
    pub cached: CachedSegments,
    /// Its warm-up after a start.
    pub warm_up: WarmUp,
}

impl UpstreamLoad {
    /// Requests of all entries.
    #[must_use]
    pub fn in_flight(&self) -> InFlight {
        let mut all = self.local;
        all += self.remote;
        all
    }

    /// Requests of this entry.
    #[must_use]
    pub fn local_in_flight(&self) -> InFlight {
        self.local
    }

    /// Outcomes of recent requests.
    #[must_use]
    pub fn health(&self) -> &UpstreamHealth {
        &self.health
    }

    /// Factor by which it is slower than expected; 1 is as expected.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        self.slowdown.factor(now)
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, sent: &SentRequest) {
        self.local.waiting_tokens += sent.uncached_tokens;
        self.local.running += 1;
        self.local.held_tokens += sent.held_tokens;
        self.warm_up.on_sent(sent.at);
    }

    /// Records the first event of a request.
    pub fn on_first_event(&mut self, now: Duration, sent: &SentRequest) {
        self.leave_backlog(sent);
        self.health.on_progress();
        let elapsed_ms = now.saturating_sub(sent.at).as_secs_f64() * 1e3;
        self.slowdown.observe(now, elapsed_ms, sent.expected_ms);
        self.since_report.elapsed_ms += elapsed_ms;
        self.since_report.expected_ms += sent.expected_ms;
    }

    fn leave_backlog(&mut self, sent: &SentRequest) {
        let remaining = self.local.waiting_tokens.checked_sub(sent.uncached_tokens);
        self.local.waiting_tokens = remaining.expect("a request leaves the backlog once");
    }

    /// Records the end of a request, with any outcome; `has_started` tells whether its answer had
    /// started.
    pub fn on_finished(&mut self, sent: &SentRequest, has_started: bool) {
        if !has_started {
            self.leave_backlog(sent);
        }
        let running = self.local.running.checked_sub(1);
        self.local.running = running.expect("a request finishes once");
        let held_tokens = self.local.held_tokens.checked_sub(sent.held_tokens);
        self.local.held_tokens = held_tokens.expect("a request frees its memory once");
    }

    /// Records a success.
    pub fn on_succeeded(&mut self, now: Duration) {
        self.health.on_ended(now, 0, 1);
        self.health.on_progress();
        self.since_report.succeeded += 1;
    }

    /// Records a failure caused by the upstream.
    pub fn on_failed(&mut self, now: Duration) {
        self.health.on_ended(now, 1, 0);
        self.since_report.failed += 1;
    }

    /// Records a failed connection.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.health.on_unreachable(now);
        self.on_failed(now);
    }

    /// Records that nothing came for long of an answer.
    pub fn on_silent(&mut self, now: Duration) {
        self.health.on_silent(now);
    }

    /// Records that an answer goes on.
    pub fn on_progress(&mut self) {
        self.health.on_progress();
    }

    /// Applies the totals of the other entries.
    pub fn apply_remote(&mut self, now: Duration, report: &UpstreamUsage) {
        self.remote = InFlight::from(report);
        if report.expected_ms > 0 {
            self.slowdown
                .observe(now, report.elapsed_ms as f64, report.expected_ms as f64);
        }
        if report.failed > 0 || report.succeeded > 0 {
            self.health.on_ended(now, report.failed, report.succeeded);
        }
    }

    /// Clears the requests of the other entries.
    pub fn clear_remote(&mut self) {
        self.remote = InFlight::default();
    }

    /// The report of this period, if there is anything to report; starts a new one.
    pub fn report(&mut self, id: &str) -> Option<UpstreamUsage> {
        let since_report = std::mem::take(&mut self.since_report);
        let report = UpstreamUsage {
            id: id.to_owned(),
            waiting_tokens: self.local.waiting_tokens,
            running: self.local.running,
            held_tokens: self.local.held_tokens,
            elapsed_ms: since_report.elapsed_ms as u64,
            expected_ms: since_report.expected_ms as u64,
            failed: since_report.failed,
            succeeded: since_report.succeeded,
        };
        let idle = UpstreamUsage {
            id: id.to_owned(),
            ..UpstreamUsage::default()
        };
        (report != idle).then_some(report)
    }
}
