//! The fleet as it runs, and the order in which it starts and stops.

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

/// Loopback, any port.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Time for a fleet to elect a leader, take its manifest and see its upstreams.
const START_PATIENCE: Duration = Duration::from_secs(30);
/// Time for requests in progress when the fleet stops.
const SHUTDOWN: Duration = Duration::from_secs(10);
/// Blocking calls at once over all sidecars; each request in progress takes a thread.
const BLOCKING_THREADS: usize = 4096;

/// Why a fleet can't run.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// Its keys can't be made.
    #[display("the fleet's keys can't be made")]
    Keys(KeysError),
    /// Its keys can't be used.
    #[display("the fleet's keys can't be used")]
    Credentials(CredentialsError),
    /// A control host can't start.
    #[display("a control host can't start")]
    Control(ControlError),
    /// Another host can't start.
    #[display("a host can't start")]
    Start(StartError),
    /// A port, folder or thread can't be had.
    #[display("a port, folder or thread can't be had")]
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
    #[display("the fleet was not ready in {} s", START_PATIENCE.as_secs())]
    #[from(skip)]
    NotReady,
}

/// A fleet that runs in this process.
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
    /// Returns a [`FleetError`] when a part can't start or the whole is not ready in time.
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

    /// Addresses for callers.
    #[must_use]
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryHandle::http_address).collect()
    }

    /// The stand-in engines.
    #[must_use]
    pub fn engines(&self) -> &[EngineHandle] {
        &self.engines
    }

    /// The stand-in order services.
    #[must_use]
    pub fn services(&self) -> &[OrderHandle] {
        &self.services
    }

    /// The manifest in force at the start.
    #[must_use]
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Hosts of the fleet.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Bytes of control messages that the hosts have sent each other so far.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes_by_role().total()
    }

    /// The same, apart for each role.
    #[must_use]
    pub fn control_bytes_by_role(&self) -> ControlBytes {
        let of = |traffic: Arc<Traffic>| traffic.sent();
        ControlBytes {
            control: self.controls.iter().map(|host| of(host.traffic())).sum(),
            entries: self.entries.iter().map(|host| of(host.traffic())).sum(),
            sidecars: self.sidecars.iter().map(|host| of(host.traffic())).sum(),
        }
    }

    /// A client with an operator's key.
    ///
    /// # Errors
    /// Returns an error when no control host answers.
    pub fn operator(&self) -> Result<OperatorClient, FleetError> {
        let host = HostName::new("operator").map_err(|_| FleetError::NotReady)?;
        let credentials = self.credentials(Role::Operator, &host)?;
        let runtime = self.runtime.handle();
        Ok(OperatorClient::connect(
            runtime,
            &credentials,
            &self.control_addresses,
            START_PATIENCE,
        )?)
    }

    /// Stops everything, gracefully, upstreams last.
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
            let _ended_with_the_fleet = control.join();
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
        for (number, known) in addresses.iter().enumerate() {
            let cx = self.cx(Role::Control, &known.host, plan.domain(number), rng);
            let credentials = self.credentials(Role::Control, &known.host)?;
            let data = self.data_of(&known.host);
            let cfg = ControlConfig::new(known.address, credentials, data, addresses.clone());
            self.controls.push(control::start(cx, cfg)?);
        }
        Ok(())
    }

    fn data_of(&self, host: &HostName) -> std::path::PathBuf {
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
                shutdown: SHUTDOWN,
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
        let announce = handle.announce();
        self.sidecars.push(handle);
        Ok(announce)
    }

    pub(super) fn sidecar(
        &self,
        plan: &FleetPlan,
        number: usize,
        announce: SocketAddr,
        rng: &mut impl Rng,
    ) -> Result<SidecarHandle, FleetError> {
        let host = host_name("sidecar", number)?;
        let cx = self.cx(Role::Sidecar, &host, plan.domain(number), rng);
        let cfg = SidecarConfig {
            fleet: ANY,
            announce,
            control: self.control_addresses.clone(),
            credentials: self.credentials(Role::Sidecar, &host)?,
            limits: self.limits.clone(),
            shutdown: SHUTDOWN,
            policy: plan.policy,
            drift: DriftBound::DEFAULT,
        };
        Ok(sidecar::start(cx, cfg)?)
    }

    fn apply_manifest(&self) -> Result<(), FleetError> {
        let operator = self.operator()?;
        match operator.apply(&self.manifest, START_PATIENCE)? {
            Reply::Config(ConfigReply::Accepted { .. }) => Ok(()),
            other => Err(FleetError::Refused(format!("{other:?}"))),
        }
    }

    /// Waits until every entry has the configuration and is connected to the sidecars it is to know.
    fn wait_ready(&self, plan: &FleetPlan) -> Result<(), FleetError> {
        let until = Instant::now() + START_PATIENCE;
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
        while Instant::now() < until {
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

/// The bounds of settings that state none.
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

/// Control hosts must know each other's addresses before they start: free ports are looked for.
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
