//! What starting any daemon needs and can fail with.

use std::net::SocketAddr;
use std::sync::mpsc;

use coltsfootnotch_chart::ChartErrors;
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
    /// A state chart in the program is not valid.
    #[display("a state chart is not valid")]
    Charts(ChartErrors),
    /// A listener or thread can't be made.
    #[display("a listener or thread can't be started")]
    Io(std::io::Error),
    /// The thread of the daemon ended before it was ready.
    #[display("the daemon ended while it started")]
    #[from(skip)]
    Ended,
}

/// Tells whoever starts a daemon, once, that it runs or why it can't.
#[derive(Debug)]
pub struct Starter<T>(mpsc::Sender<Result<T, StartError>>);

impl<T> Starter<T> {
    /// A starter and where its word arrives.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<Result<T, StartError>>) {
        let (tx, rx) = mpsc::channel();
        (Self(tx), rx)
    }

    /// Says how the start went.
    pub fn tell(self, outcome: Result<T, StartError>) {
        // Whoever starts a daemon waits for this word; if it has gone, nobody asks.
        let _waiting = self.0.send(outcome);
    }
}
