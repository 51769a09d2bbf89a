//! Random faults in a control group, at most as many at a time as the group has to tolerate.

use std::fmt::Display;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Fleet;

/// Time after which a host that has returned, or replaced another, no longer counts as lost.
pub(crate) const CATCH_UP_MS: u64 = 4_000;
/// Time during which faults are injected.
const FAULTS_MS: u64 = 45_000;
/// Longest time between two faults.
const MAX_GAP_MS: u64 = 3_000;
/// Longest time for which a host is paused, partitioned or without power.
const MAX_OUTAGE_MS: u64 = 6_000;
/// The same in runs with long outages, in which groups shrink.
const MAX_LONG_OUTAGE_MS: u64 = 16_000;

/// A run of one fleet with random faults.
pub(crate) struct FaultRun {
    fleet: Fleet,
    /// Hosts that may be lost at the same time.
    tolerance: usize,
    max_outage_ms: u64,
    /// Until when each lost host counts as lost, in milliseconds.
    lost_until: Vec<u64>,
    /// Partitions to end, by time.
    heals: Vec<(u64, usize)>,
    /// Hosts to remove for good, by time.
    leaving: Vec<(u64, usize)>,
    next_number: u8,
}

impl FaultRun {
    pub(crate) fn new(seed: u64) -> Self {
        let log_hosts = [3, 3, 3, 5, 6, 7, 8][seed as usize % 7];
        let fleet = Fleet::bootstrapped(seed, log_hosts);
        Self {
            fleet,
            tolerance: if log_hosts == 3 { 1 } else { 2 },
            max_outage_ms: MAX_OUTAGE_MS,
            lost_until: Vec::new(),
            heals: Vec::new(),
            leaving: Vec::new(),
            next_number: log_hosts + 1,
        }
    }

    /// A run whose outages last longer than a group keeps a lost voter. Seven voters tolerate three losses.
    pub(crate) fn with_long_outages(seed: u64) -> Self {
        let run = Self::new(seed);
        Self {
            max_outage_ms: MAX_LONG_OUTAGE_MS,
            tolerance: if run.fleet.hosts.len() >= 7 {
                3
            } else {
                run.tolerance
            },
            ..run
        }
    }

    /// Injects all faults and a final loss; returns the fleet, and the newest configuration acknowledged
    /// before the loss.
    pub(crate) fn execute(mut self) -> (Fleet, u64) {
        // Hosts that are no seeds are admitted first.
        self.run(CATCH_UP_MS);
        while self.fleet.now_ms < FAULTS_MS {
            let gap = self.fleet.rng.random_range(100..MAX_GAP_MS);
            self.run(gap);
            self.inject_fault();
        }
        let last_lost_until = self.lost_until.iter().max().copied().unwrap_or(0);
        let last_heal = self.heals.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let recovery_ms = last_lost_until
            .max(last_heal)
            .saturating_sub(self.fleet.now_ms);
        self.run(recovery_ms + 1);
        let before = self.fleet.acknowledged;
        self.inject_final_loss();
        (self.fleet, before)
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.fleet.step();
            let now = self.fleet.now_ms;
            for (_, place) in self.heals.extract_if(.., |(at, _)| *at <= now) {
                self.fleet.heal(place);
            }
            let leaving: Vec<_> = self.leaving.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, place) in leaving {
                self.fleet.remove(place);
            }
        }
    }

    fn inject_fault(&mut self) {
        let now = self.fleet.now_ms;
        self.lost_until.retain(|until| *until > now);
        if self.lost_until.len() >= self.tolerance {
            return;
        }
        let Some(place) = self.pick_host() else {
            return;
        };
        let outage_ms = self.fleet.rng.random_range(300..self.max_outage_ms);
        match self.fleet.rng.random_range(0..11) {
            0..=2 => self.replace(place),
            3 => self.replace_planned(place),
            4 => {
                self.record(format!("{place} loses its disk"));
                self.fleet.wipe_disk(place, outage_ms / 4);
                self.mark_lost(outage_ms / 4);
            }
            5 => {
                self.record(format!("{place} loses power for {outage_ms}"));
                self.fleet.power_off(place, outage_ms);
                self.mark_lost(outage_ms);
            }
            6 => {
                self.record(format!("{place} is killed"));
                self.fleet.kill(place, 1_000);
                self.mark_lost(1_000);
            }
            7 => {
                self.record(format!("{place} pauses for {outage_ms}"));
                self.fleet.pause(place, outage_ms);
                self.mark_lost(outage_ms);
            }
            8 => {
                self.record(format!("{place} is partitioned for {outage_ms}"));
                self.fleet.isolate(place);
                self.heals.push((now + outage_ms, place));
                self.mark_lost(outage_ms);
            }
            9 => {
                self.record(format!("the disk of {place} stalls for {outage_ms}"));
                self.fleet.stall_disk(place, outage_ms);
                self.mark_lost(outage_ms);
            }
            _ => self.all_lose_power(),
        }
    }

    /// A host that runs, is not partitioned and is not about to leave.
    fn pick_host(&mut self) -> Option<usize> {
        let now = self.fleet.now_ms;
        let is_available = |place: &usize| {
            let leaves = self.leaving.iter().any(|(_, p)| p == place);
            let cut = self.heals.iter().any(|(_, p)| p == place);
            self.fleet.hosts[*place].is_running(now) && !leaves && !cut
        };
        let available: Vec<_> = (0..self.fleet.hosts.len()).filter(is_available).collect();
        available.choose(&mut self.fleet.rng).copied()
    }

    fn replace(&mut self, place: usize) {
        let after = self.fleet.rng.random_range(300..3_000);
        self.record(format!("{place} is lost, a new host starts after {after}"));
        self.fleet.remove(place);
        self.add_host(after);
        self.mark_lost(after);
    }

    fn replace_planned(&mut self, place: usize) {
        self.record(format!("a new host starts, {place} leaves after 1000"));
        self.add_host(0);
        self.leaving.push((self.fleet.now_ms + 1_000, place));
        self.mark_lost(1_000);
    }

    fn add_host(&mut self, after_ms: u64) {
        let now = self.fleet.now_ms;
        let available = self.fleet.running().into_iter();
        let mut seeds: Vec<_> = available.map(|p| self.fleet.hosts[p].address).collect();
        seeds.shuffle(&mut self.fleet.rng);
        seeds.truncate(3);
        let number = self.next_number;
        self.next_number += 1;
        self.fleet.add(number, &seeds, false, now + after_ms);
    }

    /// Loses no disk, so it may coincide with other faults.
    fn all_lose_power(&mut self) {
        let down = self.fleet.rng.random_range(200..1_000);
        self.record(format!("all lose power for {down}"));
        self.fleet.lose_disks(&[], true, down);
        // All hosts count as lost until they have caught up, so no disk is lost meanwhile.
        for _ in 0..self.tolerance {
            self.mark_lost(down);
        }
    }

    fn inject_final_loss(&mut self) {
        let (now, down) = (self.fleet.now_ms, 600);
        self.lost_until.retain(|until| *until > now);
        assert!(self.lost_until.is_empty(), "all have caught up");
        let mut wiped: Vec<usize> = Vec::new();
        for _ in 0..self.tolerance {
            wiped.extend(self.pick_host().filter(|p| !wiped.contains(p)));
        }
        let all = self.fleet.rng.random_bool(0.7);
        self.record(format!("{wiped:?} lose their disks; all lose power: {all}"));
        self.fleet.lose_disks(&wiped, all, down);
        self.run(down);
    }

    fn mark_lost(&mut self, ms: u64) {
        let until = self.fleet.now_ms + ms + CATCH_UP_MS;
        self.lost_until.push(until);
    }

    fn record(&mut self, what: impl Display) {
        self.fleet.record(what);
    }
}
