//! When another upstream takes over a stream whose upstream fell silent or was lost.
//!
//! A sound upstream may make no event for a second or so, as while it preempts a request, and nothing tells such
//! a silence from a hang. So looking for another upstream and giving up the present one are two decisions: the
//! present one is listened to while another is sought and asked, and the first that brings an event goes on.

use std::time::Duration;

use super::SearchInterval;
use super::search_interval::MIN_INTERVAL;

/// Time for finding an upstream after the present one was lost; callers give up after two seconds without an event.
const LOST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the present upstream is listened to after the response of another has begun. A request runs from
/// its first token, which may come with the head of the response, and no two upstreams may run it for longer than
/// 400 ms; the rest is for the way of the close, and for a host whose event loop is late by a quarter of a second.
const OVERLAP: Duration = Duration::from_millis(150);

/// Why no upstream was found, in words for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverRefusal {
    /// There may be room in a moment.
    Full(&'static str),
    /// There is none now, and may be one later.
    Unavailable(&'static str),
    /// There will be none.
    Never(&'static str),
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Search for an upstream, and report the result.
    Search,
    /// Wait for events and results, until then if a time is given.
    Wait(Option<Duration>),
    /// Close the present upstream, if it is not lost, and go on with the other.
    Switch,
    /// End the stream, for this reason: nothing is left to wait for.
    GiveUp(&'static str),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A search is due.
    Due(Duration),
    /// A search is in progress.
    Searching,
    /// The request was sent to the upstream that was found.
    Asked,
    /// The response of that upstream has begun.
    Answered(Duration),
    /// No further search is made while the present upstream is listened to.
    Ended(&'static str),
}

/// Takeover of one stream, from the silence or loss of its upstream until an event of any.
///
/// Times are since any fixed moment. Events of an upstream end it.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::streams::{Takeover, TakeoverRefusal, TakeoverStep};
/// let at = Duration::from_millis;
/// let mut takeover = Takeover::new(at(0), 1, 2);
/// assert_eq!(takeover.step(at(0)), TakeoverStep::Search);
/// takeover.on_refused(at(5), TakeoverRefusal::Full("no room"));
/// assert_eq!(takeover.step(at(5)), TakeoverStep::Wait(Some(at(65))));
/// assert_eq!(takeover.step(at(65)), TakeoverStep::Search);
/// takeover.on_found();
/// takeover.on_answered(at(100));
/// assert_eq!(takeover.step(at(100)), TakeoverStep::Wait(Some(at(250))));
/// assert_eq!(takeover.step(at(250)), TakeoverStep::Switch);
/// ```
#[derive(Debug, Clone)]
pub struct Takeover {
    phase: Phase,
    interval: SearchInterval,
    attempts: u32,
    max_attempts: u32,
    /// Why the stream can't be taken over, if it can't.
    impossible: Option<&'static str>,
    /// Until when an upstream is sought once the present one is lost.
    lost_until: Option<Duration>,
}

impl Takeover {
    /// The takeover of a stream that was sent to `attempts` upstreams, of at most `max_attempts`.
    #[must_use]
    pub fn new(now: Duration, attempts: u32, max_attempts: u32) -> Self {
        Self {
            phase: Phase::Due(now),
            interval: SearchInterval::default(),
            attempts,
            max_attempts,
            impossible: None,
            lost_until: None,
        }
    }

    /// The same for a stream that no other upstream can go on with, for this reason.
    #[must_use]
    pub fn impossible(attempts: u32, reason: &'static str) -> Self {
        Self {
            phase: Phase::Ended(reason),
            impossible: Some(reason),
            ..Self::new(Duration::ZERO, attempts, attempts)
        }
    }

    /// Number of upstreams that the stream was sent to and that may have run it.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts + u32::from(self.phase == Phase::Asked)
    }

    /// Counts further upstreams that the request to the one that was found was passed on to, as it was late.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::streams::{Takeover, TakeoverStep};
    /// let mut takeover = Takeover::new(Duration::ZERO, 1, 3);
    /// assert_eq!(takeover.step(Duration::ZERO), TakeoverStep::Search);
    /// takeover.on_found();
    /// takeover.add_attempts(1);
    /// takeover.on_failed(Duration::ZERO, true);
    /// // No fourth upstream is sought.
    /// assert_eq!(takeover.step(Duration::from_secs(1)), TakeoverStep::Wait(None));
    /// ```
    pub fn add_attempts(&mut self, attempts: u32) {
        self.attempts += attempts;
    }

    /// Decides what to do next. A search counts as begun.
    pub fn step(&mut self, now: Duration) -> TakeoverStep {
        if let (Phase::Due(_), true) = (self.phase, self.attempts >= self.max_attempts) {
            self.phase = Phase::Ended("all attempts are used up");
        }
        match self.phase {
            Phase::Due(at) if now >= at => {
                self.phase = Phase::Searching;
                TakeoverStep::Search
            }
            Phase::Due(at) => TakeoverStep::Wait(Some(at)),
            Phase::Searching | Phase::Asked => TakeoverStep::Wait(None),
            Phase::Answered(at) if self.lost_until.is_some() || now >= at + OVERLAP => {
                TakeoverStep::Switch
            }
            Phase::Answered(at) => TakeoverStep::Wait(Some(at + OVERLAP)),
            Phase::Ended(reason) if self.lost_until.is_some() => TakeoverStep::GiveUp(reason),
            Phase::Ended(_) => TakeoverStep::Wait(None),
        }
    }

    /// The search found no upstream.
    pub fn on_refused(&mut self, now: Duration, refusal: TakeoverRefusal) {
        assert_eq!(self.phase, Phase::Searching, "a refusal ends a search");
        self.phase = match (refusal, self.lost_until) {
            (TakeoverRefusal::Full(_), Some(until)) if now < until => {
                Phase::Due(now + MIN_INTERVAL)
            }
            (TakeoverRefusal::Full(_) | TakeoverRefusal::Unavailable(_), None) => {
                Phase::Due(now + self.interval.next_interval())
            }
            (
                TakeoverRefusal::Full(reason)
                | TakeoverRefusal::Unavailable(reason)
                | TakeoverRefusal::Never(reason),
                _,
            ) => Phase::Ended(reason),
        };
    }

    /// The search found an upstream, which the request is sent to.
    pub fn on_found(&mut self) {
        assert_eq!(self.phase, Phase::Searching, "a search finds an upstream");
        self.phase = Phase::Asked;
    }

    /// The upstream that was found did not answer; `may_have_run` tells whether it counts as an attempt.
    pub fn on_failed(&mut self, now: Duration, may_have_run: bool) {
        assert_eq!(self.phase, Phase::Asked, "an upstream that was asked fails");
        self.attempts += u32::from(may_have_run);
        self.search_again(now);
    }

    /// The response of the upstream that was found has begun.
    pub fn on_answered(&mut self, now: Duration) {
        assert_eq!(
            self.phase,
            Phase::Asked,
            "an upstream that was asked answers"
        );
        self.attempts += 1;
        self.phase = Phase::Answered(now);
    }

    /// The response of the upstream that was found broke off before its first event.
    pub fn on_answer_lost(&mut self, now: Duration) {
        assert!(
            matches!(self.phase, Phase::Answered(_)),
            "a response that has begun breaks off"
        );
        self.search_again(now);
    }

    /// Has another search made at once instead of giving up, for an upstream that was not searched for before. Returns
    /// whether one may be made.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::streams::{Takeover, TakeoverRefusal, TakeoverStep};
    /// let mut takeover = Takeover::new(Duration::ZERO, 1, 2);
    /// takeover.on_present_lost(Duration::ZERO);
    /// assert_eq!(takeover.step(Duration::ZERO), TakeoverStep::Search);
    /// takeover.on_refused(Duration::ZERO, TakeoverRefusal::Unavailable("no other"));
    /// assert_eq!(takeover.step(Duration::ZERO), TakeoverStep::GiveUp("no other"));
    /// assert!(takeover.search_once_more(Duration::ZERO));
    /// assert_eq!(takeover.step(Duration::ZERO), TakeoverStep::Search);
    /// ```
    pub fn search_once_more(&mut self, now: Duration) -> bool {
        assert!(
            matches!(self.phase, Phase::Ended(_)),
            "a search is made instead of giving up"
        );
        let may_search = self.impossible.is_none() && self.attempts < self.max_attempts;
        if may_search {
            self.phase = Phase::Due(now);
        }
        may_search
    }

    /// The present upstream is lost: its connection ended, or it sent no stream.
    pub fn on_present_lost(&mut self, now: Duration) {
        assert_eq!(self.lost_until, None, "an upstream is lost once");
        self.lost_until = Some(now + LOST_TIMEOUT);
        let is_idle = matches!(self.phase, Phase::Due(_) | Phase::Ended(_));
        if is_idle && self.impossible.is_none() {
            self.phase = Phase::Due(now);
        }
    }

    fn search_again(&mut self, now: Duration) {
        let wait = match self.lost_until {
            Some(_) => Duration::ZERO,
            None => self.interval.next_interval(),
        };
        self.phase = Phase::Due(now + wait);
    }
}
