//! Faults of simulated control hosts.

use coltsfootnotch_consensus::{DiskId, MemberId};
use rand::Rng;

use super::{Disk, Fleet};

impl Fleet {
    /// The host loses power and restarts after `down_ms`, with settings that are not for the first start.
    pub(crate) fn power_off(&mut self, place: usize, down_ms: u64) {
        let host = &mut self.hosts[place];
        host.process = None;
        host.seeds.first_start = false;
        host.disk.interrupt(&mut self.rng);
        host.starts_ms = Some(self.now_ms + down_ms);
        self.proposed.retain(|(at, _), _| *at != place);
    }

    /// The process is killed and restarts after `down_ms`; its connections are reset.
    pub(crate) fn kill(&mut self, place: usize, down_ms: u64) {
        self.power_off(place, down_ms);
        for other in 0..self.hosts.len() {
            if self.links.drop_link(place, other) {
                self.disconnect(place, other);
            }
        }
    }

    /// The host loses its disk and restarts with an empty one after `down_ms`.
    pub(crate) fn wipe_disk(&mut self, place: usize, down_ms: u64) {
        self.power_off(place, down_ms);
        let disk = DiskId(self.rng.random());
        let host = &mut self.hosts[place];
        let name = host.member().host.clone();
        host.saved_addresses.clear();
        host.disk = Disk::empty(MemberId { host: name, disk });
    }

    /// The running hosts in `wiped` lose their disks, and with `all` the others lose power; all restart after
    /// `down_ms`.
    pub(crate) fn lose_disks(&mut self, wiped: &[usize], all: bool, down_ms: u64) {
        for place in self.running() {
            if wiped.contains(&place) {
                self.wipe_disk(place, down_ms);
            } else if all {
                self.power_off(place, down_ms);
            }
        }
    }

    /// The places of the hosts whose processes run.
    pub(crate) fn running(&self) -> Vec<usize> {
        let runs = |place: &usize| self.hosts[*place].process.is_some();
        (0..self.hosts.len()).filter(runs).collect()
    }

    /// Removes the host for good.
    pub(crate) fn remove(&mut self, place: usize) {
        self.power_off(place, 0);
        self.hosts[place].starts_ms = None;
    }

    pub(crate) fn pause(&mut self, place: usize, for_ms: u64) {
        self.hosts[place].paused_until = self.now_ms + for_ms;
    }

    pub(crate) fn stall_disk(&mut self, place: usize, for_ms: u64) {
        self.hosts[place].disk.stalls_until = self.now_ms + for_ms;
    }

    /// Ends the partition of a host.
    pub(crate) fn heal(&mut self, place: usize) {
        self.links.heal(place);
    }

    /// Partitions a host from all others.
    pub(crate) fn isolate(&mut self, place: usize) {
        for other in (0..self.hosts.len()).filter(|other| *other != place) {
            self.links.cut(place, other);
            self.links.cut(other, place);
        }
    }
}
