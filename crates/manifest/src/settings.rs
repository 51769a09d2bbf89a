//! The settings of one daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootnotch_types::{DomainName, HostName, RegionName, Role};
use serde::{Deserialize, Serialize};

use crate::Findings;
use crate::schema::{Document, SETTINGS_KEYS, parse_and_validate};

/// Longest accepted text, in bytes; typical settings take a few KB.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// The settings of one daemon, read when it starts; `docs/SETTINGS.md` describes every value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Role of the daemon.
    pub role: Role,
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Addresses the daemon listens on.
    pub listen: Listen,
    /// The initial members of the control group.
    pub control: Vec<ControlHost>,
    /// Certificate files.
    pub keys: KeyFiles,
    /// Folder of the replicated log; always set for the role control.
    pub data: Option<PathBuf>,
    /// Level and destination of the log.
    pub log: Log,
    /// Resource limits.
    pub limits: Limits,
    /// Largest drift between the clocks of two hosts, in parts per million.
    pub clock_drift_ppm: u32,
    /// Time for running requests to finish on a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
}

/// Addresses a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// UDP address for the other hosts of the fleet.
    pub fleet: SocketAddr,
    /// TCP address for clients; always set for the role entry.
    pub callers: Option<SocketAddr>,
    /// Loopback TCP address for announcements; always set for the role sidecar.
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
    /// Certificate of the fleet's certificate authority.
    pub ca: PathBuf,
    /// Certificate of this host.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// Level and destination of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// File to append to; standard error if `None`.
    pub file: Option<PathBuf>,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// A failure that an operator must handle.
    #[display("error")]
    Error,
    /// A failure from which the fleet recovers by itself.
    #[display("warn")]
    Warn,
    /// A change of state.
    #[display("info")]
    Info,
    /// Individual decisions.
    #[display("debug")]
    Debug,
    /// Individual messages.
    #[display("trace")]
    Trace,
}

/// Limits on the resources that clients and other hosts can make a daemon use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most open client connections.
    pub connections: usize,
    /// Largest request line and headers of one request, in bytes.
    pub header_bytes: usize,
    /// Largest body of one request, in bytes.
    pub body_bytes: usize,
    /// Most memory for bodies and answers, in bytes.
    pub memory_bytes: u64,
    /// Most queued requests over all accounts.
    pub queue_requests: usize,
    /// Longest time for a client to send its whole request, in milliseconds.
    pub read_timeout_ms: u64,
    /// Longest time in which a client accepts no bytes of its answer, in milliseconds.
    pub write_timeout_ms: u64,
    /// Most upstreams announced to one sidecar.
    pub upstreams: usize,
    /// Most hosts of the fleet that the daemon tracks, connected or not.
    pub hosts: usize,
}

impl Settings {
    /// Parses and checks the settings in `text`; findings name it as `file`, and relative paths are
    /// resolved against its folder.
    ///
    /// # Errors
    /// Returns every [`Finding`](crate::Finding) of the text, ordered by position.
    ///
    /// ```
    /// use coltsfootnotch_manifest::Settings;
    /// let findings = Settings::parse("a.jsonc", "{ \"rol\": 1 }").unwrap_err();
    /// assert!(findings.to_string().contains("a.jsonc:1:3: unknown key \"rol\""));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut document = parse_and_validate(file, text, MAX_TEXT_BYTES, SETTINGS_KEYS);
        check_role_keys(&mut document);
        document.check_unique("control[].host", "control host");
        document.check_unique("control[].address", "address");
        let settings: Self = document.finish()?;
        Ok(settings.resolve_paths(Path::new(file).parent().unwrap_or(Path::new(""))))
    }

    /// Time for running requests to finish on a graceful shutdown.
    #[must_use]
    pub fn shutdown_timeout(&self) -> Duration {
        Duration::from_millis(self.shutdown_ms)
    }

    fn resolve_paths(mut self, folder: &Path) -> Self {
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
    /// Longest time for a client to send its whole request.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }

    /// Longest time in which a client accepts no bytes of its answer.
    #[must_use]
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }
}

/// Keys that one role requires and the others do not use.
const ROLE_KEYS: [(&str, &str); 3] = [
    ("entry", "listen.callers"),
    ("sidecar", "listen.announce"),
    ("control", "data"),
];

/// Reports keys that the role requires but lacks, and keys that are set without effect.
fn check_role_keys(document: &mut Document<'_>) {
    let Some(role) = document
        .value
        .get("role")
        .and_then(|role| role.as_str())
        .map(str::to_owned)
    else {
        return;
    };
    for (key_role, key) in ROLE_KEYS {
        if key_role == role && !document.is_present(key) {
            let parent = key.rsplit_once('.').map_or("", |(parent, _)| parent);
            let help = format!("docs/SETTINGS.md describes {key:?}");
            document.report(
                parent,
                format!("the role {role} needs the key {key:?}"),
                Some(help),
            );
        }
        if key_role != role && document.is_present(key) {
            let help = format!("only the role {key_role} uses it; remove it");
            document.report(
                key,
                format!("the role {role} does not use the key {key:?}"),
                Some(help),
            );
        }
    }
    if role == "control" {
        check_control_list(document);
    }
}

/// Checks that a control host is in its own list, without which it waits forever for a leader.
fn check_control_list(document: &mut Document<'_>) {
    let hosts = document.strings_at("control[].host");
    let Some(host) = document
        .value
        .get("host")
        .and_then(|host| host.as_str())
        .map(str::to_owned)
    else {
        return;
    };
    if !hosts.is_empty() && !hosts.iter().any(|(_, listed)| *listed == host) {
        let help = "list every host of the control group, this one included".to_owned();
        document.report(
            "control",
            format!("the control host {host:?} is not in the list"),
            Some(help),
        );
    }
}
