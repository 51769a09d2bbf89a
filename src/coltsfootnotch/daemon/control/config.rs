//! Configuration of a control daemon.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use coltsfootnotch_consensus::CoreConfig;
use coltsfootnotch_consensus::storage::FaultInjector;
use coltsfootnotch_fabric::{Credentials, PeerLimits};
use coltsfootnotch_manifest::Settings;
use coltsfootnotch_membership::Timing;
use coltsfootnotch_types::prelude::*;

use super::ControlError;
use super::seeded::Seeds;
use crate::daemon::ControlAddress;

/// Longest log command in bytes: the largest manifest (4 MiB) and its metadata.
const MAX_COMMAND_BYTES: usize = 5 << 20;
/// Most bytes of proposals that are not committed yet.
const MAX_UNCOMMITTED_BYTES: usize = 4 * MAX_COMMAND_BYTES;
/// Log entries after which a snapshot is taken.
///
/// Bounds the entries that a restart replays, and how often the whole state is written.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Configuration of a control daemon.
pub struct ControlConfig {
    /// UDP address that the fleet endpoint binds.
    pub listen: SocketAddr,
    /// Address at which other hosts reach the endpoint if it differs from `listen`, as behind a proxy or
    /// NAT.
    pub advertised: Option<SocketAddr>,
    /// Certificate and key of this host.
    pub credentials: Credentials,
    /// Data folder with all persistent state.
    pub data: PathBuf,
    /// Members of the control group at the first start of the fleet, including this host.
    pub members: Vec<ControlAddress>,
    /// Whether the host has no disk. Such a host has no log, is never a member, and redirects to the
    /// control hosts that have one.
    pub diskless: bool,
    /// Seeds for the discovery of other control hosts, if `members` is empty.
    pub seeds: Option<Seeds>,
    /// Failure domains of the fleet, which operators may evacuate; if empty, those of all hosts in
    /// the directory, and any with `seeds`.
    pub domains: BTreeSet<DomainName>,
    /// Limits on what the hosts that connect make this one hold.
    pub peer_limits: PeerLimits,
    /// Timeouts and size limits of the replicated log.
    pub core: CoreConfig,
    /// Timeouts of the failure detection of hosts.
    pub timing: Timing,
    /// Whether ledger writes that arrive while one is in flight share one log entry.
    pub batch_ledger: bool,
    /// Injects faults into file operations of the log, for tests; without it, every operation
    /// proceeds.
    pub fault_injector: Option<FaultInjector>,
}

/// Log bytes after which a snapshot is taken on hosts that discover each other. Their disks and memory
/// are limited to some tens of megabytes; the log on disk stays within a few times this size.
const SEEDED_SNAPSHOT_BYTES: usize = 2 << 20;

impl ControlConfig {
    /// A configuration with the default timeouts and sizes.
    #[must_use]
    pub fn new(
        listen: SocketAddr,
        credentials: Credentials,
        data: impl Into<PathBuf>,
        members: Vec<ControlAddress>,
    ) -> Self {
        let core = CoreConfig {
            max_command_bytes: MAX_COMMAND_BYTES,
            max_uncommitted_bytes: MAX_UNCOMMITTED_BYTES,
            snapshot_entries: SNAPSHOT_ENTRIES,
            ..CoreConfig::default()
        };
        Self {
            listen,
            advertised: None,
            credentials,
            data: data.into(),
            members,
            diskless: false,
            seeds: None,
            domains: BTreeSet::new(),
            peer_limits: PeerLimits::default(),
            core,
            timing: Timing::DEFAULT,
            batch_ledger: true,
            fault_injector: None,
        }
    }

    /// A configuration for a host that discovers its peers by seeds; `data` is absent on a host without
    /// a disk.
    #[must_use]
    pub fn seeded(
        listen: SocketAddr,
        credentials: Credentials,
        data: Option<PathBuf>,
        seeds: Seeds,
    ) -> Self {
        let diskless = data.is_none();
        let mut cfg = Self::new(listen, credentials, data.unwrap_or_default(), Vec::new());
        cfg.diskless = diskless;
        cfg.core.snapshot_bytes = SEEDED_SNAPSHOT_BYTES;
        cfg.core.keep_bytes = SEEDED_SNAPSHOT_BYTES;
        cfg.core.promote_learners = false;
        cfg.seeds = Some(seeds);
        cfg
    }

    /// Builds the configuration from settings; reads the certificate files.
    ///
    /// # Errors
    /// Returns an error when a certificate file can't be read, or the settings are of another role.
    pub fn from_settings(settings: &Settings) -> Result<Self, ControlError> {
        let data = settings.data.clone().ok_or(ControlError::NoDataFolder)?;
        let ca = read(&settings.keys.ca)?;
        let certificate = read(&settings.keys.certificate)?;
        let key = read(&settings.keys.key)?;
        let credentials = Credentials::from_pem(&ca, &certificate, &key)?;
        let members = settings.control.iter().map(ControlAddress::from).collect();
        let mut cfg = Self::new(settings.listen.fleet, credentials, data, members);
        cfg.core.drift_per_mille = settings.clock_drift_ppm.div_ceil(1_000);
        Ok(cfg)
    }

    /// Address at which other hosts reach this one.
    pub(super) fn address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.listen)
    }

    /// The listed members without `me`.
    pub(super) fn peers(&self, me: &HostName) -> impl Iterator<Item = &ControlAddress> {
        self.members.iter().filter(move |m| m.host != *me)
    }
}

fn read(path: &Path) -> Result<String, ControlError> {
    fs::read_to_string(path).map_err(|source| ControlError::KeyFile {
        path: path.to_owned(),
        source,
    })
}
