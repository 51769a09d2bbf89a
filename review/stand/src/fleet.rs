//! Three machines of a small deployment, each with the two processes that the deploy file starts on a machine with a
//! disk, on loopback addresses.

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

/// Machines; the first serves the case's callers unless it says otherwise.
pub const MACHINES: usize = 3;
const ZONES: [&str; MACHINES] = ["colombo", "gampaha", "kalutara"];

/// Time for a call of the operator or an upstream.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Time from the start until the fleet has to serve.
const START_TIME: Duration = Duration::from_secs(20);

/// `contact_ms` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `grace_s` of the settings.
pub const GRACE: Duration = Duration::from_secs(8);

/// A role of the deploy file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Router,
    Control,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Control => "control",
        }
    }
}

/// The processes of the fleet. All are ended when it is dropped.
pub struct Fleet {
    dir: PathBuf,
    network: [u8; 2],
    base: u16,
    processes: Vec<(usize, Role, Child)>,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts all processes.
    pub fn start(record: &Arc<Record>) -> std::io::Result<Self> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&dir)?;
        let network = [64 + (pid % 128) as u8, 1 + (pid / 128 % 250) as u8];
        let mut fleet = Self {
            dir,
            network,
            base: 0,
            processes: Vec::new(),
            record: Arc::clone(record),
        };
        fleet.base = fleet.free_ports()?;
        for machine in 0..MACHINES {
            for role in [Role::Control, Role::Router] {
                fleet.write_settings(machine, role)?;
                fleet.start_process(machine, role)?;
            }
        }
        Ok(fleet)
    }

    /// The first of a range of ports that are free at the addresses of all machines.
    fn free_ports(&self) -> std::io::Result<u16> {
        for base in (20_000..31_000).step_by(50) {
            let is_free =
                |machine| (0..25).all(|n| TcpListener::bind((self.ip(machine), base + n)).is_ok());
            if (0..MACHINES).all(is_free) {
                return Ok(base);
            }
        }
        Err(std::io::ErrorKind::AddrInUse.into())
    }

    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], 1 + machine as u8)
    }

    fn address(&self, machine: usize, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip(machine), self.base + offset))
    }

    /// Where clients reach the machine.
    pub fn front(&self, machine: usize) -> SocketAddr {
        self.address(machine, 20)
    }

    /// Where operators and replicas reach the machine.
    pub fn control(&self, machine: usize) -> SocketAddr {
        self.address(machine, 22)
    }

    /// The control addresses of all machines.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..MACHINES).map(|machine| self.control(machine)).collect()
    }

    fn settings_path(&self, machine: usize, role: Role) -> PathBuf {
        self.dir.join(format!("{}-{machine}.toml", role.name()))
    }

    fn write_settings(&self, machine: usize, role: Role) -> std::io::Result<()> {
        let seeds: Vec<String> = self.controls().iter().map(|a| format!("\"{a}\"")).collect();
        let data = self.dir.join(format!("data-{machine}/{}", role.name()));
        fs::create_dir_all(&data)?;
        let zone = ZONES[machine];
        let listen = match role {
            Role::Router => format!(
                "front = \"{}\"\nreadiness = \"{}\"\n",
                self.front(machine),
                self.address(machine, 21)
            ),
            Role::Control => format!("control = \"{}\"\n", self.control(machine)),
        };
        let text = format!(
            "node_name = \"front-{zone}-1\"\nrole = \"{}\"\nmachine_class = \"front\"\n\
             serves = [\"{}\"]\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"lk-west\"\n\
             internal_ports = [{}, {}]\nseeds = [{}]\nbootstrap = true\nloss_counts = true\n\
             data_dir = \"{}\"\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\
             config_mode = \"highest\"\n[zones]\ncolombo = \"lk-west\"\ngampaha = \"lk-west\"\n\
             kalutara = \"lk-west\"\n[listen]\n{listen}[limits]\ncpu_share = 0.45\ncores = 1\n\
             memory_mb = 110\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64\n[fault_tolerance]\n\
             machines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n\
             contact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n\
             lost_slack_ms = 200\nconfig_deadline_ms = 2000\nrollback_slack_ms = 250\n\
             max_skew_ms = 5000\nfail_closed = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nbudget_slack = 128\nrecovery_s = 12\npass_ms = 120\n\
             reuse_window_s = 6.9\nquota_window_s = 4\n",
            role.name(),
            if role == Role::Router {
                "front"
            } else {
                "control"
            },
            self.ip(machine),
            self.base,
            self.base + 15,
            seeds.join(","),
            data.display(),
        );
        fs::write(self.settings_path(machine, role), text)
    }

    /// Starts a process by the command of the deploy file.
    fn start_process(&mut self, machine: usize, role: Role) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}-{machine}.log", role.name())))?;
        let child = Command::new("target/release/coltsfootnotch-platform")
            .arg(role.name())
            .env("COLTSFOOTNOTCH_CONFIG", self.settings_path(machine, role))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.write_pid(child.id())?;
        self.record.note(format!(
            "platform: starts {} of machine {machine}",
            role.name()
        ));
        self.processes.push((machine, role, child));
        Ok(())
    }

    /// Lists the process for the script, which ends what is left if this program is ended early.
    fn write_pid(&self, pid: u32) -> std::io::Result<()> {
        let Some(path) = std::env::var_os("REVIEW_PIDS") else {
            return Ok(());
        };
        let mut file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(Path::new(&path))?;
        writeln!(file, "{pid}")
    }

    /// The process of a role on a machine.
    pub fn process(&mut self, machine: usize, role: Role) -> &mut Child {
        let found = self
            .processes
            .iter_mut()
            .find(|(m, r, _)| (*m, *r) == (machine, role));
        &mut found.expect("the process was started").2
    }

    /// Whether a process has ended by itself or by a signal.
    pub fn has_ended(&mut self, machine: usize, role: Role) -> bool {
        matches!(self.process(machine, role).try_wait(), Ok(Some(_)))
    }

    /// Sends a signal by its name.
    pub fn signal(&mut self, machine: usize, role: Role, name: &str) {
        let pid = self.process(machine, role).id();
        self.record.note(format!(
            "platform: SIG{name} to {} of machine {machine}",
            role.name()
        ));
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid.to_string()])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            self.record.note("platform: the signal could not be sent");
        }
    }

    /// Has the operator put a desired state, at one control address after the other until it is acknowledged.
    pub fn put_config(&self, body: &str) -> bool {
        let start = Instant::now();
        while start.elapsed() < START_TIME {
            for control in self.controls() {
                let answer = call(
                    control,
                    "POST",
                    "/Config.Put",
                    "Content-Type: application/json\r\n",
                    body,
                    CALL_TIME,
                );
                if let Ok((200, _)) = answer {
                    self.record.note(format!(
                        "operator: {control} acknowledges the desired state"
                    ));
                    return true;
                }
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until a machine says that it is ready.
    pub fn wait_until_ready(&self, machine: usize) -> bool {
        let start = Instant::now();
        let readiness = self.address(machine, 21);
        while start.elapsed() < START_TIME {
            if let Ok((200, _)) = call(readiness, "GET", "/ready", "", "", CALL_TIME) {
                self.record
                    .note(format!("platform: machine {machine} is ready"));
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.processes {
            let _was_running = child.kill();
        }
        for (_, _, child) in &mut self.processes {
            let _status = child.wait();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.dir);
        }
    }
}
