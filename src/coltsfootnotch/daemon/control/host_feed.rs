//! State of a host's connection: what it has reported and what was sent to it.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_membership::{
    Contact, Directory, RelaySums, ServedUpstream, SumsFeed, ViewFeed,
};
use coltsfootnotch_membership::{Heartbeat as MemberHeartbeat, Profile};
use coltsfootnotch_types::RegionName;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Heartbeat, HostRecord, ServedPool, ServiceBatch};

/// Time after which a configuration is resent to a host that doesn't report it in force.
const PUSH_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which the full directory is resent to a host that still reports none.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// State of a host's connection: what it has reported and what was sent to it.
#[derive(Debug)]
pub(super) struct HostFeed {
    /// The configuration that the host reported as in force in its last heartbeat.
    pub(super) config: u64,
    profile: Profile,
    profile_version: u32,
    view: ViewFeed,
    full_sent: Option<Duration>,
    sums: SumsFeed,
    /// Accounts whose totals the host watches, with the service that it has reported to any relay.
    watched: BTreeMap<AccountName, ServiceUnits>,
    /// Number of the last service batch recorded on this connection.
    last_batch: u64,
    sent_totals: BTreeMap<AccountName, ServiceUnits>,
    last_push: Option<(u64, Duration)>,
    /// Revision of the evacuated domains that were last sent.
    evacuations: u64,
}

impl HostFeed {
    /// Creates the feed on the first heartbeat of a connection.
    pub(super) fn new(heartbeat: &Heartbeat) -> Self {
        let record = &heartbeat.record;
        Self {
            config: record.config,
            profile: profile(record),
            profile_version: 1,
            view: view_of(record),
            full_sent: None,
            sums: SumsFeed::default(),
            watched: BTreeMap::new(),
            last_batch: 0,
            sent_totals: BTreeMap::new(),
            last_push: None,
            evacuations: 0,
        }
    }

    /// Records a heartbeat; returns it in the registry's form.
    pub(super) fn on_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> MemberHeartbeat {
        let record = &heartbeat.record;
        let is_overdue = self
            .full_sent
            .is_some_and(|at| now >= at + FULL_RETRY_AFTER);
        if heartbeat.directory == 0 && is_overdue {
            // The host has lost the directory that was sent to it.
            self.view = view_of(record);
            self.full_sent = None;
        }
        let profile = profile(record);
        if profile != self.profile {
            self.profile = profile;
            self.profile_version += 1;
        }
        self.config = record.config;
        member_heartbeat(heartbeat, self.profile_version, &self.profile)
    }

    /// Records the watched accounts and service of a batch; a repeated batch is ignored.
    pub(super) fn on_service_batch(&mut self, batch: &ServiceBatch) {
        if batch.seq <= self.last_batch {
            return;
        }
        self.last_batch = batch.seq;
        for (account, units) in &batch.served {
            if let Some(local) = self.watched.get_mut(account) {
                *local += *units;
            }
        }
        for (account, local) in &batch.watch {
            self.watched.insert(account.clone(), *local);
        }
        self.sums
            .subscribe(batch.watch.iter().map(|(account, _)| account));
        for account in &batch.unwatch {
            self.watched.remove(account);
            self.sent_totals.remove(account);
        }
        self.sums.unsubscribe(&batch.unwatch);
    }

    /// The directory changes since the last update for this host.
    pub(super) fn next_directory(
        &mut self,
        now: Duration,
        relay: Incarnation,
        directory: &Directory,
    ) -> Option<FromRelay> {
        let delta = self.view.next(now, directory)?;
        if delta.from == 0 {
            self.full_sent = Some(now);
        }
        Some(FromRelay::Directory {
            relay,
            version: delta.to,
            // Before the relay has settled, a missing host may not have sent a heartbeat yet.
            full: delta.from == 0 && delta.settled,
            changed: delta.upserts.iter().filter_map(record).collect(),
            removed: delta.removed,
        })
    }

    /// Changed totals of watched accounts, without the host's own service, which it counts itself.
    pub(super) fn next_totals(&mut self, sums: &RelaySums) -> Option<FromRelay> {
        let mut remote = Vec::new();
        for (account, total) in self.sums.next(sums) {
            let local = self.watched.get(&account).copied().unwrap_or_default();
            let others = ServiceUnits(total.0.saturating_sub(local.0));
            if self.sent_totals.insert(account.clone(), others) != Some(others) {
                remote.push((account, others));
            }
        }
        (!remote.is_empty()).then_some(FromRelay::Totals { remote })
    }

    /// Whether the evacuated domains of this revision have to be sent; records that they were.
    pub(super) fn needs_evacuations(&mut self, revision: u64) -> bool {
        std::mem::replace(&mut self.evacuations, revision) < revision
    }

    /// How to send the configuration `number` now, if it is due; records that it was sent.
    ///
    /// A host that doesn't report it in time may not have been able to apply the delta, and gets the full
    /// configuration.
    pub(super) fn next_config(&mut self, now: Duration, number: u64) -> Option<Push> {
        if self.config >= number {
            return None;
        }
        match self.last_push {
            Some((sent, at)) if sent == number && now < at + PUSH_RETRY_AFTER => None,
            Some((sent, _)) if sent == number => {
                self.last_push = Some((number, now));
                Some(Push::Full)
            }
            _ => {
                self.last_push = Some((number, now));
                Some(Push::DeltaFrom(self.config))
            }
        }
    }
}

/// How a configuration is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Push {
    /// As a delta from this number, or in full without such a delta.
    DeltaFrom(u64),
    /// In full.
    Full,
}

fn view_of(record: &HostRecord) -> ViewFeed {
    ViewFeed::new(record.host.clone(), record.domain.clone(), record.role)
}

/// Converts a wire heartbeat for the registry.
pub(super) fn member_heartbeat(
    heartbeat: &Heartbeat,
    profile_version: u32,
    profile: &Profile,
) -> MemberHeartbeat {
    let record = &heartbeat.record;
    MemberHeartbeat {
        host: record.host.clone(),
        incarnation: record.incarnation,
        started: heartbeat.started,
        attach: heartbeat.attach,
        seq: heartbeat.seq,
        config: record.config,
        leaving: record.leaving,
        profile_version,
        profile: Some(profile.clone()),
    }
}

/// The registry's profile of a host record.
pub(super) fn profile(record: &HostRecord) -> Profile {
    let domain = &record.domain;
    Profile {
        role: record.role,
        domain: domain.clone(),
        region: RegionName::new(domain.as_str()).expect("every name is a name of a region"),
        addresses: vec![record.address],
        serves: record.pools.iter().map(served).collect(),
    }
}

fn served(pool: &ServedPool) -> ServedUpstream {
    ServedUpstream {
        pool: pool.pool.clone(),
        upstream: UpstreamName::new(pool.pool.as_str())
            .expect("every name is a name of an upstream"),
        slots: pool.upstreams,
        leaving: pool.upstreams == 0,
    }
}

/// The wire record of a contact; none without an address.
fn record(contact: &Contact) -> Option<HostRecord> {
    Some(HostRecord {
        host: contact.host.clone(),
        incarnation: contact.incarnation,
        role: contact.role,
        domain: contact.domain.clone(),
        address: *contact.addresses.first()?,
        config: 0,
        pools: contact.serves.iter().map(served_pool).collect(),
        leaving: contact.leaving,
    })
}

fn served_pool(served: &ServedUpstream) -> ServedPool {
    ServedPool {
        pool: served.pool.clone(),
        upstreams: served.slots,
    }
}
