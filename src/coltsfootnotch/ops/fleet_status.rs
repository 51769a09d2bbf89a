//! The state of the fleet as control hosts tell it to operators.

use std::collections::BTreeMap;

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What one control host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The control host that answered.
    pub answered_by: HostName,
    /// Its place in the control group.
    pub group: MemberStatus,
    /// The configuration that it has applied.
    pub configuration: Option<ConfigStatus>,
    /// The hosts that it knows.
    pub hosts: Vec<HostStatus>,
    /// The pools that sidecars serve.
    pub pools: Vec<PoolStatus>,
    /// The client accounts.
    pub accounts: Vec<AccountStatus>,
    /// Calls that may not be repeated.
    pub ledger: LedgerStatus,
}

/// A member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its host.
    pub host: HostName,
    /// What it is in the group.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader that it knows.
    pub leader: Option<HostName>,
    /// Last entry that is committed.
    pub commit: u64,
    /// Last entry that it has applied.
    pub applied: u64,
    /// Last entry of its log.
    pub last: u64,
    /// Last entry of its snapshot.
    pub snapshot: u64,
    /// Members that count.
    pub voters: Vec<HostName>,
    /// Members that do not count yet.
    pub learners: Vec<HostName>,
}

/// A configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// Hosts that do not have it in force.
    pub behind: Vec<HostName>,
}

/// A host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: String,
    /// `present`, `leaving` or `gone`.
    pub presence: String,
    /// Number of the configuration it has in force.
    pub config: u64,
    /// What it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Its failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainName>,
    /// Its fleet address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
}

/// A pool on one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The host of its sidecar.
    pub host: HostName,
    /// Upstreams there.
    pub upstreams: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Its name.
    pub account: AccountName,
    /// Service that it has received over the fleet, in service units.
    pub service: u64,
}

/// Calls that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerStatus {
    /// Accounts with records.
    pub accounts: usize,
    /// Records.
    pub records: u64,
    /// Records whose outcome is not known yet.
    pub open: u64,
}

/// Every live host and the newest configuration that any control host knows it to have in force.
///
/// A host never goes back to an earlier configuration, so the newest that anybody has seen holds.
#[must_use]
pub fn config_by_host(answers: &[FleetStatus]) -> BTreeMap<HostName, u64> {
    let mut newest = BTreeMap::new();
    let hosts = answers.iter().flat_map(|answer| &answer.hosts);
    for host in hosts.filter(|host| host.presence != "gone") {
        let known = newest.entry(host.host.clone()).or_insert(host.config);
        *known = host.config.max(*known);
    }
    newest
}

/// The answer to show: the leader's, since it has applied the most.
#[must_use]
pub fn most_recent(answers: &[FleetStatus]) -> Option<&FleetStatus> {
    let leads = |answer: &&FleetStatus| answer.group.leader.as_ref() == Some(&answer.answered_by);
    let newest = |answer: &&FleetStatus| answer.group.applied;
    let leader = answers.iter().filter(leads).max_by_key(newest);
    leader.or_else(|| answers.iter().max_by_key(newest))
}
