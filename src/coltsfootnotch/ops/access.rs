//! How a command connects to the control group: addresses and the operator's credentials.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use coltsfootnotch_fabric::{Credentials, PeerId};
use coltsfootnotch_manifest::Settings;
use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error};
use tokio::runtime::Runtime;

use super::error::OpsError;
use super::keys::{CA, OPERATOR};
use super::operator_client::OperatorClient;
use crate::daemon::ControlAddress;

/// Command-line argument that names a control host: `HOST=IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlArg {
    /// Host name.
    pub host: HostName,
    /// Fleet address of the host.
    pub address: SocketAddr,
}

/// The argument is not of the form `HOST=IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("expected HOST=IP:PORT, such as control-colombo=10.0.0.7:7000")]
pub struct ControlArgError;

impl FromStr for ControlArg {
    type Err = ControlArgError;

    /// ```
    /// use coltsfootnotch::ops::access::ControlArg;
    /// let control: ControlArg = "control-colombo=10.0.0.7:7000".parse()?;
    /// assert_eq!(control.host.as_str(), "control-colombo");
    /// assert!("10.0.0.7:7000".parse::<ControlArg>().is_err());
    /// # Ok::<(), coltsfootnotch::ops::access::ControlArgError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (host, address) = text.split_once('=').ok_or(ControlArgError)?;
        Ok(Self {
            host: HostName::new(host).map_err(|_| ControlArgError)?,
            address: address.parse().map_err(|_| ControlArgError)?,
        })
    }
}

/// Options for connecting to the control group.
#[derive(Debug, Clone)]
pub struct Access {
    /// Settings of any host of the fleet, which give the control hosts and the folder of the keys.
    pub settings: Option<PathBuf>,
    /// Control hosts; they override those of the settings.
    pub control: Vec<ControlArg>,
    /// Folder with `ca.pem`, `operator.pem` and `operator.key`; overrides that of the settings.
    pub keys: Option<PathBuf>,
    /// Whether the fleet has no authority and accepts any key; its network is then the only
    /// boundary.
    pub without_keys: bool,
    /// Maximum time to wait for the control group.
    pub timeout: Duration,
}

/// A connected client and its runtime.
pub(super) struct Connection {
    pub(super) client: OperatorClient,
    runtime: Option<Runtime>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Access {
    /// Connects to the control group with the operator's credentials.
    pub(super) fn connect(&self) -> Result<Connection, OpsError> {
        let settings = self.settings.as_deref().map(read_settings).transpose()?;
        let control = self.control_addresses(settings.as_ref())?;
        let credentials = self.credentials(settings.as_ref())?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let client =
            OperatorClient::connect(runtime.handle(), &credentials, &control, self.timeout)?;
        Ok(Connection {
            client,
            runtime: Some(runtime),
        })
    }

    fn control_addresses(
        &self,
        settings: Option<&Settings>,
    ) -> Result<Vec<ControlAddress>, OpsError> {
        if !self.control.is_empty() {
            return Ok(self.control.iter().map(to_control_address).collect());
        }
        let settings = settings.ok_or(OpsError::NoControl)?;
        Ok(settings.control.iter().map(ControlAddress::from).collect())
    }

    fn credentials(&self, settings: Option<&Settings>) -> Result<Credentials, OpsError> {
        if self.without_keys {
            let peer = PeerId {
                role: Role::Operator,
                host: HostName::new(OPERATOR).expect("a valid name"),
            };
            return Ok(Credentials::without_authority(&peer)?);
        }
        let settings_folder = settings.and_then(|settings| settings.keys.ca.parent());
        let folder = self.keys.as_deref().or(settings_folder);
        let folder = folder.ok_or(OpsError::NoKeys)?;
        let ca = read(&folder.join(format!("{CA}.pem")))?;
        let certificate = read(&folder.join(format!("{OPERATOR}.pem")))?;
        let key = read(&folder.join(format!("{OPERATOR}.key")))?;
        Ok(Credentials::from_pem(&ca, &certificate, &key)?)
    }
}

/// Converts to an address with a placeholder domain, since operators don't use failure domains.
fn to_control_address(arg: &ControlArg) -> ControlAddress {
    let domain = DomainName::new("unknown").expect("a valid name");
    ControlAddress {
        host: arg.host.clone(),
        address: arg.address,
        domain,
    }
}

/// Reads a text file.
pub(super) fn read(path: &Path) -> Result<String, OpsError> {
    let path = path.to_owned();
    std::fs::read_to_string(&path).map_err(|source| OpsError::Read { path, source })
}

/// Reads and parses a settings file.
pub(super) fn read_settings(path: &Path) -> Result<Settings, OpsError> {
    let text = read(path)?;
    Ok(Settings::parse(&path.display().to_string(), &text)?)
}
