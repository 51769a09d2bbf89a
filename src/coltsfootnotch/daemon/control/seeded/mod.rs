//! A control host that discovers its peers from a few seed addresses.
//!
//! Each host dials the seeds of its settings and every control host that its peers are connected to. One
//! of the seeds bootstraps the group once ([`bootstrap`]); after that the leader adds and replaces members
//! automatically ([`members`]). Forwarding entries and upstreams connect directly, without sidecars.

mod account_usage;
pub mod bootstrap;
mod call;
mod connectivity;
mod discovery;
mod entries;
mod handlers;
mod load_exchange;
pub mod members;
mod service_versions;
mod upstreams;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::registry::{StoredVersions, UpstreamRegistry};
use coltsfootnotch_forward::retry::{CrashEvidence, RetryRecords};
use coltsfootnotch_forward::streams::StreamOrigins;
use coltsfootnotch_types::{DomainName, HostName, Incarnation};
use coltsfootnotch_wire::{
    BegunStreams, CrashReport, EntryLoadReport, FromRelay, RetryHistory, UpstreamKeepAlive,
};
use serde::{Deserialize, Serialize};

use self::bootstrap::SeededBootstrap;
pub(super) use self::call::Calls;
pub use self::call::{Call, CallReply};
pub use self::connectivity::Connectivity;
pub use self::discovery::Discovery;
pub(super) use self::entries::{ConnectedEntries, ConnectedEntry, HandoverPoint};
use self::load_exchange::LoadExchange;
use self::service_versions::ServiceVersions;

/// Settings for the discovery of control hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds {
    /// Fleet addresses of some control hosts; may include the host's own.
    pub addresses: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time. False for a host that joins later or has lost
    /// its disk, which must never bootstrap a group.
    pub first_start: bool,
}

/// Discovery state of a control host, sent with its hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeededHello {
    /// Its fleet address.
    pub address: SocketAddr,
    /// Whether its settings are for the first start of the fleet.
    pub first_start: bool,
    /// The seeds of its settings, sorted.
    pub seeds: Vec<SocketAddr>,
    /// Whether it has a log, which needs a disk.
    pub has_log: bool,
    /// Fleet addresses of the control hosts connected to it.
    pub connected: Vec<SocketAddr>,
}

/// State of a control host that uses discovery.
pub(super) struct Seeded {
    pub(super) discovery: Discovery,
    pub(super) bootstrap: SeededBootstrap,
    pub(super) entries: ConnectedEntries,
    pub(super) load: LoadExchange,
    pub(super) calls: Calls,
    pub(super) registry: UpstreamRegistry,
    versions: ServiceVersions,
    /// Prompt segments that crash upstreams.
    pub(super) evidence: CrashEvidence,
    /// Retries that entries have reported, for those that restart.
    pub(super) retries: RetryRecords,
    /// Where the streams of all entries began.
    pub(super) origins: StreamOrigins,
    /// Time of the next log line on the missing group.
    pub(super) no_group_log_due: Duration,
    pub(super) connectivity: Connectivity,
    pub(super) load_due: Duration,
    /// Keep-alives of unchanged upstreams since the last broadcast to entries.
    pub(super) alive: Vec<UpstreamKeepAlive>,
    pub(super) alive_due: Duration,
}

impl Seeded {
    pub(super) fn new(
        now: Duration,
        host: HostName,
        discovery: Discovery,
        is_first_start: bool,
        stored_versions: StoredVersions,
    ) -> Self {
        let mut registry = UpstreamRegistry::default();
        for (service, version) in &stored_versions.versions {
            registry.record_past_version(now, service, version);
        }
        Self {
            discovery,
            bootstrap: SeededBootstrap::default(),
            entries: ConnectedEntries::default(),
            load: LoadExchange::new(host),
            calls: Calls::default(),
            registry,
            versions: ServiceVersions::new(now, is_first_start, stored_versions),
            evidence: CrashEvidence::default(),
            retries: RetryRecords::new(now, is_first_start),
            origins: StreamOrigins::default(),
            no_group_log_due: now + handlers::NO_GROUP_LOG_INTERVAL,
            connectivity: Connectivity::default(),
            load_due: now,
            alive: Vec::new(),
            alive_due: now,
        }
    }

    /// Handles a load report of an entry.
    pub(super) fn on_load(
        &mut self,
        now: Duration,
        link: LinkId,
        number: u64,
        load: EntryLoadReport,
        streams: Vec<BegunStreams>,
    ) {
        self.record_crashes(now, &load.crashes);
        self.origins.record_report(now, &streams);
        self.load.record(now, link, number, load, streams);
    }

    /// Handles connections of entries that report to another control host, or have ended since their host runs
    /// another process. The sum without them is sent at once: entries keep the greatest number of entries for
    /// a window, which would count these twice with their next reports elsewhere.
    pub(super) fn remove_entries(&mut self, now: Duration, links: &[LinkId]) {
        for link in links {
            self.load.remove_entry(*link);
            self.load_due = now;
        }
    }

    /// What an entry that connects has to know of the retries of its host's earlier processes, and of the requests
    /// that are refused by all; none if this control host has no log, so that no entry reports to it.
    pub(super) fn retry_history(
        &mut self,
        now: Duration,
        host: &HostName,
        run: Incarnation,
    ) -> Option<RetryHistory> {
        if !self.discovery.has_log() {
            return None;
        }
        let control_hosts = u32::try_from(self.discovery.log_hosts().len()).unwrap_or(u32::MAX);
        let retries = &mut self.retries;
        Some(RetryHistory {
            refused: self.load.refused(now),
            ..retries.history(now, host.as_str(), run.0, control_hosts)
        })
    }

    /// Records what entries know of segments that crash upstreams.
    pub(super) fn record_crashes(&mut self, now: Duration, crashes: &CrashReport) {
        let period = self.evidence_period();
        self.evidence.on_report(now, period, crashes);
    }

    /// Time within which all control hosts receive what an entry knows: that until its report, and until
    /// the round of the control host that it reports to.
    fn evidence_period(&self) -> Duration {
        self.load.period() * 2
    }

    /// Addresses of the control hosts that have a log, for forwarding entries.
    pub(super) fn control_hosts(&self, domain: &DomainName) -> FromRelay {
        FromRelay::ControlHosts {
            domain: domain.clone(),
            has_log: self.discovery.has_log(),
            addresses: self.discovery.log_hosts(),
        }
    }
}
