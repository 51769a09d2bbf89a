//! Model of a fleet whose entries restart, with their retry budgets and the control hosts that remember them.

use std::time::Duration;

use coltsfootnotch_forward::retry::{RetryBudget, RetryLimit, RetryRecords};
pub(crate) const ENTRIES: usize = 46;
pub(crate) const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 163.0,
    window: Duration::from_secs(10),
};
/// Requests of the fleet per second.
const RATE: f64 = 2_200.0;
/// Steps per second of simulated time.
pub(crate) const STEPS: usize = 50;
/// Time for which entries are played, and when some of them restart, in seconds.
pub(crate) const PLAYED: usize = 55;
pub(crate) const RESTART: usize = 30;
/// Time for which a restarted entry doesn't know the number of entries.
const UNKNOWN: Duration = Duration::from_millis(300);
/// Control hosts; each answers a restarted entry some steps after the one before, the last after [`UNKNOWN`].
pub(crate) const CONTROL_HOSTS: usize = 5;
const ANSWER_STEPS: usize = 3;
/// Steps between two reports of an entry.
const REPORT_STEPS: usize = 5;

/// Retries that are wanted for each request of an entry, by the second; the first argument tells whether the
/// entry is one of those that restart.
pub(crate) type Wanted = fn(bool, f64) -> f64;

/// How entries end, and what happens to control hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Play {
    /// They are killed some time after their last reports.
    Kills,
    /// They report once more before they end.
    Stops,
    /// They are killed together with some of the control hosts.
    KillsWithControlHosts(usize),
    /// Some control hosts restart, and entries select others, a second before they are killed.
    KillsAfterControlHosts(usize),
    /// They are killed together with control hosts that don't come back; the second value tells whether the others
    /// know that already.
    KillsWithLostControlHosts(usize, bool),
    /// They are killed twice, the second time a second after the first.
    KillsTwice,
}

/// One process of an entry.
struct Entry {
    run: u64,
    control_host: usize,
    is_new_at_control_host: bool,
    started_step: Option<usize>,
    budget: RetryBudget,
    wanting: f64,
    sent: f64,
}

pub(crate) struct Fleet {
    entries: Vec<Entry>,
    control_hosts: Vec<RetryRecords>,
    /// Control hosts that are gone, the first ones, and how many others still count them.
    lost: usize,
    counted: usize,
    pub(crate) requests: Vec<f64>,
    pub(crate) retries: Vec<f64>,
}

fn at(step: usize) -> Duration {
    Duration::from_secs_f64(step as f64 / STEPS as f64)
}

impl Entry {
    /// The clock of its process, which starts with it.
    fn clock(&self, step: usize) -> Duration {
        at(step - self.started_step.unwrap_or(0))
    }
}

impl Fleet {
    fn new() -> Self {
        let entry = |n| Entry {
            run: 0,
            control_host: n % CONTROL_HOSTS,
            is_new_at_control_host: true,
            started_step: None,
            budget: RetryBudget::new(LIMIT),
            wanting: 0.0,
            sent: 0.0,
        };
        let control_host = |_| RetryRecords::new(Duration::ZERO, true);
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            control_hosts: (0..CONTROL_HOSTS).map(control_host).collect(),
            lost: 0,
            counted: CONTROL_HOSTS,
            requests: vec![0.0; PLAYED * STEPS],
            retries: vec![0.0; PLAYED * STEPS],
        }
    }

    fn report(&mut self, step: usize, n: usize) {
        let entry = &mut self.entries[n];
        let is_whole = std::mem::replace(&mut entry.is_new_at_control_host, false);
        if let Some(report) = entry.budget.take_report(entry.clock(step), is_whole) {
            let control_host = &mut self.control_hosts[entry.control_host];
            control_host.record(at(step), &format!("entry-{n}"), entry.run, &report);
        }
    }

    /// Has an entry select the next control host.
    fn move_entry(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        self.control_hosts[entry.control_host].on_moved(&format!("entry-{n}"), entry.run);
        entry.control_host = (entry.control_host + 1) % CONTROL_HOSTS;
        entry.is_new_at_control_host = true;
    }

    /// Loses the first control hosts; entries select others.
    fn lose_control_hosts(&mut self, step: usize, count: usize, is_noticed: bool) {
        self.lost = count;
        if is_noticed {
            self.counted -= count;
            let left = self.control_hosts[count..].iter_mut();
            left.for_each(|host| host.on_control_host_lost(at(step)));
        }
        for n in 0..ENTRIES {
            while self.entries[n].control_host < count {
                self.move_entry(n);
            }
        }
    }

    fn restart(&mut self, step: usize, n: usize) {
        let entry = &mut self.entries[n];
        entry.run += 1;
        entry.budget = RetryBudget::succeeding(LIMIT, Duration::ZERO);
        entry.started_step = Some(step);
        entry.wanting = 0.0;
        entry.control_host = (entry.control_host + 2) % CONTROL_HOSTS;
        entry.control_host = entry.control_host.max(self.lost);
        entry.is_new_at_control_host = true;
    }

    /// Restarts control hosts; the entries that report to them select others.
    fn restart_control_hosts(&mut self, step: usize, count: usize) {
        for n in 0..CONTROL_HOSTS {
            if n < count {
                self.control_hosts[n] = RetryRecords::new(at(step), false);
            } else {
                self.control_hosts[n].on_control_host_lost(at(step));
            }
        }
        for n in 0..ENTRIES {
            while count < CONTROL_HOSTS && self.entries[n].control_host < count {
                self.move_entry(n);
            }
            self.entries[n].is_new_at_control_host = true;
        }
    }

    /// Has the control hosts answer an entry that was started lately.
    fn answer(&mut self, step: usize, n: usize) {
        let entry = &mut self.entries[n];
        let Some(since) = entry.started_step.map(|started| step - started) else {
            return;
        };
        let number = (since / ANSWER_STEPS).wrapping_sub(1);
        if !since.is_multiple_of(ANSWER_STEPS) || number >= CONTROL_HOSTS || number < self.lost {
            return;
        }
        let control_host = &mut self.control_hosts[number];
        let control_hosts = self.counted as u32;
        let history =
            control_host.history(at(step), &format!("entry-{n}"), entry.run, control_hosts);
        let from = format!("control-{number}");
        let _known = entry.budget.on_history(entry.clock(step), &from, &history);
    }

    fn step(&mut self, step: usize, n: usize, restarts: bool, wanted: Wanted) {
        self.answer(step, n);
        let second = step as f64 / STEPS as f64;
        let entry = &mut self.entries[n];
        let now = entry.clock(step);
        let is_new = entry
            .started_step
            .is_some_and(|s| at(step) < at(s) + UNKNOWN);
        let known = (!is_new).then_some(ENTRIES as u32);
        entry.sent += RATE / (ENTRIES * STEPS) as f64;
        while entry.sent >= 1.0 {
            entry.sent -= 1.0;
            self.requests[step] += 1.0;
            entry.budget.on_request(now, "spec");
            entry.wanting += wanted(restarts, second);
        }
        while self.entries[n].wanting >= 1.0
            && self.entries[n].budget.try_acquire(now, "spec", known)
        {
            self.entries[n].wanting -= 1.0;
            self.retries[step] += 1.0;
            let entry = &self.entries[n];
            if entry.budget.is_report_due() && !entry.is_new_at_control_host {
                self.report(step, n);
            }
        }
        // What the budget refuses is not wanted again later.
        self.entries[n].wanting = self.entries[n].wanting.fract();
        if (step + n).is_multiple_of(REPORT_STEPS) {
            self.report(step, n);
        }
    }

    fn before_step(&mut self, step: usize, restarted: usize, play: Play) {
        let restart = RESTART * STEPS;
        match play {
            Play::KillsWithControlHosts(count) if step == restart => {
                self.restart_control_hosts(step, count);
            }
            Play::KillsAfterControlHosts(count) if step == restart - STEPS => {
                self.restart_control_hosts(step, count);
            }
            Play::KillsWithLostControlHosts(count, is_noticed) if step == restart => {
                self.lose_control_hosts(step, count, is_noticed);
            }
            Play::Stops if step == restart => {
                (0..restarted).for_each(|n| self.report(step, n));
            }
            _ => {}
        }
        let again = play == Play::KillsTwice && step == restart + STEPS;
        if step == restart || again {
            (0..restarted).for_each(|n| self.restart(step, n));
        }
    }
}

/// Plays a fleet; returns its requests and retries by step.
pub(crate) fn play(restarted: usize, wanted: Wanted, play: Play) -> Fleet {
    let mut fleet = Fleet::new();
    for step in 0..PLAYED * STEPS {
        fleet.before_step(step, restarted, play);
        for n in 0..ENTRIES {
            fleet.step(step, n, n < restarted, wanted);
        }
    }
    fleet
}
