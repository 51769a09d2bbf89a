//! Events that are reported once, and again if the control host that got them may have been lost.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which events that were reported are reported again to another control host: until one that does
/// not pass them on has been replaced, which takes two timeouts of a lease request.
const REPEAT_FOR: Duration = Duration::from_secs(2);

/// Most events to report at once; a crash of a large engine adds a hundred.
const MAX_EVENTS: usize = 10_000;

/// Events to report, and those reported lately.
#[derive(Debug, Clone)]
pub(super) struct Unconfirmed<T> {
    unreported: Vec<T>,
    reported: VecDeque<(Duration, T)>,
}

impl<T> Default for Unconfirmed<T> {
    fn default() -> Self {
        Self {
            unreported: Vec::new(),
            reported: VecDeque::new(),
        }
    }
}

impl<T: Clone> Unconfirmed<T> {
    pub(super) fn push(&mut self, event: T) {
        if self.unreported.len() < MAX_EVENTS {
            self.unreported.push(event);
        }
    }

    /// Removes the events that don't hold any more.
    pub(super) fn retain(&mut self, holds: impl Fn(&T) -> bool) {
        self.unreported.retain(&holds);
        self.reported.retain(|(_, event)| holds(event));
    }

    /// The events to report.
    pub(super) fn take(&mut self, now: Duration) -> Vec<T> {
        self.expire(now);
        let events = std::mem::take(&mut self.unreported);
        let reported = events.iter().cloned().map(|event| (now, event));
        self.reported.extend(reported);
        events
    }

    /// Has the events that were reported lately reported again.
    pub(super) fn repeat(&mut self, now: Duration) {
        self.expire(now);
        let lately = self.reported.drain(..).map(|(_, event)| event);
        self.unreported.extend(lately);
    }

    fn expire(&mut self, now: Duration) {
        let is_old = |at: &Duration| now.saturating_sub(*at) >= REPEAT_FOR;
        while self.reported.pop_front_if(|(at, _)| is_old(at)).is_some() {}
    }
}
