//! The state of the fleet as JSON, for operators.

use coltsfootnotch_consensus::Status as MemberStatus;
use coltsfootnotch_membership::{HostRecord, Presence};
use coltsfootnotch_types::prelude::*;
use serde::Serialize;

use super::daemon::ControlDaemon;
use super::seeded::ConnectedEntry;

#[derive(Serialize)]
struct Status<'a> {
    answered_by: &'a HostName,
    group: Group<'a>,
    configuration: Option<Configuration>,
    evacuated: Vec<&'a DomainName>,
    hosts: Vec<Host<'a>>,
    pools: Vec<Pool>,
    accounts: Vec<Account>,
    ledger: Ledger,
}

#[derive(Serialize)]
struct Group<'a> {
    host: &'a HostName,
    member: String,
    role: String,
    term: u64,
    leader: Option<&'a HostName>,
    commit: u64,
    applied: u64,
    last: u64,
    snapshot: u64,
    commands_since_start: u64,
    syncs: u64,
    open_requests: usize,
    voters: Vec<&'a HostName>,
    learners: Vec<&'a HostName>,
}

#[derive(Serialize)]
struct Configuration {
    number: u64,
    digest: String,
    behind: Vec<HostName>,
}

#[derive(Serialize)]
struct Host<'a> {
    host: &'a HostName,
    incarnation: String,
    presence: &'static str,
    config: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<Role>,
    #[serde(skip_serializing_if = "Option::is_none")]
    domain: Option<&'a DomainName>,
    #[serde(skip_serializing_if = "Option::is_none")]
    address: Option<String>,
}

#[derive(Serialize)]
struct Pool {
    pool: PoolName,
    host: HostName,
    upstreams: u32,
}

#[derive(Serialize)]
struct Account {
    account: AccountName,
    service: u64,
}

#[derive(Serialize)]
struct Ledger {
    accounts: usize,
    records: u64,
    open: u64,
}

/// The state of the fleet as seen by this control host.
pub(super) fn to_json(daemon: &ControlDaemon) -> String {
    let member = daemon.replica.core().status();
    let machine = daemon.replica.machine();
    let configuration = machine.config().in_force().map(|accepted| Configuration {
        number: accepted.number,
        digest: accepted.digest.to_string(),
        behind: behind(daemon, accepted.number),
    });
    let usages: Vec<_> = machine.ledger().usages().collect();
    let ledger = Ledger {
        accounts: usages.len(),
        records: usages.iter().map(|(_, u)| u64::from(u.records)).sum(),
        open: usages.iter().map(|(_, u)| u64::from(u.open)).sum(),
    };
    let status = Status {
        answered_by: &daemon.host.identity.host,
        group: group(daemon, &member),
        configuration,
        evacuated: machine.evacuations().domains().iter().collect(),
        hosts: hosts(daemon),
        pools: daemon.relay.directory.hosts().flat_map(pools).collect(),
        accounts: accounts(daemon),
        ledger,
    };
    serde_json::to_string(&status).expect("all map keys of a status are strings")
}

fn group<'a>(daemon: &ControlDaemon, member: &'a MemberStatus) -> Group<'a> {
    Group {
        host: &member.member.host,
        member: member.member.to_string(),
        role: member.role.to_string(),
        term: member.term.0,
        leader: member.leader.as_ref().map(|m| &m.host),
        commit: member.commit.0,
        applied: member.applied.0,
        last: member.last.0,
        snapshot: member.snapshot.0,
        commands_since_start: daemon.replica.commands_applied(),
        syncs: daemon.syncs,
        open_requests: daemon.requests.open_count(),
        voters: member.members.voters.iter().map(|m| &m.host).collect(),
        learners: member.members.learners.keys().map(|m| &m.host).collect(),
    }
}

/// Live hosts that do not have the configuration `number` in force.
fn behind(daemon: &ControlDaemon, number: u64) -> Vec<HostName> {
    let mut behind = daemon.relay.directory.hosts_behind(number);
    behind.retain(|host| !daemon.is_lost_relay(host));
    behind
}

fn hosts(daemon: &ControlDaemon) -> Vec<Host<'_>> {
    let records = daemon.relay.directory.hosts();
    let records = records.map(|record| host(record, daemon.is_lost_relay(&record.host)));
    let seeded = daemon.seeded.iter();
    let entries = seeded.flat_map(|s| s.entries.all()).map(entry);
    records.chain(entries).collect()
}

/// A connected forwarding entry. It has no directory record; its data is self-reported.
fn entry(entry: &ConnectedEntry) -> Host<'_> {
    Host {
        host: &entry.host,
        incarnation: String::new(),
        presence: "present",
        config: entry.config,
        role: Some(Role::Entry),
        domain: None,
        address: None,
    }
}

fn host(record: &HostRecord, is_lost: bool) -> Host<'_> {
    let profile = record.profile.as_deref();
    Host {
        host: &record.host,
        incarnation: record.incarnation.to_string(),
        presence: match record.presence {
            Presence::Gone => "gone",
            _ if is_lost => "gone",
            Presence::Present => "present",
            Presence::Leaving => "leaving",
        },
        config: record.config,
        role: profile.map(|p| p.role),
        domain: profile.map(|p| &p.domain),
        address: profile.and_then(|p| p.addresses.first().map(ToString::to_string)),
    }
}

fn pools(record: &HostRecord) -> Vec<Pool> {
    let profile = record.profile.as_deref();
    let serves = profile.map(|p| &p.serves).into_iter().flatten();
    serves
        .map(|served| Pool {
            pool: served.pool.clone(),
            host: record.host.clone(),
            upstreams: served.slots,
        })
        .collect()
}

/// The accounts of the configuration in force, with their service in the whole fleet.
fn accounts(daemon: &ControlDaemon) -> Vec<Account> {
    let Some(manifest) = daemon.config.manifest() else {
        return Vec::new();
    };
    let service = |name: &AccountName| daemon.relay.sums.total(name).0;
    let accounts = manifest.accounts.iter().map(|account| Account {
        account: account.name.clone(),
        service: service(&account.name),
    });
    accounts.collect()
}
