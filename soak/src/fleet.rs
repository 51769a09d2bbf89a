//! The processes of the fleet, their addresses and the proxies between them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path as FilePath, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use coltsfootnotch_platform_peers::HostSettings;

use crate::control_slots::ControlSlots;
use crate::process::Process;
use crate::proxy::{Endpoint, Path, Rules, proxy_tcp, proxy_udp};
use crate::schedule::FleetSize;

const FIRST_PORT: u16 = 7_400; // of the transport between hosts
const CLIENT_PORT: u16 = 8_783;
const READINESS_PORT: u16 = 8_780;
const OPERATOR_PORT: u16 = 8_785;

/// Memory that each process is told, in megabytes.
pub const MEMORY_MB: u64 = 64;
/// Grace period of a graceful stop, in seconds.
pub const GRACE_S: f64 = 6.0;
/// Time within which a revoked key must stop working, in milliseconds.
pub const REVOKE_MS: u64 = 5_000;

/// Second octets of addresses: those that processes bind, and those of their proxies.
const BIND_NET: u8 = 10;
const PROXY_NET: u8 = 11;

/// Loopback addresses of one run. Concurrent runs use different blocks.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    block: u8,
}

impl Addresses {
    /// Returns the addresses of a block.
    #[must_use]
    pub fn new(block: u8) -> Self {
        Self { block }
    }

    fn ip(self, net: u8, endpoint: Endpoint) -> IpAddr {
        let last = match endpoint {
            Endpoint::Control(n) => 1 + n,
            Endpoint::Router(n) => 20 + n,
            Endpoint::Upstream(n) => 150 + n,
            Endpoint::Outside => 250,
        };
        Ipv4Addr::new(127, net, self.block, last as u8).into()
    }

    /// Returns the address that the process of an endpoint binds.
    #[must_use]
    pub fn bind_ip(self, endpoint: Endpoint) -> IpAddr {
        self.ip(BIND_NET, endpoint)
    }

    /// Returns the address of the proxy through which others reach the endpoint.
    #[must_use]
    pub fn proxy_ip(self, endpoint: Endpoint) -> IpAddr {
        self.ip(PROXY_NET, endpoint)
    }

    /// Returns the endpoint that binds an address.
    #[must_use]
    pub fn endpoint_of(self, address: SocketAddr) -> Endpoint {
        let IpAddr::V4(ip) = address.ip() else {
            return Endpoint::Outside;
        };
        match usize::from(ip.octets()[3]) {
            n @ 1..20 => Endpoint::Control(n - 1),
            n @ 20..150 => Endpoint::Router(n - 20),
            n @ 150..250 => Endpoint::Upstream(n - 150),
            _ => Endpoint::Outside,
        }
    }

    /// Returns the address at which operators and upstreams call the control host in a slot.
    #[must_use]
    pub fn operator_address(self, control: usize) -> SocketAddr {
        SocketAddr::new(self.proxy_ip(Endpoint::Control(control)), OPERATOR_PORT)
    }

    /// Returns the address at which clients call a router.
    #[must_use]
    pub fn client_address(self, router: usize) -> SocketAddr {
        SocketAddr::new(self.proxy_ip(Endpoint::Router(router)), CLIENT_PORT)
    }

    /// Returns the address at which a router is called without its proxy.
    #[must_use]
    pub fn direct_address(self, router: usize) -> SocketAddr {
        SocketAddr::new(self.bind_ip(Endpoint::Router(router)), CLIENT_PORT)
    }

    /// Returns the address of a router's readiness probe, which bypasses the proxy.
    #[must_use]
    pub fn readiness_address(self, router: usize) -> SocketAddr {
        SocketAddr::new(self.bind_ip(Endpoint::Router(router)), READINESS_PORT)
    }
}

/// Number of address slots for control hosts, replacements included.
const CONTROL_SLOTS: usize = 18;

/// The running fleet.
pub struct Fleet {
    /// Addresses of the processes.
    pub addresses: Addresses,
    /// Rules of the proxies.
    pub rules: Rules,
    /// Slots of the control hosts.
    pub slots: ControlSlots,
    binary: PathBuf,
    controls: Vec<Mutex<Process>>,
    routers: Vec<Mutex<Process>>,
    folder: PathBuf,
    size: FleetSize,
}

impl Fleet {
    /// Starts the proxies and the processes of `binary`. Settings, state and logs are written to `folder`.
    ///
    /// # Errors
    /// Returns an error when an address is in use or a process can't be started.
    pub async fn start(
        binary: &FilePath,
        folder: &FilePath,
        addresses: Addresses,
        size: FleetSize,
    ) -> io::Result<Self> {
        let mut fleet = Self {
            addresses,
            rules: Rules::default(),
            slots: ControlSlots::new(size.controls, CONTROL_SLOTS),
            binary: binary.to_owned(),
            controls: Vec::new(),
            routers: Vec::new(),
            folder: folder.to_owned(),
            size,
        };
        fleet.start_proxies().await?;
        for n in 0..size.controls {
            let process = fleet.start_process(Endpoint::Control(n), "control", true)?;
            fleet.controls.push(Mutex::new(process));
        }
        for n in 0..size.routers {
            let process = fleet.start_process(Endpoint::Router(n), "router", true)?;
            fleet.routers.push(Mutex::new(process));
        }
        Ok(fleet)
    }

    async fn start_proxies(&self) -> io::Result<()> {
        let addresses = self.addresses;
        let at = |endpoint, port| {
            let listen = SocketAddr::new(addresses.proxy_ip(endpoint), port);
            (listen, SocketAddr::new(addresses.bind_ip(endpoint), port))
        };
        for n in 0..CONTROL_SLOTS {
            let to = Endpoint::Control(n);
            let (listen, target) = at(to, FIRST_PORT);
            let endpoint_of = move |sender| addresses.endpoint_of(sender);
            proxy_udp(listen, target, to, endpoint_of, self.rules.clone()).await?;
            let (listen, target) = at(to, OPERATOR_PORT);
            let from = Endpoint::Outside;
            proxy_tcp(listen, target, Path { from, to }, self.rules.clone()).await?;
        }
        for n in 0..self.size.routers {
            let to = Endpoint::Router(n);
            let (listen, target) = at(to, CLIENT_PORT);
            let from = Endpoint::Outside;
            proxy_tcp(listen, target, Path { from, to }, self.rules.clone()).await?;
        }
        Ok(())
    }

    fn start_process(
        &self,
        endpoint: Endpoint,
        role: &'static str,
        first_start: bool,
    ) -> io::Result<Process> {
        let settings = self.write_settings(endpoint, first_start)?;
        let log = self.folder.join(format!("{}.log", name_of(endpoint)));
        Process::start(&self.binary, role, settings, log)
    }

    fn write_settings(&self, endpoint: Endpoint, first_start: bool) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}.toml", name_of(endpoint)));
        std::fs::write(&path, self.settings(endpoint, first_start))?;
        Ok(path)
    }

    fn settings(&self, endpoint: Endpoint, first_start: bool) -> String {
        let ip = self.addresses.bind_ip(endpoint);
        let name = name_of(endpoint);
        let data = self.folder.join(format!("{name}.data"));
        let slots = self.slots.slots();
        let seeds = slots
            .iter()
            .take(3)
            .map(|n| self.addresses.operator_address(*n));
        let seeds: Vec<SocketAddr> = seeds.collect();
        let at = |port| SocketAddr::new(ip, port);
        HostSettings {
            name: &name,
            // Routers of one domain hand connections over, and the checks go by the router that was called.
            domain: if matches!(endpoint, Endpoint::Router(_)) {
                &name
            } else {
                "north"
            },
            ip,
            advertised_ip: self.addresses.proxy_ip(endpoint),
            first_internal_port: FIRST_PORT,
            seeds: &seeds,
            first_start,
            data_dir: matches!(endpoint, Endpoint::Control(_)).then_some(&*data),
            http_address: at(CLIENT_PORT),
            readiness_address: at(READINESS_PORT),
            control_address: at(OPERATOR_PORT),
            memory_mb: MEMORY_MB,
            grace_s: GRACE_S,
            revoke_ms: REVOKE_MS,
        }
        .to_toml()
    }

    /// Returns the number of control hosts.
    #[must_use]
    pub fn control_count(&self) -> usize {
        self.size.controls
    }

    /// Returns the number of routers.
    #[must_use]
    pub fn router_count(&self) -> usize {
        self.size.routers
    }

    /// Locks the process of a control host.
    pub fn control(&self, n: usize) -> MutexGuard<'_, Process> {
        self.controls[n]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the process of a router.
    pub fn router(&self, n: usize) -> MutexGuard<'_, Process> {
        self.routers[n]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Clears the first-start setting of all control hosts, so that a restart doesn't bootstrap again.
    ///
    /// # Errors
    /// Returns an error when settings can't be written.
    pub fn end_first_start(&self) -> io::Result<()> {
        for n in 0..self.size.controls {
            self.write_settings(Endpoint::Control(n), false)?;
        }
        Ok(())
    }

    /// Replaces a stopped control host by an empty one in an unused slot, or restarts it if no slot is left.
    /// Routers read the new seeds at their next start; the other control hosts keep their seeds.
    ///
    /// # Errors
    /// Returns an error when settings can't be written or the process can't be started.
    pub fn replace_control(&self, control: usize) -> io::Result<()> {
        let Some(slot) = self.slots.replace(control) else {
            return self.control(control).ensure_running();
        };
        let mut replacement = self.start_process(Endpoint::Control(slot), "control", false)?;
        let mut process = self.control(control);
        replacement.unexpected_exits = process.unexpected_exits;
        *process = replacement;
        for n in 0..self.size.routers {
            self.write_settings(Endpoint::Router(n), false)?;
        }
        Ok(())
    }

    /// Removes the data folder of a stopped control host.
    ///
    /// # Errors
    /// Returns an error when the folder can't be removed.
    pub fn wipe_disk(&self, control: usize) -> io::Result<()> {
        let name = name_of(Endpoint::Control(self.slots.slot(control)));
        let data = self.folder.join(format!("{name}.data"));
        match std::fs::remove_dir_all(data) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Returns the routers that use more memory than they are told, with what they use in megabytes.
    pub fn routers_over_memory(&self) -> Vec<(String, u64)> {
        let routers = 0..self.size.routers;
        let used = routers.filter_map(|n| Some((Endpoint::Router(n), self.router(n).memory_mb()?)));
        let over = used.filter(|(_, mb)| *mb > MEMORY_MB);
        over.map(|(host, mb)| (name_of(host), mb)).collect()
    }

    /// Returns the processes that exited unexpectedly, with the number of exits.
    pub fn unexpected_exits(&self) -> Vec<(String, u32)> {
        let controls = (0..self.size.controls)
            .map(|n| (Endpoint::Control(n), self.control(n).unexpected_exits));
        let routers =
            (0..self.size.routers).map(|n| (Endpoint::Router(n), self.router(n).unexpected_exits));
        let exited = controls.chain(routers).filter(|(_, exits)| *exits > 0);
        exited.map(|(host, exits)| (name_of(host), exits)).collect()
    }
}

fn name_of(endpoint: Endpoint) -> String {
    match endpoint {
        Endpoint::Control(n) => format!("control-{n}"),
        Endpoint::Router(n) => format!("router-{n}"),
        Endpoint::Upstream(n) => format!("upstream-{n}"),
        Endpoint::Outside => "outside".to_owned(),
    }
}
