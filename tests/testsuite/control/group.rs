//! A control group in one process on loopback, and clients that connect to it as hosts do.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use coltsfootnotch::core::{HostCx, HostIdentity};
use coltsfootnotch::daemon::ControlAddress;
use coltsfootnotch::daemon::control::{self, ControlConfig, ControlHandle};
use coltsfootnotch_fabric::{Authority, Credentials, PeerId};
use coltsfootnotch_types::prelude::*;
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::client::Client;

/// Fails a hanging test; passing tests don't depend on it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `condition` holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub(crate) fn host(name: &str) -> HostName {
    HostName::new(name).expect("a name")
}

fn domain(number: usize) -> DomainName {
    DomainName::new(format!("d{number}")).expect("a name")
}

/// A control group with its data folders.
pub(crate) struct Group {
    pub(crate) runtime: Runtime,
    authority: Authority,
    dir: TempDir,
    pub(crate) members: Vec<ControlAddress>,
    pub(crate) handles: Vec<Option<ControlHandle>>,
    adjust: fn(&mut ControlConfig),
}

impl Group {
    /// A group of three whose members have not been started.
    pub(crate) fn new(adjust: fn(&mut ControlConfig)) -> Self {
        let members = (1..=3)
            .map(|n| ControlAddress {
                host: host(&format!("c{n}")),
                address: free_address(),
                domain: domain(n),
            })
            .collect();
        Self {
            runtime: Runtime::new().expect("a runtime"),
            authority: Authority::generate().expect("an authority"),
            dir: TempDir::new().expect("a folder"),
            members,
            handles: vec![None, None, None],
            adjust,
        }
    }

    /// A group whose members run and have a leader.
    pub(crate) fn started(adjust: fn(&mut ControlConfig)) -> Self {
        let mut group = Self::new(adjust);
        for at in 0..group.members.len() {
            group.start(at);
        }
        group.wait_for_leader();
        group
    }

    pub(crate) fn credentials(&self, role: Role, name: &str) -> Credentials {
        let peer = PeerId {
            role,
            host: host(name),
        };
        let issued = self.authority.issue(&peer).expect("a key");
        Credentials::from_pem(
            self.authority.certificate(),
            &issued.certificate,
            &issued.key,
        )
        .expect("credentials")
    }

    pub(crate) fn data(&self, at: usize) -> PathBuf {
        self.dir.path().join(self.members[at].host.as_str())
    }

    /// How the member at `at` is configured.
    pub(crate) fn config(&self, at: usize) -> ControlConfig {
        let member = &self.members[at];
        let credentials = self.credentials(Role::Control, member.host.as_str());
        let members = self.members.clone();
        let mut cfg = ControlConfig::new(member.address, credentials, self.data(at), members);
        (self.adjust)(&mut cfg);
        cfg
    }

    pub(crate) fn start(&mut self, at: usize) {
        let cfg = self.config(at);
        self.start_with(at, cfg);
    }

    pub(crate) fn start_with(&mut self, at: usize, cfg: ControlConfig) {
        // The previous run's connections drain for a moment before its socket is closed.
        wait_until("the address is free", || {
            UdpSocket::bind(cfg.listen).is_ok()
        });
        let handle = control::start(self.cx(at), cfg).expect("the daemon starts");
        self.handles[at] = Some(handle);
    }

    pub(crate) fn cx(&self, at: usize) -> HostCx {
        let identity = HostIdentity {
            host: self.members[at].host.clone(),
            role: Role::Control,
            domain: self.members[at].domain.clone(),
            incarnation: Incarnation(rand::random()),
        };
        HostCx::new(identity, self.runtime.handle().clone())
    }

    /// Stops a member at once, as if its process is lost.
    pub(crate) fn kill(&mut self, at: usize) {
        let handle = self.handles[at].take().expect("it runs");
        handle.kill();
        handle.join().expect("it stops without an error");
    }

    /// Stops a member gracefully.
    pub(crate) fn stop(&mut self, at: usize) {
        let handle = self.handles[at].take().expect("it runs");
        handle.stop();
        handle.join().expect("it stops without an error");
    }

    /// Waits until every running member knows the leader; returns its place.
    pub(crate) fn wait_for_leader(&self) -> usize {
        self.wait_for_leader_except(self.members.len())
    }

    /// Waits until every running member knows the leader, except for one outside the group.
    pub(crate) fn wait_for_leader_except(&self, excluded: usize) -> usize {
        let running: Vec<_> = (0..self.members.len())
            .filter(|at| self.handles[*at].is_some() && *at != excluded)
            .collect();
        let mut clients: Vec<_> = running
            .iter()
            .map(|at| self.client(*at, Role::Operator, "probe"))
            .collect();
        let mut leader = None;
        wait_until("all members know one leader", || {
            let leaders: Vec<_> = clients
                .iter_mut()
                .map(|client| client.status()["group"]["leader"].as_str().map(host))
                .collect();
            let first = leaders[0].clone();
            leader = first.and_then(|l| self.members.iter().position(|m| m.host == l));
            leader.is_some_and(|at| self.handles[at].is_some())
                && leaders.iter().all(|l| *l == leaders[0])
        });
        leader.expect("a leader")
    }

    /// A process of `role` on host `name`, connected to the member at `at`.
    pub(crate) fn client(&self, at: usize, role: Role, name: &str) -> Client {
        Client::connect(
            self.runtime.handle(),
            &self.credentials(role, name),
            &self.members[at],
        )
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for handle in self.handles.iter().flatten() {
            handle.kill();
        }
        for handle in self.handles.drain(..).flatten() {
            let result = handle.join();
            if !std::thread::panicking() {
                result.expect("the daemon stops without an error");
            }
        }
    }
}

/// Number of loopback addresses used by this process.
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// An address on which nothing listens, and on which no other test will.
///
/// Each has an IP address of its own, since another test could get a free port before the daemon binds it
/// or while the daemon restarts.
pub(crate) fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind((own_ip(), 0)).expect("a socket");
    socket.local_addr().expect("an address")
}

/// Like [`free_address`], but for TCP.
pub(crate) fn free_tcp_address() -> SocketAddr {
    let listener = TcpListener::bind((own_ip(), 0)).expect("a socket");
    listener.local_addr().expect("an address")
}

fn own_ip() -> Ipv4Addr {
    let [_, _, process_high, process_low] = std::process::id().to_be_bytes();
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let low = u8::try_from(number % 250).expect("below 250") + 2;
    Ipv4Addr::new(127, process_high.max(1), process_low, low)
}
