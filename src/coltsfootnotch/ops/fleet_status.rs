//! State of the fleet, as reported by control hosts to operators.

use std::collections::BTreeMap;

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Status report of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The control host that answered.
    pub answered_by: HostName,
    /// Its membership in the control group.
    pub group: MemberStatus,
    /// The configuration that it has applied.
    pub configuration: Option<ConfigStatus>,
    /// Its evacuated failure domains.
    #[serde(default)]
    pub evacuated: Vec<DomainName>,
    /// The hosts of the fleet.
    pub hosts: Vec<HostStatus>,
    /// The pools that sidecars serve.
    pub pools: Vec<PoolStatus>,
    /// The client accounts.
    pub accounts: Vec<AccountStatus>,
    /// Records of calls that may not be repeated.
    pub ledger: LedgerStatus,
}

/// A member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Host name.
    pub host: HostName,
    /// Its role in the group.
    pub role: String,
    /// Its current term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<HostName>,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Index of the last entry that it has applied.
    pub applied: u64,
    /// Index of the last entry of its log.
    pub last: u64,
    /// Index of the last entry in its snapshot.
    pub snapshot: u64,
    /// Voting members.
    pub voters: Vec<HostName>,
    /// Members that do not vote yet.
    pub learners: Vec<HostName>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// Hosts that do not have it in force.
    pub behind: Vec<HostName>,
}

/// A host of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub host: HostName,
    /// Identifies the run of its process.
    pub incarnation: String,
    /// Whether it is `present`, `leaving` or `gone`.
    pub presence: String,
    /// Number of the configuration that it has in force.
    pub config: u64,
    /// Its role.
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
    /// Number of its upstreams.
    pub upstreams: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Its name.
    pub account: AccountName,
    /// Service received from the whole fleet, in service units.
    pub service: u64,
}

/// Ledger of calls that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerStatus {
    /// Number of accounts with records.
    pub accounts: usize,
    /// Number of records.
    pub records: u64,
    /// Number of records whose outcome is not known yet.
    pub open: u64,
}

/// The number of the configuration in force on each live host.
///
/// A host never reverts to an earlier configuration, so the highest number that a control host
/// reports is the current one.
#[must_use]
pub fn config_by_host(statuses: &[FleetStatus]) -> BTreeMap<HostName, u64> {
    let mut newest = BTreeMap::new();
    let hosts = statuses.iter().flat_map(|status| &status.hosts);
    for host in hosts.filter(|host| host.presence != "gone") {
        let number = newest.entry(host.host.clone()).or_insert(host.config);
        *number = host.config.max(*number);
    }
    newest
}

/// The most recent status: the leader's, or else that of the member that has applied the most.
#[must_use]
pub fn most_recent(statuses: &[FleetStatus]) -> Option<&FleetStatus> {
    let is_leader =
        |status: &&FleetStatus| status.group.leader.as_ref() == Some(&status.answered_by);
    let applied = |status: &&FleetStatus| status.group.applied;
    let leader = statuses.iter().filter(is_leader).max_by_key(applied);
    leader.or_else(|| statuses.iter().max_by_key(applied))
}
