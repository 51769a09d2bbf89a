//! Sums of the entries' load: of the entries that report to this control host, and of all of them.
//!
//! Each control host sums the reports of the entries that have selected it, sends the sum to the other
//! control hosts, and sends the sum of all parts to its entries. So no host receives or sends more than
//! its part of the reports, however many entries there are.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::load::{FleetLoad, LoadDecoder, LoadFeed, reporting_period};
use coltsfootnotch_forward::retry::PoisonRequests;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{
    AccountDemand, BegunStreams, CrashReport, EntryLoadReport, FromRelay, LoadChanges,
    RefusedContent, SegmentReport,
};

use super::account_usage::AccountUsage;
use crate::daemon::control::packet::LoadPart;

/// Interval of the rounds relative to that of the entries' reports. A report passes two rounds on its way to
/// the entries of another control host.
const ROUND_SHARE: f64 = 0.8;

/// Minimum interval of rounds per byte sent, which keeps a control host below 10 MB/s. In a larger fleet
/// what entries know becomes older instead.
const SEND_TIME_PER_BYTE: Duration = Duration::from_nanos(100);

/// What a round sends to all entries alike.
pub(super) struct Round<'a> {
    pub(super) segments: &'a SegmentReport,
}

/// The load of the entries that report here, and of those that report to other control hosts.
pub(in crate::daemon::control) struct LoadExchange {
    host: HostName,
    /// Entries that report here, with the number of their last report.
    subscribers: BTreeMap<LinkId, u64>,
    local: FleetLoad<LinkId>,
    /// Sums by control host, this one included.
    parts: FleetLoad<HostName>,
    decoders: BTreeMap<LinkId, LoadDecoder>,
    to_members: LoadFeed<LinkId>,
    to_entries: LoadFeed<LinkId>,
    /// Streams that began at the entries that report here, since the last round.
    streams: Vec<BegunStreams>,
    /// Entries in the part that was last sent to other control hosts.
    entries_sent: u32,
    usage: AccountUsage,
    /// Contents that crash upstreams. Kept here as well, so that they outlive the entries that saw the crashes.
    poison: PoisonRequests,
}

impl LoadExchange {
    pub(super) fn new(host: HostName) -> Self {
        Self {
            host,
            subscribers: BTreeMap::new(),
            local: FleetLoad::default(),
            parts: FleetLoad::default(),
            decoders: BTreeMap::new(),
            to_members: LoadFeed::default(),
            to_entries: LoadFeed::default(),
            streams: Vec::new(),
            entries_sent: 0,
            usage: AccountUsage::default(),
            poison: PoisonRequests::default(),
        }
    }

    /// Entries that report here.
    pub(super) fn subscribers(&self) -> impl Iterator<Item = LinkId> {
        self.subscribers.keys().copied()
    }

    /// Number of entries of the fleet.
    pub(super) fn entries(&self, now: Duration) -> u32 {
        self.parts.entries(now)
    }

    /// Interval at which entries report to this host.
    pub(super) fn period(&self) -> Duration {
        let subscribers = u32::try_from(self.subscribers.len()).unwrap_or(u32::MAX);
        reporting_period(subscribers)
    }

    /// Records a report of an entry that has selected this host.
    pub(super) fn record(
        &mut self,
        now: Duration,
        link: LinkId,
        number: u64,
        load: EntryLoadReport,
        streams: Vec<BegunStreams>,
    ) {
        self.subscribers.insert(link, number);
        self.local.record(now, link, 1, load);
        self.streams.extend(streams);
    }

    /// Removes an entry that reports to another host, or whose connection has closed.
    pub(in crate::daemon::control) fn remove_entry(&mut self, link: LinkId) {
        self.subscribers.remove(&link);
        self.to_entries.reset(link);
        self.local.remove(&link);
    }

    /// Records the sum of another control host's entries.
    pub(in crate::daemon::control) fn record_part(
        &mut self,
        now: Duration,
        link: LinkId,
        host: &HostName,
        entries: u32,
        changes: LoadChanges,
    ) {
        let decoder = self.decoders.entry(link).or_default();
        if let Some(load) = decoder.apply(changes) {
            self.parts.record(now, host.clone(), entries, load);
        }
    }

    /// Removes a connection to another control host, and its part if that was the last one.
    pub(in crate::daemon::control) fn remove_member(
        &mut self,
        link: LinkId,
        host: &HostName,
        is_connected: bool,
    ) {
        self.decoders.remove(&link);
        if !is_connected {
            self.parts.remove(host);
        }
    }

    /// Sums the reports since the last round and sends the sum to the `members` by `send_part`, and that of
    /// all parts to the entries by `send`. Returns the time until the next round.
    pub(super) fn run_round(
        &mut self,
        now: Duration,
        round: &Round<'_>,
        members: &[LinkId],
        send_part: impl Fn(LinkId, LoadPart),
        send: impl Fn(LinkId, FromRelay),
    ) -> Duration {
        let mut local = self.local.take_totals(now);
        let entries = self.local.entries(now);
        let crashes = std::mem::take(&mut local.crashes);
        let mut sent = self.send_part(entries, &local, &crashes, members, send_part);
        self.parts.record(now, self.host.clone(), entries, local);
        let mut totals = self.parts.take_totals(now);
        self.add_refused(now, &mut totals);
        self.usage.record(totals.accounts.iter());
        let entries = self.parts.entries(now);
        let period = self.period();
        let subscribers = &self.subscribers;
        let receivers = subscribers.keys().copied();
        sent += self
            .to_entries
            .send(&totals, receivers, encode, |link, bytes| {
                let message = FromRelay::FleetLoad {
                    entries,
                    included: subscribers.get(&link).copied().unwrap_or(0),
                    period_ms: u32::try_from(period.as_millis()).unwrap_or(u32::MAX),
                    load: bytes.to_vec(),
                    segments: round.segments.clone(),
                };
                send(link, message);
            });
        let send_time = SEND_TIME_PER_BYTE * u32::try_from(sent).unwrap_or(u32::MAX);
        period.mul_f64(ROUND_SHARE).max(send_time)
    }

    /// The contents that are refused by what this host knows.
    pub(super) fn refused(&self, now: Duration) -> Vec<RefusedContent> {
        self.poison.refused(now)
    }

    /// Adds the contents that are refused by what this host knows, and what entries have missed of successes.
    fn add_refused(&mut self, now: Duration, totals: &mut EntryLoadReport) {
        self.poison.apply_remote(now, totals);
        let (_, cleared) = self.poison.report(now);
        totals.cleared.extend(cleared);
        totals.refused = self.refused(now);
    }

    /// Sends this host's part to the other control hosts, unless it has no entries. Returns the bytes sent.
    fn send_part(
        &mut self,
        entries: u32,
        local: &EntryLoadReport,
        crashes: &CrashReport,
        members: &[LinkId],
        send: impl Fn(LinkId, LoadPart),
    ) -> usize {
        let had_entries = std::mem::replace(&mut self.entries_sent, entries) > 0;
        let streams = std::mem::take(&mut self.streams);
        if entries == 0 && !had_entries {
            return 0;
        }
        let members = members.iter().copied();
        self.to_members.send(local, members, encode, |link, bytes| {
            let part = LoadPart {
                entries,
                load: bytes.to_vec(),
                crashes: crashes.clone(),
                streams: streams.clone(),
            };
            send(link, part);
        })
    }

    /// The accounts that got less than they asked for over all entries, at intervals.
    pub(in crate::daemon::control) fn take_limited(&mut self, now: Duration) -> Vec<AccountDemand> {
        self.usage.take_limited(now)
    }
}

fn encode(changes: &LoadChanges) -> Vec<u8> {
    postcard::to_allocvec(changes).expect("load can be encoded")
}

#[cfg(test)]
#[path = "load_exchange_tests.rs"]
mod tests;
