//! Addresses, errors and the start report that all daemons share.

use std::net::SocketAddr;
use std::sync::mpsc;

use coltsfootnotch_chart::ChartErrors;
use coltsfootnotch_fabric::{CredentialsError, EndpointError};
use coltsfootnotch_manifest::ControlHost;
use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error, From};

/// Name and location of a control host.
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

/// Error from starting a daemon.
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

/// Reports once, to the thread that starts a daemon, that it runs or why it can't start.
#[derive(Debug)]
pub struct StartReporter<T>(mpsc::Sender<Result<T, StartError>>);

impl<T> StartReporter<T> {
    /// Creates a reporter and the receiver of its report.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<Result<T, StartError>>) {
        let (tx, rx) = mpsc::channel();
        (Self(tx), rx)
    }

    /// Reports the outcome of the start.
    pub fn report(self, outcome: Result<T, StartError>) {
        // A dropped receiver means that the starting thread no longer waits for the outcome.
        let _result = self.0.send(outcome);
    }
}
