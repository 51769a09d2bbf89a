//! Random trouble that a control group has to bear, as much of it at a time as it states to bear.

use std::fmt::Display;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Fleet;

/// Time after which a host that is back, or has replaced another, no longer counts as lost.
pub(crate) const CATCH_UP_MS: u64 = 4_000;
/// Time in which trouble comes.
const TROUBLE_MS: u64 = 45_000;
/// Longest time between two troubles.
const MAX_GAP_MS: u64 = 3_000;
/// Longest time for which a host is frozen, cut off or without power.
const MAX_AWAY_MS: u64 = 6_000;

/// Trouble for one fleet.
pub(crate) struct Ordeal {
    fleet: Fleet,
    /// Hosts that may be lost at the same time.
    tolerance: usize,
    /// Until when each lost host counts as lost, in milliseconds.
    lost_until: Vec<u64>,
    /// Cuts to end, by time.
    heals: Vec<(u64, usize)>,
    /// Hosts that end for good, by time.
    leaving: Vec<(u64, usize)>,
    next_number: u8,
}

impl Ordeal {
    pub(crate) fn new(seed: u64) -> Self {
        let keepers = [3, 3, 3, 5, 6, 7, 8][seed as usize % 7];
        let fleet = Fleet::founded(seed, keepers);
        Self {
            fleet,
            tolerance: if keepers == 3 { 1 } else { 2 },
            lost_until: Vec::new(),
            heals: Vec::new(),
            leaving: Vec::new(),
            next_number: keepers + 1,
        }
    }

    /// Plays all trouble and a last loss; the fleet, and the newest configuration acknowledged before the
    /// loss.
    pub(crate) fn play(mut self) -> (Fleet, u64) {
        // Where there are more hosts than seeds, they are admitted first.
        self.run(CATCH_UP_MS);
        while self.fleet.now_ms < TROUBLE_MS {
            let gap = self.fleet.rng.random_range(100..MAX_GAP_MS);
            self.run(gap);
            self.trouble();
        }
        let ends = self.lost_until.iter().max().copied().unwrap_or(0);
        let heals = self.heals.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let settled = ends.max(heals).saturating_sub(self.fleet.now_ms);
        self.run(settled + 1);
        let before = self.fleet.acknowledged;
        self.last_loss();
        (self.fleet, before)
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.fleet.step();
            let now = self.fleet.now_ms;
            for (_, place) in self.heals.extract_if(.., |(at, _)| *at <= now) {
                self.fleet.links.heal(place);
            }
            let leaving: Vec<_> = self.leaving.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, place) in leaving {
                self.fleet.lose_for_good(place);
            }
        }
    }

    fn trouble(&mut self) {
        let now = self.fleet.now_ms;
        self.lost_until.retain(|until| *until > now);
        if self.lost_until.len() >= self.tolerance {
            return;
        }
        let Some(place) = self.pick() else {
            return;
        };
        let away = self.fleet.rng.random_range(300..MAX_AWAY_MS);
        match self.fleet.rng.random_range(0..11) {
            0..=2 => self.replace(place),
            3 => self.replace_planned(place),
            4 => {
                self.tell(format!("{place} loses its disk"));
                self.fleet.wipe(place, away / 4);
                self.lost_for(away / 4);
            }
            5 => {
                self.tell(format!("{place} loses power for {away}"));
                self.fleet.power_off(place, away);
                self.lost_for(away);
            }
            6 => {
                self.tell(format!("{place} is killed"));
                self.fleet.kill(place, 1_000);
                self.lost_for(1_000);
            }
            7 => {
                self.tell(format!("{place} freezes for {away}"));
                self.fleet.freeze(place, away);
                self.lost_for(away);
            }
            8 => {
                self.tell(format!("{place} is cut off for {away}"));
                self.fleet.isolate(place);
                self.heals.push((now + away, place));
                self.lost_for(away);
            }
            9 => {
                self.tell(format!("the disk of {place} stalls for {away}"));
                self.fleet.stall_disk(place, away);
                self.lost_for(away);
            }
            _ => self.all_lose_power(),
        }
    }

    /// A host that runs and is not about to leave.
    fn pick(&mut self) -> Option<usize> {
        let now = self.fleet.now_ms;
        let is_here = |place: &usize| {
            let leaves = self.leaving.iter().any(|(_, p)| p == place);
            let cut = self.heals.iter().any(|(_, p)| p == place);
            self.fleet.hosts[*place].is_awake(now) && !leaves && !cut
        };
        let here: Vec<_> = (0..self.fleet.hosts.len()).filter(is_here).collect();
        here.choose(&mut self.fleet.rng).copied()
    }

    fn replace(&mut self, place: usize) {
        let after = self.fleet.rng.random_range(300..3_000);
        self.tell(format!("{place} is gone, a newcomer starts after {after}"));
        self.fleet.lose_for_good(place);
        self.newcomer(after);
        self.lost_for(after);
    }

    fn replace_planned(&mut self, place: usize) {
        self.tell(format!("a newcomer starts, {place} leaves after 1000"));
        self.newcomer(0);
        self.leaving.push((self.fleet.now_ms + 1_000, place));
        self.lost_for(1_000);
    }

    fn newcomer(&mut self, after_ms: u64) {
        let now = self.fleet.now_ms;
        let here = self.fleet.running().into_iter();
        let mut seeds: Vec<_> = here.map(|p| self.fleet.hosts[p].address).collect();
        seeds.shuffle(&mut self.fleet.rng);
        seeds.truncate(3);
        let number = self.next_number;
        self.next_number += 1;
        self.fleet.add(number, &seeds, false, now + after_ms);
    }

    /// Loses no disk, so it may come beside any other trouble.
    fn all_lose_power(&mut self) {
        let down = self.fleet.rng.random_range(200..1_000);
        self.tell(format!("all lose power for {down}"));
        self.fleet.lose_disks(&[], true, down);
        // Everyone counts as lost until all have caught up, so no disk is lost meanwhile.
        for _ in 0..self.tolerance {
            self.lost_for(down);
        }
    }

    fn last_loss(&mut self) {
        let (now, down) = (self.fleet.now_ms, 600);
        self.lost_until.retain(|until| *until > now);
        assert!(self.lost_until.is_empty(), "all have caught up");
        let mut wiped: Vec<usize> = Vec::new();
        for _ in 0..self.tolerance {
            wiped.extend(self.pick().filter(|p| !wiped.contains(p)));
        }
        let all = self.fleet.rng.random_bool(0.7);
        self.tell(format!("{wiped:?} lose their disks; all lose power: {all}"));
        self.fleet.lose_disks(&wiped, all, down);
        self.run(down);
    }

    fn lost_for(&mut self, ms: u64) {
        let until = self.fleet.now_ms + ms + CATCH_UP_MS;
        self.lost_until.push(until);
    }

    fn tell(&mut self, what: impl Display) {
        self.fleet.tell(what);
    }
}
