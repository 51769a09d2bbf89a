//! One upstream as this entry sees it.

use std::time::Duration;

use coltsfootnotch_wire::UpstreamUse;

use super::{BacklogLimit, Held, KeptParts, Speed, Standing};

/// A request that was sent, as it counts until it ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    /// Prompt tokens that the upstream has to read for it.
    pub unread_tokens: u64,
    /// Tokens that it holds in the upstream's memory.
    pub held_tokens: u64,
    /// Time to the first event that was expected, in milliseconds, at factor 1.
    pub expected_ms: f64,
    /// When it was sent.
    pub at: Duration,
}

/// What this entry did and saw since its last report.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    took_ms: f64,
    expected_ms: f64,
    failed: u32,
    succeeded: u32,
}

/// One upstream as this entry sees it.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    own: Held,
    others: Held,
    speed: Speed,
    standing: Standing,
    seen: Seen,
    /// How much may wait to be read there.
    pub backlog: BacklogLimit,
    /// The shared parts of prompts that it keeps.
    pub kept: KeptParts,
}

impl UpstreamLoad {
    /// What all entries have there.
    #[must_use]
    pub fn held(&self) -> Held {
        let mut all = self.own;
        all += self.others;
        all
    }

    /// What this entry has there.
    #[must_use]
    pub fn own(&self) -> Held {
        self.own
    }

    /// How the last requests ended.
    #[must_use]
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// By how much it is slower than expected.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        self.speed.factor(now)
    }

    /// A request is sent.
    pub fn on_sent(&mut self, sent: &Sent) {
        self.own.waiting_tokens += sent.unread_tokens;
        self.own.running += 1;
        self.own.held_tokens += sent.held_tokens;
    }

    /// The first event of a request has come.
    pub fn on_begun(&mut self, now: Duration, sent: &Sent) {
        self.no_longer_waits(sent);
        let took_ms = now.saturating_sub(sent.at).as_secs_f64() * 1e3;
        self.speed.observe(now, took_ms, sent.expected_ms);
        self.seen.took_ms += took_ms;
        self.seen.expected_ms += sent.expected_ms;
    }

    fn no_longer_waits(&mut self, sent: &Sent) {
        let left = self.own.waiting_tokens.checked_sub(sent.unread_tokens);
        self.own.waiting_tokens = left.expect("a request stops waiting once");
    }

    /// A request is over, however it ended; `begun` tells whether its answer had begun.
    pub fn on_over(&mut self, sent: &Sent, begun: bool) {
        if !begun {
            self.no_longer_waits(sent);
        }
        let running = self.own.running.checked_sub(1);
        self.own.running = running.expect("a request ends once");
        let held = self.own.held_tokens.checked_sub(sent.held_tokens);
        self.own.held_tokens = held.expect("a request frees what it held");
    }

    /// A request ended well.
    pub fn on_succeeded(&mut self, now: Duration) {
        self.standing.on_ended(now, 0, 1);
        self.seen.succeeded += 1;
    }

    /// A request failed through the upstream's fault.
    pub fn on_failed(&mut self, now: Duration) {
        self.standing.on_ended(now, 1, 0);
        self.seen.failed += 1;
    }

    /// No connection could be had, or an answer never began.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.standing.on_unreachable(now);
        self.on_failed(now);
    }

    /// Takes in what the other entries have there and have seen.
    pub fn take_others(&mut self, now: Duration, word: &UpstreamUse) {
        self.others = Held::from(word);
        if word.expected_ms > 0 {
            self.speed
                .observe(now, word.took_ms as f64, word.expected_ms as f64);
        }
        if word.failed > 0 || word.succeeded > 0 {
            self.standing.on_ended(now, word.failed, word.succeeded);
        }
    }

    /// The other entries have nothing there.
    pub fn clear_others(&mut self) {
        self.others = Held::default();
    }

    /// What is to be reported; starts a new period.
    pub fn report(&mut self, id: &str) -> Option<UpstreamUse> {
        let seen = std::mem::take(&mut self.seen);
        let word = UpstreamUse {
            id: id.to_owned(),
            waiting_tokens: self.own.waiting_tokens,
            running: self.own.running,
            held_tokens: self.own.held_tokens,
            took_ms: seen.took_ms as u64,
            expected_ms: seen.expected_ms as u64,
            failed: seen.failed,
            succeeded: seen.succeeded,
        };
        let idle = UpstreamUse {
            id: id.to_owned(),
            ..UpstreamUse::default()
        };
        (word != idle).then_some(word)
    }
}
