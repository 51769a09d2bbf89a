//! What was disturbed when, by which it is told whether a promise holds at a moment.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::fleet::GRACE_S;

/// Time after a disturbance in which what a host is told may not reach it; the platform's usual bound.
const CONTACT: Duration = Duration::from_secs(4);
/// Time from a lost disk to the next. The others may be down in it for most of the time, and the host
/// counts for nothing until it has caught up.
const DISK_BACK_AFTER: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Times {
    /// Until when each router is disturbed, other than by planned work.
    unplanned: Vec<Duration>,
    /// When each router was last told to stop, or started again after that.
    planned: Vec<Duration>,
    /// Until when the control group is disturbed.
    control: Duration,
    /// When a control host last lost its disk.
    disk_lost: Option<Duration>,
}

/// What was disturbed when. Clones share it.
#[derive(Debug, Clone)]
pub struct Disturbed {
    times: Arc<Mutex<Times>>,
}

impl Disturbed {
    /// Nothing was disturbed yet.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        let times = Times {
            unplanned: vec![Duration::ZERO; routers],
            planned: vec![Duration::ZERO; routers],
            control: Duration::ZERO,
            disk_lost: None,
        };
        Self {
            times: Arc::new(Mutex::new(times)),
        }
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A router is disturbed until `end`.
    pub fn router(&self, router: usize, end: Duration) {
        let last = &mut self.times().unplanned[router];
        *last = end.max(*last);
    }

    /// A router is told to stop now, or starts again.
    pub fn planned(&self, router: usize, now: Duration) {
        self.times().planned[router] = now;
    }

    /// The control group is disturbed until `end`.
    pub fn control(&self, end: Duration) {
        let last = &mut self.times().control;
        *last = end.max(*last);
    }

    /// Whether a disk may be lost now; then it counts as lost. A group of three bears one, until the
    /// host has caught up again.
    pub fn lose_a_disk(&self, now: Duration) -> bool {
        let last = &mut self.times().disk_lost;
        let may = last.is_none_or(|at| now > at + DISK_BACK_AFTER);
        if may {
            *last = Some(now);
        }
        may
    }

    /// Whether what a control host acknowledges now has reached every router.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_soak::disturbed::Disturbed;
    /// let at = Duration::from_secs;
    /// let disturbed = Disturbed::new(2);
    /// disturbed.router(1, at(10));
    /// assert!(!disturbed.is_calm(at(12)));
    /// assert!(disturbed.is_calm(at(15)));
    /// ```
    #[must_use]
    pub fn is_calm(&self, now: Duration) -> bool {
        let times = self.times();
        let routers = times.unplanned.iter().chain(&times.planned);
        let mut all = routers.chain([&times.control]);
        all.all(|last| now > *last + CONTACT)
    }

    /// Whether a router is disturbed by nothing but being told to stop.
    #[must_use]
    pub fn is_planned_only(&self, router: usize, now: Duration) -> bool {
        let times = self.times();
        let until = times.planned[router] + Duration::from_secs_f64(GRACE_S) + CONTACT / 4;
        let is_planned = times.planned[router] > Duration::ZERO && now < until;
        is_planned && now > times.unplanned[router] + CONTACT
    }
}
