//! What starting any daemon needs and can fail with.

use std::net::SocketAddr;

use coltsfootnotch_fabric::{CredentialsError, EndpointError};
use coltsfootnotch_manifest::ControlHost;
use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error, From};

/// Where a control host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlAddress {
    /// The host.
    pub host: HostName,
    /// Its fleet address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

impl From<&ControlHost> for ControlAddress {
    fn from(host: &ControlHost) -> Self {
        Self {
            host: host.host.clone(),
            address: host.address,
            domain: host.domain.clone(),
        }
    }
}

/// Why a daemon can't start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The fleet endpoint can't be made.
    #[display("the fleet endpoint can't be started")]
    Endpoint(EndpointError),
    /// The credentials can't be used.
    #[display("the credentials can't be used")]
    Credentials(CredentialsError),
    /// A listener or thread can't be made.
    #[display("a listener or thread can't be started")]
    Io(std::io::Error),
    /// The thread of the daemon ended before it was ready.
    #[display("the daemon ended while it started")]
    #[from(skip)]
    Ended,
}
