//! The settings of one daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootnotch_types::{DomainName, HostName, RegionName, Role};
use serde::{Deserialize, Serialize};

use crate::Findings;
use crate::schema::{SETTINGS_KEYS, Tree, read};

/// Longest accepted text; settings take a few KB.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// What one daemon is told when it starts; every value is explained in `docs/SETTINGS.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// What the daemon does on its host.
    pub role: Role,
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Addresses the daemon listens on.
    pub listen: Listen,
    /// The control group as it is when the fleet is first started.
    pub control: Vec<ControlHost>,
    /// Certificate files.
    pub keys: KeyFiles,
    /// Folder of the replicated log; always given for the role control.
    pub data: Option<PathBuf>,
    /// What is logged and where.
    pub log: Log,
    /// Bounds on what the daemon holds.
    pub limits: Limits,
    /// Most by which the clocks of two hosts run apart, in parts per million.
    pub clock_drift_ppm: u32,
    /// Time that requests in progress have to finish on a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
}

/// Addresses a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// UDP address for the other hosts of the fleet.
    pub fleet: SocketAddr,
    /// TCP address for callers; always given for the role entry.
    pub callers: Option<SocketAddr>,
    /// Loopback TCP address for announcements; always given for the role sidecar.
    pub announce: Option<SocketAddr>,
    /// TCP address of health, readiness and metrics.
    pub admin: SocketAddr,
}

/// One host of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlHost {
    /// Name of the host.
    pub host: HostName,
    /// Its fleet address as other hosts reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Certificate files (PEM).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyFiles {
    /// Certificate of the fleet's authority.
    pub ca: PathBuf,
    /// Certificate of this host.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// What is logged and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// File to append to; standard error without it.
    pub file: Option<PathBuf>,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Something failed that an operator must see to.
    #[display("error")]
    Error,
    /// Something failed that the fleet gets over by itself.
    #[display("warn")]
    Warn,
    /// A change of state that operators follow.
    #[display("info")]
    Info,
    /// Decisions one by one.
    #[display("debug")]
    Debug,
    /// Messages one by one.
    #[display("trace")]
    Trace,
}

/// Bounds on what callers and other hosts can make a daemon hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Callers connected at once.
    pub connections: usize,
    /// Request line and headers of one request, in bytes.
    pub header_bytes: usize,
    /// Body of one request, in bytes.
    pub body_bytes: usize,
    /// Bodies and answers held at once, in bytes.
    pub memory_bytes: u64,
    /// Requests that wait at once, over all accounts.
    pub queue_requests: usize,
    /// Time a caller has to send its whole request, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time in which a caller must take some bytes of its answer, in milliseconds.
    pub write_timeout_ms: u64,
    /// Upstreams that may be announced at once to one sidecar.
    pub upstreams: usize,
    /// Hosts of the fleet that are connected or known at once.
    pub hosts: usize,
}

impl Settings {
    /// Reads the settings in `text`; `file` names it in findings, and relative paths start at its
    /// folder.
    ///
    /// # Errors
    /// Returns every [`Finding`](crate::Finding) of the text, in the order of their places.
    ///
    /// ```
    /// use coltsfootnotch_manifest::Settings;
    /// let findings = Settings::parse("a.jsonc", "{ \"rol\": 1 }").unwrap_err();
    /// assert!(findings.to_string().contains("a.jsonc:1:3: unknown key \"rol\""));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut tree = read(file, text, MAX_TEXT_BYTES, SETTINGS_KEYS);
        check_role(&mut tree);
        tree.check_unique("control[].host", "control host");
        tree.check_unique("control[].address", "address");
        let settings: Self = tree.finish()?;
        Ok(settings.under(Path::new(file).parent().unwrap_or(Path::new(""))))
    }

    /// The time that requests in progress have to finish on a graceful shutdown.
    #[must_use]
    pub fn shutdown(&self) -> Duration {
        Duration::from_millis(self.shutdown_ms)
    }

    fn under(mut self, folder: &Path) -> Self {
        let resolve = |path: &mut PathBuf| *path = folder.join(&*path);
        resolve(&mut self.keys.ca);
        resolve(&mut self.keys.certificate);
        resolve(&mut self.keys.key);
        self.data.iter_mut().for_each(resolve);
        self.log.file.iter_mut().for_each(resolve);
        self
    }
}

impl Limits {
    /// The time a caller has to send its whole request.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }

    /// The time in which a caller must take some bytes of its answer.
    #[must_use]
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}

/// Keys that one role needs and the others do not use.
const ROLE_KEYS: [(&str, &str); 3] = [
    ("entry", "listen.callers"),
    ("sidecar", "listen.announce"),
    ("control", "data"),
];

/// A key that the role does not use is a finding: the operator expects an effect that never comes.
fn check_role(tree: &mut Tree<'_>) {
    let Some(role) = tree
        .value
        .get("role")
        .and_then(|role| role.as_str())
        .map(str::to_owned)
    else {
        return;
    };
    for (user, key) in ROLE_KEYS {
        if user == role && !tree.is_given(key) {
            let around = key.rsplit_once('.').map_or("", |(parent, _)| parent);
            let help = format!("docs/SETTINGS.md describes {key:?}");
            tree.add(
                around,
                format!("the role {role} needs the key {key:?}"),
                Some(help),
            );
        }
        if user != role && tree.is_given(key) {
            let help = format!("only the role {user} uses it; remove it");
            tree.add(
                key,
                format!("the role {role} does not use the key {key:?}"),
                Some(help),
            );
        }
    }
    if role == "control" {
        check_member(tree);
    }
}

/// A control host that is not in its own list would wait for a leader that never calls it.
fn check_member(tree: &mut Tree<'_>) {
    let hosts = tree.texts("control[].host");
    let Some(host) = tree
        .value
        .get("host")
        .and_then(|host| host.as_str())
        .map(str::to_owned)
    else {
        return;
    };
    if !hosts.is_empty() && !hosts.iter().any(|(_, listed)| *listed == host) {
        let help = "list every host of the control group, this one included".to_owned();
        tree.add(
            "control",
            format!("the control host {host:?} is not in the list"),
            Some(help),
        );
    }
}
