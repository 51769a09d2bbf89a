//! Errors of the operators' commands.

use std::io;
use std::path::PathBuf;

use coltsfootnotch_fabric::{CredentialsError, KeysError};
use coltsfootnotch_manifest::Findings;
use coltsfootnotch_state::BodyDigest;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::MembersError;
use derive_more::{Display, Error, From};

use super::operator_client::OperatorError;

/// Class of a command's failure; each has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The command failed, or a file has findings.
    Failed,
    /// The control group refused the command and will refuse it again.
    Refused,
    /// There was no answer, or the change is not in force everywhere yet; a retry may succeed.
    Unanswered,
}

/// Why an operators' command failed.
#[derive(Debug, Display, Error, From)]
pub enum OpsError {
    /// A file can't be read.
    #[display("the file {} can't be read", path.display())]
    #[from(skip)]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file can't be written.
    #[display("the file {} can't be written", path.display())]
    #[from(skip)]
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file exists, and overwriting it destroys a key.
    #[display("the file {} exists", path.display())]
    #[from(skip)]
    Exists {
        /// The file.
        path: PathBuf,
    },
    /// Files have findings, which were printed.
    #[display("{count} findings")]
    #[from(skip)]
    Found {
        /// Number of findings.
        count: usize,
    },
    /// Settings or a manifest have findings.
    #[display("{_0}")]
    Findings(Findings),
    /// No control host was given.
    #[display("no control host is given")]
    #[from(skip)]
    NoControl,
    /// No folder with the operator's key was given.
    #[display("no folder with the operator's key is given")]
    #[from(skip)]
    NoKeys,
    /// The operator's key can't be used.
    #[display("the operator's key can't be used")]
    Credentials(CredentialsError),
    /// Keys can't be generated.
    #[display("the keys can't be generated")]
    Keys(KeysError),
    /// The request to the control group failed.
    #[display("the request to the control group failed")]
    Operator(OperatorError),
    /// A configuration with this number and other content was accepted before.
    #[display("configuration {number} was accepted before with the digest {accepted}")]
    #[from(skip)]
    Conflict {
        /// The number.
        number: u64,
        /// Digest of the configuration that was accepted.
        accepted: BodyDigest,
    },
    /// A configuration with a higher number was accepted.
    #[display("configuration {number} is stale: configuration {accepted} was accepted")]
    #[from(skip)]
    Stale {
        /// The number.
        number: u64,
        /// The number that was accepted.
        accepted: u64,
    },
    /// The control group refused the configuration.
    #[display("the control group refused the configuration: {reason}")]
    #[from(skip)]
    Refused {
        /// Why.
        reason: String,
    },
    /// The configuration is accepted, but some hosts do not have it in force.
    #[display(
        "configuration {number} is accepted, but not in force on {}",
        join_names(behind)
    )]
    #[from(skip)]
    Behind {
        /// The number.
        number: u64,
        /// The hosts that do not have it in force.
        behind: Vec<HostName>,
    },
    /// The control group refused an order to evacuate a failure domain.
    #[display("the control group refused the evacuation: {reason}")]
    #[from(skip)]
    EvacuationRefused {
        /// Why.
        reason: &'static str,
    },
    /// No log line names the request.
    #[display("no log line names the request {id}")]
    #[from(skip)]
    NoRequest {
        /// Request ID.
        id: String,
    },
    /// The catalogue has no event with this code.
    #[display("there is no event {code}")]
    #[from(skip)]
    NoEvent {
        /// Event code.
        code: String,
    },
    /// The output can't be written, or the runtime can't be started.
    #[display("an I/O operation failed")]
    Io(io::Error),
    /// A control host returned a status that can't be decoded.
    #[display("the status can't be decoded")]
    Status(serde_json::Error),
}

impl OpsError {
    /// Classifies the error.
    #[must_use]
    pub fn kind(&self) -> FailureKind {
        match self {
            Self::Conflict { .. }
            | Self::Stale { .. }
            | Self::Refused { .. }
            | Self::EvacuationRefused { .. } => FailureKind::Refused,
            Self::Behind { .. } => FailureKind::Unanswered,
            Self::Operator(e) if e.is_unanswered() => FailureKind::Unanswered,
            Self::Operator(OperatorError::Members(_)) => FailureKind::Refused,
            _ => FailureKind::Failed,
        }
    }

    /// Suggests what to do, where possible.
    #[must_use]
    pub fn help(&self) -> Option<&'static str> {
        match self {
            Self::Exists { .. } => Some("--force overwrites it; the existing key is lost"),
            Self::NoControl => Some("give --settings FILE of any host, or --control HOST=IP:PORT"),
            Self::NoKeys => Some("give --keys DIR with ca.pem, operator.pem and operator.key"),
            Self::Conflict { .. } => Some("give the changed manifest a higher number"),
            Self::Stale { .. } => {
                Some("configurations can't be rolled back: give the manifest a higher number")
            }
            Self::Behind { .. } => {
                Some("`coltsfootnotch status` shows what each host has in force")
            }
            Self::EvacuationRefused { .. } => {
                Some("`coltsfootnotch status` shows the failure domains and those evacuated")
            }
            Self::NoRequest { .. } => Some(
                "refusals and failures are always logged, answers one in 32; a host that was killed logged nothing",
            ),
            Self::NoEvent { .. } => Some("docs/EVENTS.md lists every event"),
            Self::Read { .. } => {
                Some("`coltsfootnotch keys` creates the missing files of a folder of keys")
            }
            Self::Operator(e) => operator_help(e),
            _ => None,
        }
    }
}

fn operator_help(error: &OperatorError) -> Option<&'static str> {
    match error {
        OperatorError::NoControl => {
            Some("check that the control hosts run and that the key belongs to their fleet")
        }
        OperatorError::Group(_) => Some("the command can be repeated: it takes effect once"),
        OperatorError::Members(MembersError::NotConnected { .. }) => {
            Some("start its control daemon with an empty data folder, then repeat the command")
        }
        OperatorError::Members(MembersError::Unknown) => {
            Some("`coltsfootnotch status` shows whether the change took effect")
        }
        _ => None,
    }
}

fn join_names(hosts: &[HostName]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
    names.join(", ")
}
