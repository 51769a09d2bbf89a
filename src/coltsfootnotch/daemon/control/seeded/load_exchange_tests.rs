//! Load of entries that report to several control hosts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::load::{LoadDecoder, OwnReports};
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{EntryLoadReport, FromRelay, SegmentReport, UpstreamUsage};
use googletest::prelude::*;

use super::{LoadExchange, Round};

const ROUND: Duration = Duration::from_millis(80);

/// An entry with requests at one upstream, as it sees its load and that of the others.
struct Entry {
    control_host: usize,
    running: u32,
    own: OwnReports,
    decoder: LoadDecoder,
    others_running: u32,
    entries: u32,
}

/// Control hosts that are connected with each other, and their entries. The connection to the control host
/// `n` is `1_000 + n` at the others, and that to the entry `n` is `n`.
struct Fleet {
    hosts: Vec<LoadExchange>,
    is_lost: Vec<bool>,
    entries: Vec<Entry>,
    now: Duration,
    bytes: Vec<usize>,
}

fn host(n: usize) -> HostName {
    HostName::new(format!("control-{n}")).unwrap()
}

fn member_link(n: usize) -> LinkId {
    LinkId(1_000 + n as u64)
}

impl Fleet {
    fn new(hosts: usize, entries: usize) -> Self {
        let entry = |n| Entry {
            control_host: n % hosts,
            running: 1,
            own: OwnReports::default(),
            decoder: LoadDecoder::default(),
            others_running: 0,
            entries: 0,
        };
        Self {
            hosts: (0..hosts).map(|n| LoadExchange::new(host(n))).collect(),
            is_lost: vec![false; hosts],
            entries: (0..entries).map(entry).collect(),
            now: Duration::from_secs(1),
            bytes: vec![0; hosts],
        }
    }

    /// Has all entries report and all control hosts run a round.
    fn round(&mut self) {
        self.now += ROUND;
        for n in 0..self.entries.len() {
            self.report(n);
        }
        for n in 0..self.hosts.len() {
            if !self.is_lost[n] {
                self.run_round(n);
            }
        }
    }

    fn report(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        let used = UpstreamUsage {
            id: format!("spec-{}", n % 50),
            running: entry.running,
            succeeded: 1,
            ..UpstreamUsage::default()
        };
        let load = EntryLoadReport {
            upstreams: vec![used],
            ..EntryLoadReport::default()
        };
        let number = entry.own.record(self.now, &load);
        let control_host = &mut self.hosts[entry.control_host];
        control_host.record(self.now, LinkId(n as u64), number, load, Vec::new());
    }

    fn run_round(&mut self, n: usize) {
        let members = (0..self.hosts.len()).filter(|m| *m != n && !self.is_lost[*m]);
        let members: Vec<_> = members.map(member_link).collect();
        let (parts, messages) = (RefCell::new(Vec::new()), RefCell::new(Vec::new()));
        let round = Round {
            segments: &SegmentReport::default(),
        };
        let _next = self.hosts[n].run_round(
            self.now,
            &round,
            &members,
            |link, part| parts.borrow_mut().push((link, part)),
            |link, message| messages.borrow_mut().push((link, message)),
        );
        self.bytes[n] = 0;
        for (link, part) in parts.into_inner() {
            self.bytes[n] += part.load.len();
            let to = (link.0 - 1_000) as usize;
            let changes = postcard::from_bytes(&part.load).unwrap();
            self.hosts[to].record_part(self.now, member_link(n), &host(n), part.entries, changes);
        }
        for (link, message) in messages.into_inner() {
            let FromRelay::FleetLoad {
                entries,
                included,
                load,
                ..
            } = message
            else {
                panic!("only loads are sent");
            };
            self.bytes[n] += load.len();
            let entry = &mut self.entries[link.0 as usize];
            let changes = postcard::from_bytes(&load).unwrap();
            let totals = entry
                .decoder
                .apply(changes)
                .expect("the first has all rows");
            let others = entry.own.subtract(included, totals);
            entry.others_running = others.upstreams.iter().map(|used| used.running).sum();
            entry.entries = entries;
        }
    }

    /// Has an entry report to another control host.
    fn move_entry(&mut self, n: usize, to: usize) {
        let from = std::mem::replace(&mut self.entries[n].control_host, to);
        self.entries[n].decoder = LoadDecoder::default();
        self.hosts[from].remove_entry(LinkId(n as u64));
    }

    /// Ends a control host: the others' connections to it close, and its entries move to others.
    fn lose(&mut self, lost: usize) {
        self.is_lost[lost] = true;
        for other in (0..self.hosts.len()).filter(|n| *n != lost) {
            self.hosts[other].remove_member(member_link(lost), &host(lost), false);
        }
        for n in 0..self.entries.len() {
            if self.entries[n].control_host == lost {
                self.move_entry(n, (lost + 1) % self.hosts.len());
            }
        }
    }

    /// What entries see of the others' requests, and how many of them see it.
    fn views(&self) -> BTreeMap<u32, usize> {
        let mut views = BTreeMap::new();
        for entry in &self.entries {
            *views.entry(entry.others_running).or_default() += 1;
        }
        views
    }
}

/// Guards against entries that see a part of the load only, or their own requests as those of others.
#[googletest::test]
fn entries_of_all_control_hosts_see_each_other_once() {
    let mut fleet = Fleet::new(4, 40);
    (0..3).for_each(|_| fleet.round());
    expect_that!(fleet.views(), eq(&BTreeMap::from([(39, 40)])));
    expect_that!(fleet.entries[0].entries, eq(40));
}

/// Guards against load that is counted twice, or not at all, after a control host was lost.
#[googletest::test]
fn the_entries_of_a_lost_control_host_count_once_at_another() {
    let mut fleet = Fleet::new(4, 40);
    (0..3).for_each(|_| fleet.round());
    fleet.lose(2);
    (0..2).for_each(|_| fleet.round());
    expect_that!(fleet.views(), eq(&BTreeMap::from([(39, 40)])));
    expect_that!(fleet.entries[0].entries, eq(40));
}

/// Guards against an entry that gets changes of rows that it never received, after it was away for a moment.
#[googletest::test]
fn an_entry_that_returns_before_the_next_round_receives_all_rows() {
    let mut fleet = Fleet::new(2, 10);
    (0..3).for_each(|_| fleet.round());
    fleet.move_entry(0, 1);
    fleet.move_entry(0, 0);
    fleet.round();
    expect_that!(fleet.entries[0].others_running, eq(9));
}

/// Guards against load of a frozen control host that counts for ever.
#[googletest::test]
fn the_part_of_a_silent_control_host_ends() {
    let mut fleet = Fleet::new(2, 10);
    (0..3).for_each(|_| fleet.round());
    fleet.is_lost[1] = true;
    fleet.now += Duration::from_secs(2);
    fleet.round();
    expect_that!(fleet.entries[0].others_running, eq(4));
    expect_that!(fleet.entries[0].entries, eq(5));
}

/// Guards against a control host whose messages grow with the product of entries and upstreams: what it sends to an
/// entry doesn't grow with their number while the control hosts grow with them, nor the messages of a round.
#[googletest::test]
fn what_a_control_host_sends_grows_with_its_own_entries() {
    let bytes = [1, 2, 4].map(|times| {
        let mut fleet = Fleet::new(5 * times, 180 * times);
        (0..5).for_each(|_| fleet.round());
        fleet.bytes.iter().max().copied().unwrap_or(0)
    });
    // Parts go to as many more control hosts; all other bytes stay.
    expect_that!(bytes[1], le(bytes[0] * 3 / 2));
    expect_that!(bytes[2], le(bytes[0] * 5 / 2));
}
