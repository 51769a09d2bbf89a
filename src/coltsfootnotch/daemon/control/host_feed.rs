//! What one host said over its connection, and what it was told.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_membership::{
    Contact, Directory, RelaySums, ServedUpstream, SumsFeed, ViewFeed,
};
use coltsfootnotch_membership::{Heartbeat as MemberHeartbeat, Profile};
use coltsfootnotch_types::RegionName;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Heartbeat, HostRecord, ServedPool, ServiceBatch};

/// Time after which a configuration is sent again to a host that does not report it in force.
const PUSH_AGAIN_AFTER: Duration = Duration::from_secs(2);

/// Time after which a host that still has no directory gets the whole again.
const WHOLE_AGAIN_AFTER: Duration = Duration::from_secs(2);

/// What one host said over its connection, and what it was told.
#[derive(Debug)]
pub(super) struct HostFeed {
    /// The configuration that the host has in force, by its last heartbeat.
    pub(super) config: u64,
    profile: Profile,
    profile_version: u32,
    view: ViewFeed,
    whole_sent: Option<Duration>,
    sums: SumsFeed,
    /// Accounts whose totals the host wants, with what it has reported of each to any relay.
    watched: BTreeMap<AccountName, ServiceUnits>,
    /// The last batch taken over this connection.
    reported: u64,
    told: BTreeMap<AccountName, ServiceUnits>,
    pushed: Option<(u64, Duration)>,
}

impl HostFeed {
    /// A feed for a host that has just sent its first heartbeat on this connection.
    pub(super) fn new(heartbeat: &Heartbeat) -> Self {
        let record = &heartbeat.record;
        Self {
            config: record.config,
            profile: profile(record),
            profile_version: 1,
            view: view_of(record),
            whole_sent: None,
            sums: SumsFeed::default(),
            watched: BTreeMap::new(),
            reported: 0,
            told: BTreeMap::new(),
            pushed: None,
        }
    }

    /// Takes a heartbeat; returns it as the registry wants it.
    pub(super) fn hear(&mut self, now: Duration, heartbeat: &Heartbeat) -> MemberHeartbeat {
        let record = &heartbeat.record;
        let long_sent = self
            .whole_sent
            .is_some_and(|at| now >= at + WHOLE_AGAIN_AFTER);
        if heartbeat.directory == 0 && long_sent {
            // The host has lost what it was told.
            self.view = view_of(record);
            self.whole_sent = None;
        }
        let profile = profile(record);
        if profile != self.profile {
            self.profile = profile;
            self.profile_version += 1;
        }
        self.config = record.config;
        member_heartbeat(heartbeat, self.profile_version, &self.profile)
    }

    /// Takes what a batch says of watched accounts, once.
    pub(super) fn report(&mut self, batch: &ServiceBatch) {
        if batch.seq <= self.reported {
            return;
        }
        self.reported = batch.seq;
        for (account, units) in &batch.served {
            if let Some(own) = self.watched.get_mut(account) {
                *own += *units;
            }
        }
        for (account, own) in &batch.watch {
            self.watched.insert(account.clone(), *own);
        }
        self.sums
            .subscribe(batch.watch.iter().map(|(account, _)| account));
        for account in &batch.unwatch {
            self.watched.remove(account);
            self.told.remove(account);
        }
        self.sums.unsubscribe(&batch.unwatch);
    }

    /// The hosts that are new, changed or gone for this host.
    pub(super) fn next_directory(
        &mut self,
        now: Duration,
        relay: Incarnation,
        directory: &Directory,
    ) -> Option<FromRelay> {
        let delta = self.view.next(now, directory)?;
        if delta.from == 0 {
            self.whole_sent = Some(now);
        }
        Some(FromRelay::Directory {
            relay,
            version: delta.to,
            // Until the relay has settled a host missing here may only not have been heard yet.
            full: delta.from == 0 && delta.settled,
            changed: delta.upserts.iter().filter_map(record).collect(),
            gone: delta.removed,
        })
    }

    /// The totals of watched accounts that changed, without what the host itself reported: it counts
    /// its own service at once, and told the whole total it would count it twice.
    pub(super) fn next_totals(&mut self, sums: &RelaySums) -> Option<FromRelay> {
        let mut elsewhere = Vec::new();
        for (account, total) in self.sums.next(sums) {
            let own = self.watched.get(&account).copied().unwrap_or_default();
            let others = ServiceUnits(total.0.saturating_sub(own.0));
            if self.told.insert(account.clone(), others) != Some(others) {
                elsewhere.push((account, others));
            }
        }
        (!elsewhere.is_empty()).then_some(FromRelay::Totals { elsewhere })
    }

    /// How the configuration `number` is to be sent now, if it is; notes that it is.
    ///
    /// A host that does not report it in time could not use the delta, and gets the whole.
    pub(super) fn next_config(&mut self, now: Duration, number: u64) -> Option<Push> {
        if self.config >= number {
            return None;
        }
        match self.pushed {
            Some((sent, at)) if sent == number && now < at + PUSH_AGAIN_AFTER => None,
            Some((sent, _)) if sent == number => {
                self.pushed = Some((number, now));
                Some(Push::Whole)
            }
            _ => {
                self.pushed = Some((number, now));
                Some(Push::DeltaFrom(self.config))
            }
        }
    }
}

/// How a configuration is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Push {
    /// As a delta from this number, or whole where there is none.
    DeltaFrom(u64),
    /// Whole.
    Whole,
}

fn view_of(record: &HostRecord) -> ViewFeed {
    ViewFeed::new(record.host.clone(), record.domain.clone(), record.role)
}

/// A wire heartbeat as the registry wants it.
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

/// What a host says about itself, as the registry keeps it.
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

/// A contact as hosts are told it; none for one without an address.
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
