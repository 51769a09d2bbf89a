//! The processes of a small deployment, with the commands of the deploy file.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::proxy::{self, Cuts};
use crate::record::{Record, lock};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/coltsfootnotch-platform";

/// The second number of all addresses of the cases.
const NET: u8 = 77;

/// What differs between deployments.
#[derive(Clone)]
pub struct Plan {
    /// Number of control hosts, each with a disk.
    pub controls: u8,
    /// Failure domains of the routers, one for each router.
    pub routers: Vec<&'static str>,
    /// The failure domains of the deployment.
    pub domains: Vec<&'static str>,
    /// Lines of the table `bounds`.
    pub bounds: &'static str,
    /// Memory of a router, in megabytes.
    pub router_memory_mb: u64,
}

/// The ports of a run, the same on all addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    internal: u16,
    client: u16,
    readiness: u16,
    control: u16,
    upstream: u16,
}

/// A host of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Host {
    Control(u8),
    Router(u8),
}

struct Process {
    host: Host,
    child: Child,
}

/// A running deployment; all its processes end with it.
pub struct Fleet {
    plan: Plan,
    ports: Ports,
    folder: PathBuf,
    processes: Mutex<Vec<Process>>,
    /// Which control hosts and routers are cut from which control hosts.
    pub cuts: Cuts,
    record: Record,
}

/// Address of a host.
pub fn ip(host: Host) -> IpAddr {
    match host {
        Host::Control(n) => Ipv4Addr::new(127, NET, 1, n + 1).into(),
        Host::Router(n) => Ipv4Addr::new(127, NET, 3, n + 1).into(),
    }
}

/// Address of the proxy before a control host.
fn proxy_ip(n: u8) -> IpAddr {
    Ipv4Addr::new(127, NET, 2, n + 1).into()
}

/// Address of an upstream.
fn upstream_ip(n: u8) -> IpAddr {
    Ipv4Addr::new(127, NET, 4, n + 1).into()
}

impl Fleet {
    /// Starts all processes for the first time.
    pub fn start(plan: Plan, record: &Record) -> io::Result<Self> {
        if !Path::new(PROGRAM).exists() {
            return Err(io::Error::other(format!("{PROGRAM} is not built")));
        }
        let folder = std::env::temp_dir().join(format!("stand-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let fleet = Self {
            ports: free_ports()?,
            plan,
            folder,
            processes: Mutex::default(),
            cuts: Cuts::default(),
            record: record.clone(),
        };
        for n in 0..fleet.plan.controls {
            let at = |ip| SocketAddr::new(ip, fleet.ports.internal);
            proxy::start(
                at(proxy_ip(n)),
                at(ip(Host::Control(n))),
                fleet.cuts.clone(),
            )?;
        }
        for n in 0..fleet.plan.controls {
            fleet.start_process(Host::Control(n), true)?;
        }
        for n in 0..fleet.plan.routers.len() as u8 {
            fleet.start_process(Host::Router(n), true)?;
        }
        Ok(fleet)
    }

    /// Address of a control host for operators and upstreams.
    pub fn control_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(ip(Host::Control(n)), self.ports.control)
    }

    /// Addresses of all control hosts.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..self.plan.controls)
            .map(|n| self.control_address(n))
            .collect()
    }

    /// Address of a router for clients.
    pub fn client_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(ip(Host::Router(n)), self.ports.client)
    }

    /// Address of an upstream.
    pub fn upstream_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(upstream_ip(n), self.ports.upstream)
    }

    /// Starts a process, with a settings file that says whether the whole fleet starts for the first time.
    pub fn start_process(&self, host: Host, first_start: bool) -> io::Result<()> {
        let (name, role) = match host {
            Host::Control(n) => (format!("control-{n}"), "control"),
            Host::Router(n) => (format!("router-{n}"), "router"),
        };
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(host, &name, first_start))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("COLTSFOOTNOTCH_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("{name} starts"));
        lock(&self.processes).push(Process { host, child });
        Ok(())
    }

    fn settings(&self, host: Host, name: &str, first_start: bool) -> String {
        let ports = self.ports;
        let seeds: Vec<String> = (0..self.plan.controls.min(3))
            .map(|n| format!("\"{}:{}\"", proxy_ip(n), ports.control))
            .collect();
        let (domain, memory_mb) = match host {
            Host::Control(n) => {
                let domains = &self.plan.domains;
                (domains[usize::from(n) % domains.len()], 110)
            }
            Host::Router(n) => (
                self.plan.routers[usize::from(n)],
                self.plan.router_memory_mb,
            ),
        };
        let (host_ip, last) = (ip(host), ports.internal + 15);
        let mut text = format!(
            "node_name = \"{name}\"\nip = \"{host_ip}\"\nzone = \"{domain}\"\n\
             region = \"lk-west\"\ninternal_ports = [{}, {last}]\nseeds = [{}]\n\
             bootstrap = {first_start}\nheartbeat_ms = 1200\n",
            ports.internal,
            seeds.join(", ")
        );
        if let Host::Control(n) = host {
            let data = self.folder.join(format!("{name}.data"));
            text += &format!("advertised_ip = \"{}\"\n", proxy_ip(n));
            text += &format!("data_dir = \"{}\"\n", data.display());
        }
        text += "[zones]\n";
        for domain in &self.plan.domains {
            text += &format!("{domain} = \"lk-west\"\n");
        }
        text += &format!(
            "[listen]\nfront = \"{host_ip}:{}\"\nreadiness = \"{host_ip}:{}\"\n\
             control = \"{host_ip}:{}\"\n[limits]\nmemory_mb = {memory_mb}\nmax_fds = 2870\n\
             [bounds]\n{}\n",
            ports.client, ports.readiness, ports.control, self.plan.bounds
        );
        text
    }

    /// Waits until all routers are ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        for n in 0..self.plan.routers.len() as u8 {
            let address = SocketAddr::new(ip(Host::Router(n)), self.ports.readiness);
            loop {
                let answer = call(address, "GET", "/ready", "", Duration::from_secs(1));
                if answer.is_ok_and(|a| a.head.status() == 200) {
                    break;
                }
                if Instant::now() >= deadline {
                    return Err(io::Error::other(format!("router {n} is not ready")));
                }
                sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all routers are ready");
        Ok(())
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: Host, signal: &str) -> io::Result<()> {
        let processes = lock(&self.processes);
        let process = processes.iter().rev().find(|p| p.host == host);
        let id = process.ok_or(io::ErrorKind::NotFound)?.child.id();
        self.record.line(format!("{host:?} gets SIG{signal}"));
        // Each shell has this command, and not every machine a program for it.
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{signal} {id}")])
            .status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| io::Error::other("the signal was not sent"))
    }

    /// Kills the process of a host and waits for its end.
    pub fn kill(&self, host: Host) -> io::Result<()> {
        let mut processes = lock(&self.processes);
        let process = processes.iter_mut().rev().find(|p| p.host == host);
        let process = process.ok_or(io::ErrorKind::NotFound)?;
        self.record.line(format!("{host:?} is killed"));
        process.child.kill()?;
        process.child.wait()?;
        Ok(())
    }

    /// Removes the disk of a control host whose process has been killed.
    pub fn wipe(&self, control: u8) -> io::Result<()> {
        self.record
            .line(format!("the disk of control-{control} is lost"));
        fs::remove_dir_all(self.folder.join(format!("control-{control}.data")))
    }

    /// The lines of the log of a host that have a text.
    pub fn log_lines(&self, host: Host, text: &str) -> Vec<String> {
        let name = match host {
            Host::Control(n) => format!("control-{n}.log"),
            Host::Router(n) => format!("router-{n}.log"),
        };
        let log = fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(ToOwned::to_owned).collect()
    }

    /// Whether the log of a host has a text.
    pub fn has_logged(&self, host: Host, text: &str) -> bool {
        !self.log_lines(host, text).is_empty()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in lock(&self.processes).iter_mut() {
            let _killed = process.child.kill();
            let _ended = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept: {}", self.folder.display());
        }
    }
}

/// Ports that are free on the addresses of a deployment.
fn free_ports() -> io::Result<Ports> {
    let first = 20_000 + (std::process::id() % 500) as u16 * 40;
    for base in (first..first + 2_000).step_by(40) {
        let ports = Ports {
            internal: base,
            client: base + 20,
            readiness: base + 21,
            control: base + 22,
            upstream: base + 23,
        };
        let hosts = (0..8).flat_map(|n| {
            [
                ip(Host::Control(n)),
                ip(Host::Router(n)),
                proxy_ip(n),
                upstream_ip(n),
            ]
        });
        let is_free = |host: IpAddr| {
            (base..base + 24).all(|port| {
                TcpListener::bind((host, port)).is_ok() && UdpSocket::bind((host, port)).is_ok()
            })
        };
        if hosts.into_iter().all(is_free) {
            return Ok(ports);
        }
    }
    Err(io::Error::other("no ports are free"))
}
