//! A fleet of processes in a folder of its own.

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
use super::daemon::{Daemon, PATIENCE, wait_until};

/// Ports are below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORTS_A_HOST: u16 = 4;
const DOMAINS: [&str; 3] = ["colombo", "gampaha", "kalutara"];

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// A loopback address that no other fleet uses, in this process or another: whatever its ports are,
/// nobody else has bound them.
pub(crate) fn own_address() -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, number))
}

/// How many hosts of each role; the manifest is small.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plan {
    pub(crate) entries: usize,
    /// Each with a sidecar of its own.
    pub(crate) engines: Vec<EngineConfig>,
    /// Each with a sidecar of its own.
    pub(crate) services: Vec<OrderConfig>,
}

/// A fleet of processes, its stand-in upstreams, and an operator's client.
pub(crate) struct Fleet {
    pub(crate) controls: Vec<Daemon>,
    pub(crate) entries: Vec<Daemon>,
    /// The sidecars of the engines, then those of the services.
    pub(crate) sidecars: Vec<Daemon>,
    pub(crate) engines: Vec<EngineHandle>,
    pub(crate) services: Vec<OrderHandle>,
    pub(crate) operator: OperatorClient,
    address: IpAddr,
    folder: TempDir,
    runtime: Runtime,
}

impl Fleet {
    /// Starts everything, applies manifest 1 and waits until every entry serves every pool.
    pub(crate) fn start(plan: Plan) -> Self {
        let address = own_address();
        let folder = TempDir::new().expect("a folder");
        let writer = Writer {
            address,
            folder: folder.path(),
        };
        let sidecars = plan.engines.len() + plan.services.len();
        let mut controls = writer.write_role(Role::Control, 3);
        let mut entries = writer.write_role(Role::Entry, plan.entries);
        let mut sidecars = writer.write_role(Role::Sidecar, sidecars);
        issue_for(&[folder.path().to_owned()], false, &mut Vec::new()).expect("keys");
        let all = controls.iter_mut().chain(&mut entries).chain(&mut sidecars);
        all.for_each(Daemon::start);
        let runtime = Runtime::new().expect("a runtime");
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
            engine.announce = Some(AnnounceConfig::new(announce(self.address, at)));
            self.engines
                .push(EngineHandle::start(engine).expect("an engine"));
        }
        for (at, mut service) in plan.services.into_iter().enumerate() {
            service.announce = Some(AnnounceConfig::new(announce(self.address, engines + at)));
            self.services
                .push(OrderHandle::start(service).expect("an order service"));
        }
    }

    /// Waits until every entry that runs answers a completion and a rereading.
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
                wait_until("rereadings are served", || caller.reread("none").0 == 404);
            }
        }
    }

    /// A caller at an entry.
    pub(crate) fn caller(&self, entry: usize) -> Caller {
        Caller::new(port_of(self.address, Role::Entry, entry, 1))
    }

    /// Whether the readiness probe of an entry says that it takes requests.
    pub(crate) fn is_ready(&self, entry: usize) -> bool {
        self.probe(entry, "readyz")
    }

    /// Whether the process of an entry answers.
    pub(crate) fn is_healthy(&self, entry: usize) -> bool {
        self.probe(entry, "healthz")
    }

    fn probe(&self, entry: usize, page: &str) -> bool {
        let admin = port_of(self.address, Role::Entry, entry, 3);
        ureq::get(format!("http://{admin}/{page}")).call().is_ok()
    }

    /// Applies manifest `number`; whether it was accepted.
    pub(crate) fn apply(&self, number: u64) -> bool {
        apply(&self.operator, &manifest(number))
    }

    /// A second operator, who works beside the first.
    pub(crate) fn another_operator(&self) -> OperatorClient {
        let control = control_addresses(self.address);
        operator(&self.runtime, self.folder.path(), &control)
    }

    /// What each control host that answers knows.
    pub(crate) fn status(&self) -> Vec<FleetStatus> {
        let answers = self
            .operator
            .status_of_each()
            .expect("the question is sent");
        let parse = |json: &String| serde_json::from_str(json).expect("a status");
        answers.iter().map(parse).collect()
    }

    /// The control host that leads by its own word and that of a second one.
    pub(crate) fn leader(&self) -> usize {
        let mut leader = None;
        wait_until("a leader is known", || {
            let status = self.status();
            let leads = |s: &&FleetStatus| s.group.role == "leader";
            let found = status.iter().filter(leads).max_by_key(|s| s.group.term);
            leader = found.map(|s| s.answered_by.to_string());
            let follows = |s: &FleetStatus| {
                s.group.leader.as_ref().map(ToString::to_string) == leader
                    && s.group.role == "follower"
            };
            leader.is_some() && status.iter().any(follows)
        });
        let at = self
            .controls
            .iter()
            .position(|c| Some(&c.host) == leader.as_ref());
        at.expect("the leader is one of the hosts")
    }

    /// Waits until a control host answers and has applied configuration `number`.
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
    pub(crate) fn command(&self, args: &[&str]) -> Output {
        let settings = self.folder.path().join("hosts/entry-1.jsonc");
        command(self.folder.path(), &settings, args)
    }

    /// Loses the data folder of a control host, which does not run.
    pub(crate) fn lose_data(&self, control: usize) {
        let host = host_name(Role::Control, control);
        fs::remove_dir_all(self.folder.path().join("data").join(host)).expect("the folder goes");
    }

    /// Every daemon.
    pub(crate) fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        let hosts = self.controls.iter().chain(&self.entries);
        hosts.chain(&self.sidecars)
    }
}

/// Applies a manifest; whether it was accepted.
pub(crate) fn apply(operator: &OperatorClient, manifest: &Manifest) -> bool {
    let reply = operator.apply(manifest, PATIENCE);
    match reply.expect("an answer") {
        Reply::Config(ConfigReply::Accepted { number, .. }) => number == manifest.number,
        Reply::Config(_) => false,
        other => panic!("an unexpected reply: {other:?}"),
    }
}

/// Runs the operators' command.
pub(crate) fn command(folder: &Path, settings: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coltsfootnotch"))
        .current_dir(folder)
        .args(args)
        .arg("--settings")
        .arg(settings)
        .output()
        .expect("the command runs")
}

/// The manifest of a fleet, which differs by its number alone.
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

/// Writes the settings of hosts.
struct Writer<'a> {
    address: IpAddr,
    folder: &'a Path,
}

impl Writer<'_> {
    fn write_role(&self, role: Role, count: usize) -> Vec<Daemon> {
        (0..count).map(|at| self.write(role, at)).collect()
    }

    fn write(&self, role: Role, at: usize) -> Daemon {
        let host = host_name(role, at);
        let hosts = self.folder.join("hosts");
        fs::create_dir_all(&hosts).expect("a folder");
        let file = hosts.join(format!("{host}.jsonc"));
        let settings = self.settings(role, at, &host);
        fs::write(&file, settings.to_string()).expect("a settings file");
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
                // The system takes more bytes from a writer only once a third of its buffer is free:
                // a slow reader looks stalled for longer than it is.
                settings["limits"] = json!({ "write_timeout_ms": 60_000 });
            }
            Role::Sidecar => listen["announce"] = json!(port(2)),
            Role::Operator => panic!("operators run no daemon"),
        }
        settings["listen"] = listen;
        settings
    }
}

fn host_name(role: Role, at: usize) -> String {
    format!("{role}-{}", at + 1)
}

fn port_of(address: IpAddr, role: Role, at: usize, of: u16) -> SocketAddr {
    let first = match role {
        Role::Control => 0,
        Role::Entry => 100,
        _ => 200,
    };
    let at = u16::try_from(at).expect("a small number");
    SocketAddr::new(address, FIRST_PORT + (first + at) * PORTS_A_HOST + of)
}

fn announce(address: IpAddr, sidecar: usize) -> SocketAddr {
    port_of(address, Role::Sidecar, sidecar, 2)
}

fn control_addresses(address: IpAddr) -> Vec<ControlAddress> {
    let of = |at: usize| ControlAddress {
        host: HostName::new(host_name(Role::Control, at)).expect("a name"),
        address: port_of(address, Role::Control, at, 0),
        domain: DomainName::new(DOMAINS[at]).expect("a name"),
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

/// A client with the operator's key of a folder.
pub(crate) fn operator(
    runtime: &Runtime,
    folder: &Path,
    control: &[ControlAddress],
) -> OperatorClient {
    let read = |name: &str| fs::read_to_string(folder.join("keys").join(name)).expect("a key");
    let credentials = Credentials::from_pem(
        &read("ca.pem"),
        &read("operator.pem"),
        &read("operator.key"),
    );
    let credentials = credentials.expect("credentials");
    OperatorClient::connect(runtime.handle(), &credentials, control, PATIENCE).expect("a client")
}

/// The settings in a file.
pub(crate) fn read_settings(file: &Path) -> Settings {
    let text = fs::read_to_string(file).expect("settings");
    Settings::parse(&file.display().to_string(), &text).unwrap_or_else(|e| panic!("{e}"))
}
