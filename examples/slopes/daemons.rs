//! A small fleet of daemon processes, which measures each role separately.

use std::error::Error;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

use coltsfootnotch::daemon::ControlAddress;
use coltsfootnotch::ops::operator_client::OperatorClient;
use coltsfootnotch_fabric::{Authority, Credentials, PeerId};
use coltsfootnotch_fakes::{AnnounceConfig, EngineConfig, EngineHandle};
use coltsfootnotch_types::prelude::*;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::process::{cpu_time_of, resident_bytes_of};

const CONTROL: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(60);

/// A daemon process, killed on drop.
pub(crate) struct Daemon {
    child: Child,
}

impl Daemon {
    pub(crate) fn cpu(&self) -> Duration {
        cpu_time_of(&self.child.id().to_string())
    }

    pub(crate) fn resident(&self) -> u64 {
        resident_bytes_of(&self.child.id().to_string())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _already_exited = self.child.kill();
        let _exit_status = self.child.wait();
    }
}

/// Sums over all daemons of each role.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ByRole {
    pub(crate) control: f64,
    pub(crate) entry: f64,
    pub(crate) sidecars: f64,
}

/// Three control daemons, one entry and a sidecar per engine. The engines run in this process.
pub(crate) struct Daemons {
    control: Vec<Daemon>,
    entry: Daemon,
    sidecars: Vec<Daemon>,
    pub(crate) engines: Vec<EngineHandle>,
    pub(crate) callers: SocketAddr,
    pub(crate) operator: OperatorClient,
    _runtime: Runtime,
    _folder: TempDir,
}

struct Setup {
    folder: PathBuf,
    authority: Authority,
    control: Vec<ControlAddress>,
}

impl Daemons {
    pub(crate) fn start(engines: Vec<EngineConfig>) -> Result<Self, Box<dyn Error>> {
        let folder = TempDir::new()?;
        let setup = Setup {
            folder: folder.path().to_owned(),
            authority: Authority::generate()?,
            control: (0..CONTROL)
                .map(control_address)
                .collect::<Result<_, _>>()?,
        };
        fs::write(setup.folder.join("ca.pem"), setup.authority.certificate())?;
        let mut control = vec![];
        for control_host in &setup.control {
            control.push(setup.spawn(
                Role::Control,
                &control_host.host,
                control_host.address,
                &json!({}),
            )?);
        }
        let callers = free_tcp()?;
        let host = HostName::new("entry-1")?;
        let entry = setup.spawn(
            Role::Entry,
            &host,
            free_udp()?,
            &json!({ "callers": callers }),
        )?;
        let (mut sidecars, mut handles) = (vec![], vec![]);
        for (number, mut engine) in engines.into_iter().enumerate() {
            let announce = free_tcp()?;
            let host = HostName::new(format!("sidecar-{}", number + 1))?;
            let listen = json!({ "announce": announce });
            sidecars.push(setup.spawn(Role::Sidecar, &host, free_udp()?, &listen)?);
            engine.announce = Some(AnnounceConfig::new(announce));
            handles.push(EngineHandle::start(engine)?);
        }
        let runtime = Runtime::new()?;
        let operator = setup.operator(&runtime)?;
        Ok(Self {
            control,
            entry,
            sidecars,
            engines: handles,
            callers,
            operator,
            _runtime: runtime,
            _folder: folder,
        })
    }

    /// CPU time so far, in milliseconds.
    pub(crate) fn cpu_ms(&self) -> ByRole {
        self.sum(|daemon| 1000.0 * daemon.cpu().as_secs_f64())
    }

    /// Resident memory, in MB.
    pub(crate) fn resident_mb(&self) -> ByRole {
        self.sum(|daemon| daemon.resident() as f64 / 1e6)
    }

    /// Number of daemons.
    pub(crate) fn count(&self) -> ByRole {
        self.sum(|_| 1.0)
    }

    fn sum(&self, value: impl Fn(&Daemon) -> f64) -> ByRole {
        ByRole {
            control: self.control.iter().map(&value).sum(),
            entry: value(&self.entry),
            sidecars: self.sidecars.iter().map(&value).sum(),
        }
    }

    /// Waits until the configuration is in force on every daemon.
    pub(crate) fn wait_in_force(&self, number: u64) -> Result<(), Box<dyn Error>> {
        let hosts = CONTROL + 1 + self.sidecars.len();
        for _ in 0..600 {
            let status: Value = serde_json::from_str(&self.operator.status(TIMEOUT)?)?;
            let listed = status["hosts"].as_array().map_or(&[][..], Vec::as_slice);
            let up_to_date = listed.iter().filter(|host| host["config"] == number);
            if up_to_date.count() >= hosts {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("timed out waiting for the configuration to be in force".into())
    }
}

impl Setup {
    fn spawn(
        &self,
        role: Role,
        host: &HostName,
        fleet: SocketAddr,
        listen: &Value,
    ) -> Result<Daemon, Box<dyn Error>> {
        let issued = self.authority.issue(&PeerId {
            role,
            host: host.clone(),
        })?;
        fs::write(self.folder.join(format!("{host}.pem")), issued.certificate)?;
        fs::write(self.folder.join(format!("{host}.key")), issued.key)?;
        let control = self.control.iter().map(
            |peer| json!({ "host": peer.host, "address": peer.address, "domain": peer.domain }),
        );
        let mut settings = json!({
            "role": role.to_string(),
            "host": host,
            "domain": "colombo",
            "region": "lk-west",
            "listen": { "fleet": fleet, "admin": free_tcp()? },
            "control": control.collect::<Vec<_>>(),
            "keys": {
                "ca": "ca.pem",
                "certificate": format!("{host}.pem"),
                "key": format!("{host}.key"),
            },
        });
        for (key, address) in listen.as_object().into_iter().flatten() {
            settings["listen"][key] = address.clone();
        }
        if role == Role::Control {
            settings["data"] = json!(format!("data-{host}"));
        }
        let file = self.folder.join(format!("{host}.json"));
        fs::write(&file, settings.to_string())?;
        let log = fs::File::create(self.folder.join(format!("{host}.log")))?;
        let child = Command::new(daemon_path()?)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Daemon { child })
    }

    fn operator(&self, runtime: &Runtime) -> Result<OperatorClient, Box<dyn Error>> {
        let host = HostName::new("operator")?;
        let issued = self.authority.issue(&PeerId {
            role: Role::Operator,
            host,
        })?;
        let authority = self.authority.certificate();
        let credentials = Credentials::from_pem(authority, &issued.certificate, &issued.key)?;
        Ok(OperatorClient::connect(
            runtime.handle(),
            &credentials,
            &self.control,
            TIMEOUT,
        )?)
    }
}

/// Path of the daemon in the build directory of this example.
fn daemon_path() -> Result<PathBuf, Box<dyn Error>> {
    let example = std::env::current_exe()?;
    let build_directory = example
        .parent()
        .and_then(Path::parent)
        .ok_or("no build directory")?;
    Ok(build_directory.join("coltsfootnotchd"))
}

fn control_address(number: usize) -> Result<ControlAddress, Box<dyn Error>> {
    Ok(ControlAddress {
        host: HostName::new(format!("control-{}", number + 1))?,
        address: free_udp()?,
        domain: DomainName::new("colombo")?,
    })
}

fn free_udp() -> std::io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

fn free_tcp() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
