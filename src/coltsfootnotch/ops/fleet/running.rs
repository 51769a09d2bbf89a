//! A running fleet: starts and stops its hosts and upstreams.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch_fabric::{Authority, Credentials, CredentialsError, KeysError, PeerId, Traffic};
use coltsfootnotch_fakes::{AnnounceConfig, EngineHandle, OrderHandle};
use coltsfootnotch_manifest::{Findings, Limits, Manifest, Settings};
use coltsfootnotch_state::{ConfigReply, DriftBound, Reply};
use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error, From};
use rand::Rng;
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::{ControlBytes, FleetPlan};
use crate::core::{HostCx, HostIdentity};
use crate::daemon::control::{self, ControlConfig, ControlError, ControlHandle};
use crate::daemon::entry::{self, EntryConfig, EntryHandle};
use crate::daemon::sidecar::{self, SidecarConfig, SidecarHandle};
use crate::daemon::{ControlAddress, StartError};
use crate::ops::operator_client::{OperatorClient, OperatorError};

/// Any port on loopback.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Maximum time for a fleet to elect a leader, apply its manifest and connect its upstreams.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for requests in progress to complete when the fleet stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of blocking calls of all sidecars; each request in progress uses a thread.
const BLOCKING_THREADS: usize = 4096;

/// Why a fleet can't start or be operated.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// The keys can't be generated.
    #[display("the fleet's keys can't be generated")]
    Keys(KeysError),
    /// The keys can't be used.
    #[display("the fleet's keys can't be used")]
    Credentials(CredentialsError),
    /// A control host can't start.
    #[display("a control host can't start")]
    Control(ControlError),
    /// An entry or sidecar can't start.
    #[display("an entry or sidecar can't start")]
    Start(StartError),
    /// A socket, folder or thread can't be created.
    #[display("a socket, folder or thread can't be created")]
    Io(io::Error),
    /// The manifest has findings.
    #[display("the manifest has findings")]
    Manifest(Findings),
    /// The manifest can't be applied.
    #[display("the manifest can't be applied")]
    Operator(OperatorError),
    /// The manifest was refused.
    #[display("the manifest was refused: {_0}")]
    #[error(ignore)]
    #[from(skip)]
    Refused(String),
    /// The fleet was not ready in time.
    #[display("the fleet was not ready in {} s", START_TIMEOUT.as_secs())]
    #[from(skip)]
    NotReady,
}

/// A fleet running in this process.
pub struct Fleet {
    controls: Vec<ControlHandle>,
    entries: Vec<EntryHandle>,
    pub(super) sidecars: Vec<SidecarHandle>,
    engines: Vec<EngineHandle>,
    services: Vec<OrderHandle>,
    control_addresses: Vec<ControlAddress>,
    authority: Authority,
    manifest: Manifest,
    limits: Limits,
    hosts: usize,
    runtime: Runtime,
    _data: TempDir,
}

impl Fleet {
    /// Starts every host and upstream and waits until requests can be served.
    ///
    /// # Errors
    /// Returns a [`FleetError`] when a host can't start or the fleet is not ready in time.
    pub fn start(plan: &FleetPlan, rng: &mut impl Rng) -> Result<Self, FleetError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .max_blocking_threads(BLOCKING_THREADS)
            .build()?;
        let mut fleet = Self {
            controls: vec![],
            entries: vec![],
            sidecars: vec![],
            engines: vec![],
            services: vec![],
            control_addresses: control_addresses(plan)?,
            authority: Authority::generate()?,
            manifest: plan.manifest()?,
            limits: default_limits()?,
            hosts: plan.control + plan.entries + plan.engines.len() + plan.services.len(),
            runtime,
            _data: TempDir::new()?,
        };
        fleet.start_controls(plan, rng)?;
        fleet.start_entries(plan, rng)?;
        fleet.start_upstreams(plan, rng)?;
        fleet.apply_manifest()?;
        fleet.wait_ready(plan)?;
        Ok(fleet)
    }

    /// HTTP addresses of the entries.
    #[must_use]
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryHandle::http_address).collect()
    }

    /// The fake engines.
    #[must_use]
    pub fn engines(&self) -> &[EngineHandle] {
        &self.engines
    }

    /// The fake order services.
    #[must_use]
    pub fn services(&self) -> &[OrderHandle] {
        &self.services
    }

    /// The manifest that the fleet was started with.
    #[must_use]
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Number of hosts of the fleet.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Bytes of control messages that all hosts have sent.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes_by_role().total()
    }

    /// Bytes of control messages that the hosts of each role have sent.
    #[must_use]
    pub fn control_bytes_by_role(&self) -> ControlBytes {
        let sent = |traffic: Arc<Traffic>| traffic.sent();
        ControlBytes {
            control: self.controls.iter().map(|host| sent(host.traffic())).sum(),
            entries: self.entries.iter().map(|host| sent(host.traffic())).sum(),
            sidecars: self.sidecars.iter().map(|host| sent(host.traffic())).sum(),
        }
    }

    /// Connects a client with an operator's credentials.
    ///
    /// # Errors
    /// Returns an error when no control host is connected in time.
    pub fn operator(&self) -> Result<OperatorClient, FleetError> {
        let host = HostName::new("operator").map_err(|_| FleetError::NotReady)?;
        let credentials = self.credentials(Role::Operator, &host)?;
        let runtime = self.runtime.handle();
        Ok(OperatorClient::connect(
            runtime,
            &credentials,
            &self.control_addresses,
            START_TIMEOUT,
        )?)
    }

    /// Stops the fleet gracefully: entries, sidecars, upstreams, then control hosts.
    pub fn stop(self) {
        self.entries.iter().for_each(EntryHandle::stop);
        self.entries.into_iter().for_each(EntryHandle::join);
        self.sidecars.iter().for_each(SidecarHandle::stop);
        self.sidecars.into_iter().for_each(SidecarHandle::join);
        for mut engine in self.engines {
            engine.stop();
        }
        for mut service in self.services {
            service.stop();
        }
        self.controls.iter().for_each(ControlHandle::stop);
        for control in self.controls {
            let _outcome = control.join();
        }
        self.runtime.shutdown_background();
    }

    fn credentials(&self, role: Role, host: &HostName) -> Result<Credentials, FleetError> {
        let issued = self.authority.issue(&PeerId {
            role,
            host: host.clone(),
        })?;
        let authority = self.authority.certificate();
        Ok(Credentials::from_pem(
            authority,
            &issued.certificate,
            &issued.key,
        )?)
    }

    fn cx(&self, role: Role, host: &HostName, domain: DomainName, rng: &mut impl Rng) -> HostCx {
        let incarnation = Incarnation(rng.random());
        let identity = HostIdentity {
            host: host.clone(),
            role,
            domain,
            incarnation,
        };
        HostCx::new(identity, self.runtime.handle().clone())
    }

    fn start_controls(&mut self, plan: &FleetPlan, rng: &mut impl Rng) -> Result<(), FleetError> {
        let addresses = self.control_addresses.clone();
        for (number, control) in addresses.iter().enumerate() {
            let cx = self.cx(Role::Control, &control.host, plan.domain(number), rng);
            let credentials = self.credentials(Role::Control, &control.host)?;
            let data = self.data_folder(&control.host);
            let cfg = ControlConfig::new(control.address, credentials, data, addresses.clone());
            self.controls.push(control::start(cx, cfg)?);
        }
        Ok(())
    }

    fn data_folder(&self, host: &HostName) -> std::path::PathBuf {
        let data: &Path = self._data.path();
        data.join(host.as_str())
    }

    fn start_entries(&mut self, plan: &FleetPlan, rng: &mut impl Rng) -> Result<(), FleetError> {
        for number in 0..plan.entries {
            let host = host_name("entry", number)?;
            let cx = self.cx(Role::Entry, &host, plan.domain(number), rng);
            let cfg = EntryConfig {
                fleet_address: ANY,
                http_address: ANY,
                control: self.control_addresses.clone(),
                credentials: self.credentials(Role::Entry, &host)?,
                limits: self.limits.clone(),
                shutdown: SHUTDOWN_TIMEOUT,
            };
            self.entries.push(entry::start(cx, cfg)?);
        }
        Ok(())
    }

    fn start_upstreams(&mut self, plan: &FleetPlan, rng: &mut impl Rng) -> Result<(), FleetError> {
        for (number, engine) in plan.engines.iter().enumerate() {
            let mut engine = engine.clone();
            let announce = self.start_sidecar(plan, number, rng)?;
            engine.announce = Some(AnnounceConfig::new(announce));
            self.engines.push(EngineHandle::start(engine)?);
        }
        for (number, service) in plan.services.iter().enumerate() {
            let mut service = service.clone();
            let announce = self.start_sidecar(plan, plan.engines.len() + number, rng)?;
            service.announce = Some(AnnounceConfig::new(announce));
            self.services.push(OrderHandle::start(service)?);
        }
        Ok(())
    }

    fn start_sidecar(
        &mut self,
        plan: &FleetPlan,
        number: usize,
        rng: &mut impl Rng,
    ) -> Result<SocketAddr, FleetError> {
        let handle = self.sidecar(plan, number, ANY, rng)?;
        let announce_address = handle.announce_address();
        self.sidecars.push(handle);
        Ok(announce_address)
    }

    pub(super) fn sidecar(
        &self,
        plan: &FleetPlan,
        number: usize,
        announce_address: SocketAddr,
        rng: &mut impl Rng,
    ) -> Result<SidecarHandle, FleetError> {
        let host = host_name("sidecar", number)?;
        let cx = self.cx(Role::Sidecar, &host, plan.domain(number), rng);
        let cfg = SidecarConfig {
            fleet_address: ANY,
            announce_address,
            control: self.control_addresses.clone(),
            credentials: self.credentials(Role::Sidecar, &host)?,
            limits: self.limits.clone(),
            shutdown: SHUTDOWN_TIMEOUT,
            policy: plan.policy,
            drift: DriftBound::DEFAULT,
        };
        Ok(sidecar::start(cx, cfg)?)
    }

    fn apply_manifest(&self) -> Result<(), FleetError> {
        let operator = self.operator()?;
        match operator.apply(&self.manifest, START_TIMEOUT)? {
            Reply::Config(ConfigReply::Accepted { .. }) => Ok(()),
            other => Err(FleetError::Refused(format!("{other:?}"))),
        }
    }

    /// Waits until every entry has the configuration and is connected to its sidecars.
    fn wait_ready(&self, plan: &FleetPlan) -> Result<(), FleetError> {
        let deadline = Instant::now() + START_TIMEOUT;
        let model = self.manifest.models.first().map(|model| model.name.clone());
        let service = self
            .manifest
            .services
            .first()
            .map(|service| service.name.clone());
        let pools: Vec<PoolName> = [
            model.filter(|_| !self.engines.is_empty()),
            service.filter(|_| !self.services.is_empty()),
        ]
        .into_iter()
        .flatten()
        .collect();
        while Instant::now() < deadline {
            let ready = |(number, entry): (usize, &EntryHandle)| {
                let connected = entry.connected_sidecars() >= plan.contacts(number);
                (entry.readiness())() && entry.has_sidecars_for(&pools) && connected
            };
            if self.entries.iter().enumerate().all(ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(FleetError::NotReady)
    }
}

/// The default limits of settings.
fn default_limits() -> Result<Limits, Findings> {
    let text = r#"{
        "role": "entry", "host": "e", "domain": "d", "region": "r",
        "listen": { "fleet": "127.0.0.1:1", "admin": "127.0.0.1:2", "callers": "127.0.0.1:3" },
        "control": [{ "host": "c", "address": "127.0.0.1:4", "domain": "d" }],
        "keys": { "ca": "a", "certificate": "b", "key": "c" }
    }"#;
    Ok(Settings::parse("embedded-settings", text)?.limits)
}

fn host_name(role: &str, number: usize) -> Result<HostName, FleetError> {
    HostName::new(format!("{role}-{}", number + 1)).map_err(|_| FleetError::NotReady)
}

/// Picks free ports for the control hosts, which need each other's addresses to start.
fn control_addresses(plan: &FleetPlan) -> Result<Vec<ControlAddress>, FleetError> {
    let sockets: Vec<UdpSocket> = (0..plan.control)
        .map(|_| UdpSocket::bind(ANY))
        .collect::<io::Result<_>>()?;
    let with_number = sockets.iter().enumerate();
    with_number
        .map(|(number, socket)| {
            Ok(ControlAddress {
                host: host_name("control", number)?,
                address: socket.local_addr()?,
                domain: plan.domain(number),
            })
        })
        .collect()
}
