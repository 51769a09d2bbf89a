//! Tracks disturbances, which decide whether an invariant must hold at a given time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::fleet::GRACE_S;

/// Time after a disturbance within which updates may not reach a host; the platform's default bound.
const PROPAGATION_BOUND: Duration = Duration::from_secs(4);
/// Minimum time between two disk losses. A host that lost its disk doesn't count towards the quorum until it
/// has caught up, and the other hosts may be down in the meantime.
const MIN_DISK_LOSS_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Times {
    /// End of the last unplanned disturbance of each router.
    unplanned: Vec<Duration>,
    /// Time of the last graceful stop or the following restart of each router.
    planned_stops: Vec<Duration>,
    /// End of the last kill, stop or pause of each router.
    interrupted: Vec<Duration>,
    /// End of the last disturbance of the path to each upstream.
    upstream_links: HashMap<usize, Duration>,
    /// End of the last disturbance of the control group.
    control: Duration,
    /// Time of the last disk loss of a control host.
    disk_lost: Option<Duration>,
}

/// Disturbances of a run, shared between clones.
#[derive(Debug, Clone)]
pub struct Disturbances {
    times: Arc<Mutex<Times>>,
}

impl Disturbances {
    /// Creates a tracker without disturbances.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        let times = Times {
            unplanned: vec![Duration::ZERO; routers],
            planned_stops: vec![Duration::ZERO; routers],
            interrupted: vec![Duration::ZERO; routers],
            upstream_links: HashMap::new(),
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

    /// Records that a router is disturbed until `end`.
    pub fn extend_router(&self, router: usize, end: Duration) {
        let last = &mut self.times().unplanned[router];
        *last = end.max(*last);
    }

    /// Records a graceful stop of a router or the restart that follows it.
    pub fn record_planned_stop(&self, router: usize, now: Duration) {
        self.times().planned_stops[router] = now;
        self.extend_interruption(router, now);
    }

    /// Records that the process of a router does not run until `end`.
    pub fn extend_interruption(&self, router: usize, end: Duration) {
        let last = &mut self.times().interrupted[router];
        *last = end.max(*last);
    }

    /// Records that the path to an upstream is disturbed until `end`.
    pub fn extend_upstream_link(&self, upstream: usize, end: Duration) {
        let mut times = self.times();
        let last = times.upstream_links.entry(upstream).or_default();
        *last = end.max(*last);
    }

    /// Returns whether the process of a router was killed, stopped or paused after `since`, so that it may not
    /// know what it was told until then.
    #[must_use]
    pub fn was_interrupted(&self, router: usize, since: Duration) -> bool {
        self.times().interrupted[router] >= since
    }

    /// Returns whether the path to an upstream was disturbed after `since`, so that its responses may be lost.
    #[must_use]
    pub fn was_cut_off(&self, upstream: usize, since: Duration) -> bool {
        let times = self.times();
        times
            .upstream_links
            .get(&upstream)
            .is_some_and(|end| *end >= since)
    }

    /// Records that the control group is disturbed until `end`.
    pub fn extend_control(&self, end: Duration) {
        let last = &mut self.times().control;
        *last = end.max(*last);
    }

    /// Records a disk loss and returns true if the control group can tolerate one now. A group of three
    /// tolerates one until the host has caught up.
    pub fn try_lose_disk(&self, now: Duration) -> bool {
        let last = &mut self.times().disk_lost;
        let is_allowed = last.is_none_or(|at| now > at + MIN_DISK_LOSS_INTERVAL);
        if is_allowed {
            *last = Some(now);
        }
        is_allowed
    }

    /// Returns whether no recent disturbance can delay updates from the control group to a router.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_soak::disturbances::Disturbances;
    /// let at = Duration::from_secs;
    /// let disturbances = Disturbances::new(2);
    /// disturbances.extend_router(1, at(10));
    /// assert!(!disturbances.is_undisturbed(at(12)));
    /// assert!(disturbances.is_undisturbed(at(15)));
    /// ```
    #[must_use]
    pub fn is_undisturbed(&self, now: Duration) -> bool {
        let times = self.times();
        let routers = times.unplanned.iter().chain(&times.planned_stops);
        let mut all = routers.chain([&times.control]);
        all.all(|last| now > *last + PROPAGATION_BOUND)
    }

    /// Returns whether a graceful stop is the only current disturbance of a router.
    #[must_use]
    pub fn is_planned_stop_only(&self, router: usize, now: Duration) -> bool {
        let times = self.times();
        let until =
            times.planned_stops[router] + Duration::from_secs_f64(GRACE_S) + PROPAGATION_BOUND / 4;
        let is_planned = times.planned_stops[router] > Duration::ZERO && now < until;
        is_planned && now > times.unplanned[router] + PROPAGATION_BOUND
    }
}
