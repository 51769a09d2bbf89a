//! What upstreams ask for in their responses to this entry.
//!
//! An upstream that refuses a request may ask for no more for a time, as with `Retry-After`. The
//! load of upstreams doesn't show it: refused requests don't run, so the upstream looks idle and is
//! preferred to the others, and the retries of what it refuses use up their budget.
//!
//! An upstream may also state that it is leaving. Its announcements say so too, but they reach this
//! entry by way of control hosts, from which it may be cut off.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a statement of an upstream that it is leaving is kept after the registry has lost the
/// upstream; covers late announcements, which would bring it back.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

/// What upstreams asked of this entry, by identity and run.
///
/// A later run asked for nothing yet. What was asked holds until its time is over, also when the
/// upstream is removed from the registry meanwhile.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::upstream_notices::UpstreamNotices;
/// let at = Duration::from_secs;
/// let mut notices = UpstreamNotices::default();
/// notices.request_backoff(at(10), &"spec-1".into(), 7, at(3));
/// assert!(!notices.accepts(at(12), "spec-1", 7));
/// assert!(notices.accepts(at(12), "spec-1", 8), "another run");
/// assert!(notices.accepts(at(13), "spec-1", 7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct UpstreamNotices {
    by_id: HashMap<Arc<str>, Notice>,
}

/// What one run of an upstream asked for.
#[derive(Debug, Clone, Copy)]
struct Notice {
    born_ms: u64,
    /// End of the time for which it wants no requests.
    backoff_until: Duration,
    /// When it last stated that it is leaving.
    leaving_at: Option<Duration>,
}

impl UpstreamNotices {
    /// Records that the upstream wants no requests for `time`. Returns whether it accepted requests
    /// until now, and does not any more.
    pub fn request_backoff(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        born_ms: u64,
        time: Duration,
    ) -> bool {
        let accepted = self.accepts(now, id, born_ms);
        if let Some(notice) = self.notice_mut(id, born_ms) {
            let until = now.saturating_add(time);
            notice.backoff_until = notice.backoff_until.max(until);
        }
        accepted && !self.accepts(now, id, born_ms)
    }

    /// Records that the upstream is leaving. Returns whether it had not stated so before.
    pub fn mark_leaving(&mut self, now: Duration, id: &Arc<str>, born_ms: u64) -> bool {
        let Some(notice) = self.notice_mut(id, born_ms) else {
            return false;
        };
        notice.leaving_at.replace(now).is_none()
    }

    /// Whether the upstream may be sent a request.
    #[must_use]
    pub fn accepts(&self, now: Duration, id: &str, born_ms: u64) -> bool {
        !self.is_leaving(id, born_ms) && self.backoff_end(now, id, born_ms).is_none()
    }

    /// Whether the upstream stated that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, id: &str, born_ms: u64) -> bool {
        self.get(id, born_ms)
            .is_some_and(|n| n.leaving_at.is_some())
    }

    /// When the upstream accepts requests again, if it asked for none until then.
    #[must_use]
    pub fn backoff_end(&self, now: Duration, id: &str, born_ms: u64) -> Option<Duration> {
        let notice = self.get(id, born_ms)?;
        (now < notice.backoff_until).then_some(notice.backoff_until)
    }

    /// Removes what holds no longer. `is_known` tells whether the registry has a run of an upstream.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(&str, u64) -> bool) {
        self.by_id.retain(|id, notice| {
            let is_leaving = notice.leaving_at.is_some_and(|at| {
                is_known(id, notice.born_ms) || now.saturating_sub(at) < LEAVING_RETENTION
            });
            is_leaving || now < notice.backoff_until
        });
    }

    fn get(&self, id: &str, born_ms: u64) -> Option<&Notice> {
        self.by_id.get(id).filter(|n| n.born_ms == born_ms)
    }

    /// The notice of a run, new if there is none; none if a later run has one.
    fn notice_mut(&mut self, id: &Arc<str>, born_ms: u64) -> Option<&mut Notice> {
        let new = Notice {
            born_ms,
            backoff_until: Duration::ZERO,
            leaving_at: None,
        };
        let notice = self.by_id.entry(id.clone()).or_insert(new);
        if notice.born_ms < born_ms {
            *notice = new;
        }
        (notice.born_ms == born_ms).then_some(notice)
    }
}
