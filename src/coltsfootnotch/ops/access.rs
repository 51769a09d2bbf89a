//! How a command reaches the control group: addresses and an operator's key.

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

/// A control host as an operator names it: `HOST=IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlArg {
    /// The host.
    pub host: HostName,
    /// Its fleet address.
    pub address: SocketAddr,
}

/// The text is not `HOST=IP:PORT`.
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

/// Where the control group is, and the key that opens it.
#[derive(Debug, Clone)]
pub struct Access {
    /// Settings of any host of the fleet: its `control`, and the folder of its `keys.ca`.
    pub settings: Option<PathBuf>,
    /// Control hosts; they go before those of the settings.
    pub control: Vec<ControlArg>,
    /// Folder with `ca.pem`, `operator.pem` and `operator.key`; goes before that of the settings.
    pub keys: Option<PathBuf>,
    /// Whether the fleet has no keys of its own and takes any; its network is the boundary then.
    pub without_keys: bool,
    /// How long to wait for the control group.
    pub timeout: Duration,
}

/// A connection, and the runtime that carries it.
pub(super) struct Connected {
    pub(super) client: OperatorClient,
    runtime: Option<Runtime>,
}

impl Drop for Connected {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Access {
    /// Connects to the control group with an operator's key.
    pub(super) fn connect(&self) -> Result<Connected, OpsError> {
        let settings = self.settings.as_deref().map(read_settings).transpose()?;
        let control = self.control_addresses(settings.as_ref())?;
        let credentials = self.credentials(settings.as_ref())?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let client =
            OperatorClient::connect(runtime.handle(), &credentials, &control, self.timeout)?;
        Ok(Connected {
            client,
            runtime: Some(runtime),
        })
    }

    fn control_addresses(
        &self,
        settings: Option<&Settings>,
    ) -> Result<Vec<ControlAddress>, OpsError> {
        if !self.control.is_empty() {
            return Ok(self.control.iter().map(to_address).collect());
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
        let of_settings = settings.and_then(|settings| settings.keys.ca.parent());
        let folder = self.keys.as_deref().or(of_settings);
        let folder = folder.ok_or(OpsError::NoKeys)?;
        let ca = read(&folder.join(format!("{CA}.pem")))?;
        let certificate = read(&folder.join(format!("{OPERATOR}.pem")))?;
        let key = read(&folder.join(format!("{OPERATOR}.key")))?;
        Ok(Credentials::from_pem(&ca, &certificate, &key)?)
    }
}

/// The failure domain of a control host plays no part for an operator.
fn to_address(arg: &ControlArg) -> ControlAddress {
    let domain = DomainName::new("unknown").expect("a valid name");
    ControlAddress {
        host: arg.host.clone(),
        address: arg.address,
        domain,
    }
}

/// Reads a file.
pub(super) fn read(path: &Path) -> Result<String, OpsError> {
    let path = path.to_owned();
    std::fs::read_to_string(&path).map_err(|source| OpsError::Read { path, source })
}

/// Reads a settings file.
pub(super) fn read_settings(path: &Path) -> Result<Settings, OpsError> {
    let text = read(path)?;
    Ok(Settings::parse(&path.display().to_string(), &text)?)
}
