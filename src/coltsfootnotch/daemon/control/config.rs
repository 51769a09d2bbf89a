//! What a control daemon is told when it starts.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use coltsfootnotch_consensus::CoreConfig;
use coltsfootnotch_consensus::storage::FaultInjector;
use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_manifest::Settings;
use coltsfootnotch_membership::Timing;
use coltsfootnotch_types::prelude::*;

use super::ControlError;
use super::seeded::Seeds;
use crate::daemon::ControlAddress;

/// Longest command of the log in bytes: the largest manifest (4 MiB) and what describes it.
const MAX_COMMAND_BYTES: usize = 5 << 20;
/// Proposals that may wait for a majority, in bytes: a few of the longest.
const MAX_UNCOMMITTED_BYTES: usize = 4 * MAX_COMMAND_BYTES;
/// Entries of the log after which a snapshot replaces them.
///
/// A snapshot writes the whole state, so it must be rare beside the ledger's writes; a restart
/// replays at most this many entries, which takes well under a second.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// What a control daemon is told when it starts.
pub struct ControlConfig {
    /// UDP address that the fleet endpoint binds.
    pub listen: SocketAddr,
    /// Address under which other hosts reach the endpoint, where that is another: behind a proxy or an
    /// address translation.
    pub advertised: Option<SocketAddr>,
    /// Certificate and key of this host.
    pub credentials: Credentials,
    /// Data folder; the only state that outlives the process.
    pub data: PathBuf,
    /// The control group as it is when the fleet is first started, this host included.
    pub members: Vec<ControlAddress>,
    /// Whether the host has no disk: it then keeps no log, is never a member, and only says where the
    /// control hosts are that do.
    pub diskless: bool,
    /// Where to find the other control hosts, where `members` lists none.
    pub seeds: Option<Seeds>,
    /// Times and sizes of the replicated log.
    pub core: CoreConfig,
    /// Times of the detection of silence.
    pub timing: Timing,
    /// Whether writes of the ledger that come while one is in flight share one entry of the log.
    pub batch_ledger: bool,
    /// Decides about every file operation of the log, for tests of failing disks; all proceed
    /// without it.
    pub judge: Option<FaultInjector>,
}

/// Bytes of the log after which a snapshot replaces them, on hosts that find each other. Their disks
/// hold some tens of megabytes and their memory little more; the log on disk stays within a few times
/// this.
const SEEDED_SNAPSHOT_BYTES: usize = 2 << 20;

impl ControlConfig {
    /// A configuration with the usual times and sizes.
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
            core,
            timing: Timing::DEFAULT,
            batch_ledger: true,
            judge: None,
        }
    }

    /// The same for a host that finds the others by itself; without a data folder for one that has no
    /// disk.
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

    /// The configuration that settings ask for; reads the certificate files.
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

    /// Address under which other hosts reach this one.
    pub(super) fn address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.listen)
    }

    /// The other hosts of the group.
    pub(super) fn others(&self, me: &HostName) -> impl Iterator<Item = &ControlAddress> {
        self.members.iter().filter(move |m| m.host != *me)
    }
}

fn read(path: &Path) -> Result<String, ControlError> {
    fs::read_to_string(path).map_err(|source| ControlError::KeyFile {
        path: path.to_owned(),
        source,
    })
}
