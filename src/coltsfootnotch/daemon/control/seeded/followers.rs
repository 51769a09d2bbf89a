//! Forwarding entries that follow this control host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::load::FleetLoad;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{FromRelay, LoadWord};

/// A question whether a configuration is the newest.
#[derive(Debug, Clone, Copy)]
pub(in crate::daemon::control) struct LeaseAsk {
    pub(in crate::daemon::control) link: LinkId,
    pub(in crate::daemon::control) id: u64,
    pub(in crate::daemon::control) have: u64,
}

/// A forwarding entry that is connected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::daemon::control) struct Follower {
    pub(in crate::daemon::control) host: HostName,
    /// The configuration that it last said it has in force; none before its first question.
    pub(in crate::daemon::control) config: u64,
}

/// Forwarding entries that are connected.
///
/// Every entry asks twice a second whether its configuration is the newest. One read of the log
/// answers all questions that came before it began, so a thousand entries cost as many reads as one.
#[derive(Default)]
pub(in crate::daemon::control) struct Followers {
    links: BTreeMap<LinkId, Follower>,
    /// Those that want to be told what the others do.
    followed_by: BTreeSet<LinkId>,
    pub(in crate::daemon::control) fleet: FleetLoad<LinkId>,
    asked: Vec<LeaseAsk>,
    under_read: Option<Vec<LeaseAsk>>,
}

impl Followers {
    pub(in crate::daemon::control) fn add(&mut self, link: LinkId, host: HostName) {
        self.links.insert(link, Follower { host, config: 0 });
    }

    pub(in crate::daemon::control) fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.followed_by.remove(&link);
        self.fleet.remove(&link);
    }

    /// All connected entries.
    pub(in crate::daemon::control) fn links(&self) -> impl Iterator<Item = LinkId> {
        self.links.keys().copied()
    }

    /// The same, with what is known of each.
    pub(in crate::daemon::control) fn all(&self) -> impl Iterator<Item = &Follower> {
        self.links.values()
    }

    pub(in crate::daemon::control) fn report(
        &mut self,
        now: Duration,
        link: LinkId,
        follows: bool,
        load: LoadWord,
    ) {
        self.fleet.record(now, link, load);
        if follows {
            self.followed_by.insert(link);
        } else {
            self.followed_by.remove(&link);
        }
    }

    /// Tells each entry that follows what the others do, by `tell`; begins a new period. How many words
    /// about upstreams that were.
    ///
    /// One entry's word is gone before the next one's is made: all at once they grow with entries times
    /// upstreams, some 100 bytes for each pair.
    pub(in crate::daemon::control) fn tell_each(
        &mut self,
        now: Duration,
        tell: impl Fn(LinkId, FromRelay),
    ) -> usize {
        let entries = self.fleet.entries(now);
        let totals = self.fleet.totals(now);
        let mut used = 0;
        for link in &self.followed_by {
            let load = self.fleet.excluding(now, &totals, link);
            used += load.upstreams.len();
            tell(*link, FromRelay::Fleet { entries, load });
        }
        self.fleet.start_period(now);
        used
    }

    /// Takes a question; whether a read is to be begun for it.
    pub(in crate::daemon::control) fn ask(&mut self, ask: LeaseAsk) -> bool {
        if let Some(follower) = self.links.get_mut(&ask.link) {
            follower.config = ask.have;
        }
        self.asked.push(ask);
        self.begin_read()
    }

    /// Begins a read for all that was asked, unless one is under way; whether it did.
    pub(in crate::daemon::control) fn begin_read(&mut self) -> bool {
        if self.under_read.is_some() || self.asked.is_empty() {
            return false;
        }
        self.under_read = Some(std::mem::take(&mut self.asked));
        true
    }

    /// The read is over; the questions that it answers.
    pub(in crate::daemon::control) fn end_read(&mut self) -> Vec<LeaseAsk> {
        self.under_read.take().unwrap_or_default()
    }
}
