//! A simulated entry that reads requests with a share of a core.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootnotch_forward::overload::Overload;
use coltsfootnotch_forward::place::Prompt;

/// Processor time to serve a request, in milliseconds.
const SERVE_MS: f64 = 0.5;
/// Processor time to relay the connection of a request to a neighbour, in milliseconds.
const RELAY_MS: f64 = 0.15;
/// Processor time to refuse a request unread, in milliseconds.
const REFUSE_MS: f64 = 0.12;
/// Connections that wait to be accepted; callers can't connect beyond it.
const MAX_UNREAD: usize = 256;
/// How long callers wait for their request to be read.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long a balancer takes to notice whether an entry is ready.
const ROTATION_DELAY: Duration = Duration::from_secs(2);

/// A request that an entry has not read yet.
pub(super) struct Unread {
    pub(super) arrived_at: Duration,
    pub(super) account: usize,
    pub(super) prompt: Prompt,
    /// Whether a neighbour has handed it over.
    pub(super) is_handed_over: bool,
}

/// What an entry does with a request.
pub(super) enum Read {
    Serve(Unread),
    HandOver(Unread),
    RefuseUnread(Unread),
}

/// An entry that reads requests in order with a share of a core.
pub(super) struct Reader {
    /// Share of a core.
    cores: f64,
    unread: VecDeque<Unread>,
    /// Until when it is busy with what it has read.
    busy_until: Duration,
    overload: Overload,
    /// When it was last ready, and when it was last not ready.
    ready_at: Duration,
    unready_at: Option<Duration>,
}

impl Reader {
    pub(super) fn new(cores: f64) -> Self {
        Self {
            cores,
            unread: VecDeque::new(),
            busy_until: Duration::ZERO,
            overload: Overload::default(),
            ready_at: Duration::ZERO,
            unready_at: None,
        }
    }

    /// Adds a request; gives it back if its caller can't connect.
    pub(super) fn add(&mut self, unread: Unread) -> Option<Unread> {
        if self.unread.len() >= MAX_UNREAD {
            return Some(unread);
        }
        self.unread.push_back(unread);
        None
    }

    /// Measures how long its tasks wait.
    pub(super) fn observe(&mut self, now: Duration, load_ratio: f64, has_neighbours: bool) {
        let waited = self.busy_until.saturating_sub(now);
        let oldest = self.unread.front().map(|unread| now - unread.arrived_at);
        let waited = waited.max(oldest.unwrap_or_default());
        self.overload
            .observe(now, waited, load_ratio, has_neighbours);
        if self.overload.is_overloaded(now) {
            self.unready_at = Some(now);
        } else {
            self.ready_at = now;
        }
    }

    /// Whether it takes connections over.
    pub(super) fn accepts_handover(&self, now: Duration) -> bool {
        !self.overload.is_overloaded(now) && self.overload.handover_share() == 0.0
    }

    /// Whether a balancer sends it callers.
    pub(super) fn is_in_rotation(&self, now: Duration) -> bool {
        let is_ready = !self.overload.is_overloaded(now);
        let since = if is_ready {
            self.unready_at
        } else {
            Some(self.ready_at)
        };
        // What it was before counts until the balancer has noticed.
        since.is_none_or(|since| is_ready == (now >= since + ROTATION_DELAY))
    }

    /// Whether there is a request to read and it isn't busy.
    pub(super) fn can_read(&self, now: Duration) -> bool {
        !self.unread.is_empty() && self.busy_until < now + Duration::from_millis(1)
    }

    /// Reads the next request whose caller waits, and passes those that don't to `left`. `draws` are
    /// random numbers from 0 to 1.
    pub(super) fn read(
        &mut self,
        now: Duration,
        can_hand_over: bool,
        draws: [f64; 2],
        mut left: impl FnMut(Unread),
    ) -> Option<Read> {
        let unread = loop {
            let unread = self.unread.pop_front()?;
            if now.saturating_sub(unread.arrived_at) < PATIENCE {
                break unread;
            }
            left(unread);
        };
        let hands_over = can_hand_over && !unread.is_handed_over;
        let (cost_ms, read) = if hands_over && draws[0] < self.overload.handover_share() {
            (RELAY_MS, Read::HandOver(unread))
        } else if draws[1] < self.overload.refused_share() {
            (REFUSE_MS, Read::RefuseUnread(unread))
        } else {
            (SERVE_MS, Read::Serve(unread))
        };
        let cost = Duration::from_secs_f64(cost_ms / self.cores / 1e3);
        self.busy_until = self.busy_until.max(now) + cost;
        Some(read)
    }
}
