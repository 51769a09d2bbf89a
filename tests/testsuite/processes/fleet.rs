//! Starts a fleet of processes in a temporary folder.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU8, Ordering};

use coltsfootnotch::daemon::ControlAddress;
use coltsfootnotch::ops::fleet_status::FleetStatus;
use coltsfootnotch::ops::keys::issue_for;
use coltsfootnotch::ops::operator_client::OperatorClient;
use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_fakes::{AnnounceConfig, EngineConfig, EngineHandle, OrderConfig, OrderHandle};
use coltsfootnotch_manifest::{KeyHash, Manifest, Settings};
use coltsfootnotch_state::{ConfigReply, Reply};
use coltsfootnotch_types::prelude::*;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::caller::{Caller, KEY};
use super::daemon::{Daemon, WAIT_TIMEOUT, wait_until};

/// First port; ports stay below the system's range for outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORTS_PER_HOST: u16 = 4;
const DOMAINS: [&str; 3] = ["colombo", "gampaha", "kalutara"];

static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other fleet uses, in this process or another, so that all its
/// ports are free.
pub(crate) fn unique_address() -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, number))
}

/// Hosts of a fleet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plan {
    pub(crate) entries: usize,
    /// Engines, each with its own sidecar.
    pub(crate) engines: Vec<EngineConfig>,
    /// Order services, each with its own sidecar.
    pub(crate) services: Vec<OrderConfig>,
}

/// A fleet of processes, its fake upstreams and an operator's client.
pub(crate) struct Fleet {
    pub(crate) controls: Vec<Daemon>,
    pub(crate) entries: Vec<Daemon>,
    /// Sidecars of the engines, then of the services.
    pub(crate) sidecars: Vec<Daemon>,
    pub(crate) engines: Vec<EngineHandle>,
    pub(crate) services: Vec<OrderHandle>,
    pub(crate) operator: OperatorClient,
    pub(crate) address: IpAddr,
    pub(crate) folder: TempDir,
    runtime: Runtime,
}

impl Fleet {
    /// Starts all processes, applies manifest 1 and waits until every entry serves every pool.
    pub(crate) fn start(plan: Plan) -> Self {
        Self::start_with_limits(plan, &json!({}))
    }

    /// The same with further limits in the settings of entries and sidecars.
    pub(crate) fn start_with_limits(plan: Plan, limits: &Value) -> Self {
        let address = unique_address();
        let folder = TempDir::new().expect("the folder is created");
        let writer = SettingsWriter {
            address,
            folder: folder.path(),
            limits,
        };
        let sidecars = plan.engines.len() + plan.services.len();
        let mut controls = writer.write_role(Role::Control, 3);
        let mut entries = writer.write_role(Role::Entry, plan.entries);
        let mut sidecars = writer.write_role(Role::Sidecar, sidecars);
        issue_for(&[folder.path().to_owned()], false, &mut Vec::new())
            .expect("the keys are issued");
        let all = controls.iter_mut().chain(&mut entries).chain(&mut sidecars);
        all.for_each(Daemon::start);
        let runtime = Runtime::new().expect("the runtime starts");
        let operator = operator(&runtime, folder.path(), &control_addresses(address));
        let mut fleet = Self {
            controls,
            entries,
            sidecars,
            engines: vec![],
            services: vec![],
            operator,
            address,
            folder,
            runtime,
        };
        fleet.start_upstreams(plan);
        assert!(fleet.apply(1), "manifest 1 is accepted");
        fleet.wait_ready();
        fleet
    }

    fn start_upstreams(&mut self, plan: Plan) {
        let engines = plan.engines.len();
        for (at, mut engine) in plan.engines.into_iter().enumerate() {
            engine.announce = Some(AnnounceConfig::new(announce_address(self.address, at)));
            self.engines
                .push(EngineHandle::start(engine).expect("the engine starts"));
        }
        for (at, mut service) in plan.services.into_iter().enumerate() {
            service.announce = Some(AnnounceConfig::new(announce_address(
                self.address,
                engines + at,
            )));
            self.services
                .push(OrderHandle::start(service).expect("the order service starts"));
        }
    }

    /// Waits until every running entry serves completions and rereads.
    pub(crate) fn wait_ready(&self) {
        for at in 0..self.entries.len() {
            if !self.entries[at].is_running() {
                continue;
            }
            let caller = self.caller(at);
            if !self.engines.is_empty() {
                wait_until("completions are served", || {
                    caller.complete("ready?", 1).0 == 200
                });
            }
            if !self.services.is_empty() {
                wait_until("rereads are served", || caller.reread("none").0 == 404);
            }
        }
    }

    /// Returns a caller of an entry.
    pub(crate) fn caller(&self, entry: usize) -> Caller {
        Caller::new(port_of(self.address, Role::Entry, entry, 1))
    }

    /// Whether the readiness probe of an entry succeeds.
    pub(crate) fn is_ready(&self, entry: usize) -> bool {
        self.probe(entry, "readyz")
    }

    /// Whether the health probe of an entry succeeds.
    pub(crate) fn is_healthy(&self, entry: usize) -> bool {
        self.probe(entry, "healthz")
    }

    fn probe(&self, entry: usize, page: &str) -> bool {
        let admin = port_of(self.address, Role::Entry, entry, 3);
        ureq::get(format!("http://{admin}/{page}")).call().is_ok()
    }

    /// Applies manifest `number`; returns whether it was accepted.
    pub(crate) fn apply(&self, number: u64) -> bool {
        apply(&self.operator, &manifest(number))
    }

    /// Returns the client of a second operator.
    pub(crate) fn another_operator(&self) -> OperatorClient {
        let control = control_addresses(self.address);
        operator(&self.runtime, self.folder.path(), &control)
    }

    /// Returns the status reported by each reachable control host.
    pub(crate) fn status(&self) -> Vec<FleetStatus> {
        let answers = self.operator.status_of_each().expect("the query is sent");
        let parse = |json: &String| serde_json::from_str(json).expect("the status is valid");
        answers.iter().map(parse).collect()
    }

    /// Waits for a control host that is leader according to itself and a follower; returns its
    /// index.
    pub(crate) fn leader(&self) -> usize {
        let mut leader = None;
        wait_until("a leader is known", || {
            let status = self.status();
            let is_leader = |s: &&FleetStatus| s.group.role == "leader";
            let candidate = status.iter().filter(is_leader).max_by_key(|s| s.group.term);
            leader = candidate.map(|s| s.answered_by.to_string());
            let is_follower = |s: &FleetStatus| {
                s.group.leader.as_ref().map(ToString::to_string) == leader
                    && s.group.role == "follower"
            };
            leader.is_some() && status.iter().any(is_follower)
        });
        let at = self
            .controls
            .iter()
            .position(|c| Some(&c.host) == leader.as_ref());
        at.expect("the leader is one of the hosts")
    }

    /// Waits until a control host responds and has applied configuration `number`.
    pub(crate) fn wait_caught_up(&self, control: usize, number: u64) {
        let host = &self.controls[control].host;
        wait_until("the control host has caught up", || {
            let status = self.status();
            let of_host = status.iter().find(|s| s.answered_by.as_str() == host);
            let configuration = of_host.and_then(|s| s.configuration.as_ref());
            configuration.is_some_and(|c| c.number >= number)
        });
    }

    /// Runs the operators' command with the settings of the first entry.
    pub(crate) fn run_command(&self, args: &[&str]) -> Output {
        let settings = self.folder.path().join("hosts/entry-1.jsonc");
        run_command(self.folder.path(), &settings, args)
    }

    /// Deletes the data folder of a stopped control host.
    pub(crate) fn delete_data(&self, control: usize) {
        let host = host_name(Role::Control, control);
        fs::remove_dir_all(self.folder.path().join("data").join(host))
            .expect("the folder is deleted");
    }

    /// Returns all daemons.
    pub(crate) fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        let hosts = self.controls.iter().chain(&self.entries);
        hosts.chain(&self.sidecars)
    }
}

/// Applies a manifest; returns whether it was accepted.
pub(crate) fn apply(operator: &OperatorClient, manifest: &Manifest) -> bool {
    let reply = operator.apply(manifest, WAIT_TIMEOUT);
    match reply.expect("the group replies") {
        Reply::Config(ConfigReply::Accepted { number, .. }) => number == manifest.number,
        Reply::Config(_) => false,
        other => panic!("unexpected reply: {other:?}"),
    }
}

/// Runs the operators' command in a folder.
pub(crate) fn run_command(folder: &Path, settings: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coltsfootnotch"))
        .current_dir(folder)
        .args(args)
        .arg("--settings")
        .arg(settings)
        .output()
        .expect("the command runs")
}

/// Returns the manifest of a fleet; manifests differ in their number only.
pub(crate) fn manifest(number: u64) -> Manifest {
    let text = json!({
        "number": number,
        "accounts": [{
            "name": "bistro",
            "key_hashes": [KeyHash::of_key(KEY).to_string()],
            "limits": { "queue": 500 },
        }],
        "models": [{ "name": "spec-llm", "deadline_ms": 60_000 }],
        "services": [{
            "name": "member-desk",
            "prefix": "/member-desk",
            "cost": 200,
            "deadline_ms": 20_000,
            "calls": [
                { "method": "POST", "path": "/orders", "repeatable": false },
                { "method": "GET", "path": "/orders/by-key/{key}", "repeatable": true },
            ],
            "reread": { "method": "GET", "path": "/orders/by-key/{key}" },
        }],
    });
    Manifest::parse("manifest", &text.to_string()).unwrap_or_else(|e| panic!("{e}"))
}

/// Writes the settings files of hosts.
struct SettingsWriter<'a> {
    address: IpAddr,
    folder: &'a Path,
    /// Further limits of entries and sidecars.
    limits: &'a Value,
}

impl SettingsWriter<'_> {
    fn write_role(&self, role: Role, count: usize) -> Vec<Daemon> {
        (0..count).map(|at| self.write(role, at)).collect()
    }

    fn write(&self, role: Role, at: usize) -> Daemon {
        let host = host_name(role, at);
        let hosts = self.folder.join("hosts");
        fs::create_dir_all(&hosts).expect("the folder is created");
        let file = hosts.join(format!("{host}.jsonc"));
        let settings = self.settings(role, at, &host);
        fs::write(&file, settings.to_string()).expect("the settings are written");
        Daemon::new(&host, file, self.folder)
    }

    fn settings(&self, role: Role, at: usize, host: &str) -> Value {
        let port = |of| port_of(self.address, role, at, of).to_string();
        let mut listen = json!({ "fleet": port(0), "admin": port(3) });
        let mut settings = json!({
            "role": role.to_string(),
            "host": host,
            "domain": DOMAINS[at % DOMAINS.len()],
            "region": "lk-west",
            "control": control_addresses(self.address).iter().map(control_json).collect::<Vec<_>>(),
            "keys": {
                "ca": "../keys/ca.pem",
                "certificate": format!("../keys/{host}.pem"),
                "key": format!("../keys/{host}.key"),
            },
        });
        match role {
            Role::Control => settings["data"] = json!(format!("../data/{host}")),
            Role::Entry => {
                listen["callers"] = json!(port(1));
                // The system accepts further bytes only once a third of its send buffer is free, so
                // a slow reader appears stalled for longer than it is.
                settings["limits"] = json!({ "write_timeout_ms": 60_000 });
            }
            Role::Sidecar => listen["announce"] = json!(port(2)),
            Role::Operator => panic!("an operator has no daemon"),
        }
        settings["listen"] = listen;
        if role != Role::Control {
            for (name, limit) in self.limits.as_object().into_iter().flatten() {
                settings["limits"][name] = limit.clone();
            }
        }
        settings
    }
}

fn host_name(role: Role, at: usize) -> String {
    format!("{role}-{}", at + 1)
}

pub(crate) fn port_of(address: IpAddr, role: Role, at: usize, of: u16) -> SocketAddr {
    let first = match role {
        Role::Control => 0,
        Role::Entry => 100,
        _ => 200,
    };
    let at = u16::try_from(at).expect("the index is small");
    SocketAddr::new(address, FIRST_PORT + (first + at) * PORTS_PER_HOST + of)
}

fn announce_address(address: IpAddr, sidecar: usize) -> SocketAddr {
    port_of(address, Role::Sidecar, sidecar, 2)
}

fn control_addresses(address: IpAddr) -> Vec<ControlAddress> {
    let of = |at: usize| ControlAddress {
        host: HostName::new(host_name(Role::Control, at)).expect("the host name is valid"),
        address: port_of(address, Role::Control, at, 0),
        domain: DomainName::new(DOMAINS[at]).expect("the domain name is valid"),
    };
    (0..3).map(of).collect()
}

fn control_json(control: &ControlAddress) -> Value {
    json!({
        "host": control.host.as_str(),
        "address": control.address.to_string(),
        "domain": control.domain.as_str(),
    })
}

/// Connects an operator's client with the operator's key in a folder.
pub(crate) fn operator(
    runtime: &Runtime,
    folder: &Path,
    control: &[ControlAddress],
) -> OperatorClient {
    let read =
        |name: &str| fs::read_to_string(folder.join("keys").join(name)).expect("the key is read");
    let credentials = Credentials::from_pem(
        &read("ca.pem"),
        &read("operator.pem"),
        &read("operator.key"),
    );
    let credentials = credentials.expect("the credentials are valid");
    OperatorClient::connect(runtime.handle(), &credentials, control, WAIT_TIMEOUT)
        .expect("the client connects")
}

/// Reads the settings in a file.
pub(crate) fn read_settings(file: &Path) -> Settings {
    let text = fs::read_to_string(file).expect("the settings are read");
    Settings::parse(&file.display().to_string(), &text).unwrap_or_else(|e| panic!("{e}"))
}
