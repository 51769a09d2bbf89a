//! Why an operators' command does not do what it was asked.

use std::io;
use std::path::PathBuf;

use coltsfootnotch_fabric::{CredentialsError, KeysError};
use coltsfootnotch_manifest::Findings;
use coltsfootnotch_state::BodyDigest;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::MembersError;
use derive_more::{Display, Error, From};

use super::operator_client::OperatorError;

/// What a program that runs a command can tell apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// It failed, or a text has findings.
    Failed,
    /// The group refused it; the same command will be refused again.
    Refused,
    /// Nobody answered, or the change is not everywhere yet; the same command may succeed later.
    Unanswered,
}

/// Why an operators' command does not do what it was asked.
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
    /// A key would be lost.
    #[display("the file {} exists", path.display())]
    #[from(skip)]
    Exists {
        /// The file.
        path: PathBuf,
    },
    /// Texts have findings; they were printed.
    #[display("{count} findings")]
    #[from(skip)]
    Found {
        /// How many.
        count: usize,
    },
    /// A text that is needed has findings.
    #[display("{_0}")]
    Findings(Findings),
    /// Nothing says where the control hosts are.
    #[display("no control host is known")]
    #[from(skip)]
    NoControl,
    /// Nothing says where the operator's key is.
    #[display("no folder with an operator's key is known")]
    #[from(skip)]
    NoKeys,
    /// The operator's key can't be used.
    #[display("the operator's key can't be used")]
    Credentials(CredentialsError),
    /// Keys can't be made.
    #[display("the keys can't be made")]
    Keys(KeysError),
    /// The control group did not do it.
    #[display("the control group did not do it")]
    Operator(OperatorError),
    /// The number was accepted with other content.
    #[display("configuration {number} was accepted before with the digest {accepted}")]
    #[from(skip)]
    Conflict {
        /// The number.
        number: u64,
        /// Digest of what was accepted under it.
        accepted: BodyDigest,
    },
    /// A higher number was accepted.
    #[display("configuration {number} is stale: configuration {accepted} was accepted")]
    #[from(skip)]
    Stale {
        /// The number.
        number: u64,
        /// The number that was accepted.
        accepted: u64,
    },
    /// The group refused the body.
    #[display("the control group refused the configuration: {reason}")]
    #[from(skip)]
    Refused {
        /// Why.
        reason: String,
    },
    /// The configuration is durable, but some hosts do not have it in force.
    #[display(
        "configuration {number} is accepted, but not in force on {}",
        list(behind)
    )]
    #[from(skip)]
    Behind {
        /// The number.
        number: u64,
        /// The hosts that do not have it.
        behind: Vec<HostName>,
    },
    /// No log names the request.
    #[display("no line is about the request {id}")]
    #[from(skip)]
    NoRequest {
        /// What was asked for.
        id: String,
    },
    /// No event has that number.
    #[display("there is no event {code}")]
    #[from(skip)]
    NoEvent {
        /// What was asked for.
        code: String,
    },
    /// The output or a thread failed.
    #[display("the system refused")]
    Io(io::Error),
    /// A control host answered with what is no status.
    #[display("the status can't be read")]
    Status(serde_json::Error),
}

impl OpsError {
    /// What a program can tell apart.
    #[must_use]
    pub fn kind(&self) -> FailureKind {
        match self {
            Self::Conflict { .. } | Self::Stale { .. } | Self::Refused { .. } => {
                FailureKind::Refused
            }
            Self::Behind { .. } => FailureKind::Unanswered,
            Self::Operator(e) if e.is_unanswered() => FailureKind::Unanswered,
            Self::Operator(OperatorError::Members(_)) => FailureKind::Refused,
            _ => FailureKind::Failed,
        }
    }

    /// What to do about it, where that can be said.
    #[must_use]
    pub fn help(&self) -> Option<&'static str> {
        match self {
            Self::Exists { .. } => {
                Some("--force makes a new one; the key that stands there is lost")
            }
            Self::NoControl => Some("give --settings FILE of any host, or --control HOST=IP:PORT"),
            Self::NoKeys => Some("give --keys DIR with ca.pem, operator.pem and operator.key"),
            Self::Conflict { .. } => Some("give the changed manifest a higher number"),
            Self::Stale { .. } => Some("a configuration never goes back: give a higher number"),
            Self::Behind { .. } => {
                Some("`coltsfootnotch status` shows what each host has in force")
            }
            Self::NoRequest { .. } => Some(
                "refusals and failures have a line each, answers one in 32; a host that was killed wrote none",
            ),
            Self::NoEvent { .. } => Some("docs/EVENTS.md lists every event"),
            Self::Read { .. } => {
                Some("`coltsfootnotch keys` makes what is missing in a folder of keys")
            }
            Self::Operator(e) => operator_help(e),
            _ => None,
        }
    }
}

fn operator_help(error: &OperatorError) -> Option<&'static str> {
    match error {
        OperatorError::NoControl => {
            Some("look whether the control hosts run and whether the key is of their fleet")
        }
        OperatorError::Group(_) => {
            Some("the same command may be given again: it takes effect once")
        }
        OperatorError::Members(MembersError::NotConnected { .. }) => {
            Some("start its control daemon with an empty data folder, then ask again")
        }
        OperatorError::Members(MembersError::Unknown) => {
            Some("`coltsfootnotch status` shows whether the change took effect")
        }
        _ => None,
    }
}

fn list(hosts: &[HostName]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
    names.join(", ")
}
