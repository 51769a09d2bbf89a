//! `coltsfootnotchd`: starts a daemon from its settings file and waits until it stops.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_fabric::{Credentials, CredentialsError};
use coltsfootnotch_manifest::{Findings, Settings};
use coltsfootnotch_state::DriftBound;
use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error, From};
use rand::Rng;
use tokio::runtime::Handle;

use crate::core::{HostCx, HostIdentity};
use crate::daemon::control::{self, ControlConfig, ControlError, ControlHandle};
use crate::daemon::entry::{self, EntryConfig, EntryHandle};
use crate::daemon::sidecar::{self, SidecarConfig, SidecarHandle};
use crate::daemon::{ControlAddress, StartError, admin};
use crate::util::panic_log::log_panics;

/// Why a daemon can't start or had to stop.
#[derive(Debug, Display, Error, From)]
pub enum ServeError {
    /// A file can't be read.
    #[display("the file {} can't be read", path.display())]
    #[from(skip)]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings have findings.
    #[display("the settings are not valid")]
    Settings(Findings),
    /// The settings lack an address that the role needs.
    #[display("the settings have no {what} address")]
    #[from(skip)]
    NoAddress {
        /// Name of the address in the settings.
        what: &'static str,
    },
    /// The credentials can't be used.
    #[display("the credentials can't be used")]
    Credentials(CredentialsError),
    /// The control daemon can't start, or had to stop.
    #[display("the control daemon failed")]
    Control(ControlError),
    /// An entry or sidecar daemon can't start.
    #[display("the daemon can't start")]
    Start(StartError),
    /// The admin address can't be bound.
    #[display("the admin address {address} can't be bound")]
    #[from(skip)]
    Admin {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The operator role runs no daemon.
    #[display("the operator role runs no daemon")]
    #[from(skip)]
    NoDaemon,
    /// A thread of the daemon panicked.
    #[display("the daemon panicked; its log shows where")]
    #[from(skip)]
    Panicked,
}

/// Reads and parses the settings of a daemon.
///
/// # Errors
/// Returns an error when the file can't be read or has findings.
pub fn load_settings(path: &Path) -> Result<Settings, ServeError> {
    let text = read(path)?;
    Ok(Settings::parse(&path.display().to_string(), &text)?)
}

fn read(path: &Path) -> Result<String, ServeError> {
    let path = path.to_owned();
    std::fs::read_to_string(&path).map_err(|source| ServeError::Read { path, source })
}

/// A daemon of any role.
pub enum Daemon {
    /// A control daemon.
    Control(ControlHandle),
    /// An entry daemon.
    Entry(EntryHandle),
    /// A sidecar daemon.
    Sidecar(SidecarHandle),
}

impl Daemon {
    /// Starts the daemon that the settings describe.
    ///
    /// # Errors
    /// Returns a [`ServeError`] when a file can't be read or an address can't be bound.
    pub fn start(
        settings: &Settings,
        runtime: &Handle,
        rng: &mut impl Rng,
    ) -> Result<Self, ServeError> {
        let identity = HostIdentity {
            host: settings.host.clone(),
            role: settings.role,
            domain: settings.domain.clone(),
            incarnation: Incarnation(rng.random()),
        };
        let cx = HostCx::new(identity, runtime.clone());
        log_panics(&cx);
        match settings.role {
            Role::Control => start_control(&cx, settings),
            Role::Entry => start_entry(&cx, settings),
            Role::Sidecar => start_sidecar(&cx, settings),
            Role::Operator => Err(ServeError::NoDaemon),
        }
    }

    /// Returns a closure that starts a graceful shutdown.
    pub fn stopper(&self) -> Box<dyn Fn() + Send> {
        match self {
            Self::Control(handle) => Box::new(handle.stopper()),
            Self::Entry(handle) => Box::new(handle.stopper()),
            Self::Sidecar(handle) => Box::new(handle.stopper()),
        }
    }

    /// Waits until the daemon has stopped.
    ///
    /// # Errors
    /// Returns the error that made it stop.
    pub fn join(self) -> Result<(), ServeError> {
        match self {
            Self::Control(handle) => handle.join()?,
            Self::Entry(handle) => handle.join(),
            Self::Sidecar(handle) => handle.join(),
        }
        Ok(())
    }
}

fn start_control(cx: &HostCx, settings: &Settings) -> Result<Daemon, ServeError> {
    let cfg = ControlConfig::from_settings(settings)?;
    let handle = control::start(cx.clone(), cfg)?;
    serve_admin(cx, settings, handle.readiness())?;
    Ok(Daemon::Control(handle))
}

fn start_entry(cx: &HostCx, settings: &Settings) -> Result<Daemon, ServeError> {
    let cfg = EntryConfig {
        fleet_address: settings.listen.fleet,
        http_address: settings
            .listen
            .callers
            .ok_or(ServeError::NoAddress { what: "callers" })?,
        control: settings.control.iter().map(ControlAddress::from).collect(),
        credentials: credentials(settings)?,
        limits: settings.limits.clone(),
        shutdown: settings.shutdown_timeout(),
    };
    let handle = entry::start(cx.clone(), cfg)?;
    serve_admin(cx, settings, handle.readiness())?;
    Ok(Daemon::Entry(handle))
}

fn start_sidecar(cx: &HostCx, settings: &Settings) -> Result<Daemon, ServeError> {
    let cfg = SidecarConfig {
        fleet_address: settings.listen.fleet,
        announce_address: settings
            .listen
            .announce
            .ok_or(ServeError::NoAddress { what: "announce" })?,
        control: settings.control.iter().map(ControlAddress::from).collect(),
        credentials: credentials(settings)?,
        limits: settings.limits.clone(),
        shutdown: settings.shutdown_timeout(),
        policy: ChoicePolicy::Fair,
        drift: DriftBound::new(settings.clock_drift_ppm),
    };
    let handle = sidecar::start(cx.clone(), cfg)?;
    serve_admin(cx, settings, handle.readiness())?;
    Ok(Daemon::Sidecar(handle))
}

fn serve_admin(
    cx: &HostCx,
    settings: &Settings,
    ready: impl Fn() -> bool + Send + Sync + 'static,
) -> Result<(), ServeError> {
    let address = settings.listen.admin;
    let failed = |source| ServeError::Admin { address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    admin::spawn(cx, listener, ready).map_err(failed)?;
    Ok(())
}

fn credentials(settings: &Settings) -> Result<Credentials, ServeError> {
    let ca = read(&settings.keys.ca)?;
    let certificate = read(&settings.keys.certificate)?;
    let key = read(&settings.keys.key)?;
    Ok(Credentials::from_pem(&ca, &certificate, &key)?)
}
