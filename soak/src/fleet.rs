//! The fleet's processes, their addresses and the proxies around them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path as FilePath, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use coltsfootnotch_platform_peers::HostSettings;

use crate::controls::Controls;
use crate::process::Process;
use crate::proxy::{Path, Place, Rules, proxy_tcp, proxy_udp};
use crate::schedule::Shape;

/// First of the ports of the processes among themselves, and those for others. Hosts differ by address.
const FIRST_PORT: u16 = 7_400;
const CALLERS_PORT: u16 = 8_783;
const READINESS_PORT: u16 = 8_780;
const OPERATORS_PORT: u16 = 8_785;

/// From the signal to stop until a process would be killed, in seconds.
pub const GRACE_S: f64 = 6.0;
/// Within which a key that was taken away must not work any more, in milliseconds.
pub const REVOKE_MS: u64 = 5_000;

/// Second parts of addresses: where processes bind, and where others reach them.
const BOUND: u8 = 10;
const REACHED: u8 = 11;

/// Addresses of one run; several runs can go on at once, each in a block of its own.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    block: u8,
}

impl Addresses {
    /// The addresses of a block.
    #[must_use]
    pub fn new(block: u8) -> Self {
        Self { block }
    }

    fn ip(self, net: u8, place: Place) -> IpAddr {
        let last = match place {
            Place::Control(n) => 1 + n,
            Place::Router(n) => 20 + n,
            Place::Upstream(n) => 150 + n,
            Place::Outside => 250,
        };
        Ipv4Addr::new(127, net, self.block, last as u8).into()
    }

    /// Where the process of a place binds.
    #[must_use]
    pub fn bound(self, place: Place) -> IpAddr {
        self.ip(BOUND, place)
    }

    /// Where the others reach it: its proxy.
    #[must_use]
    pub fn reached(self, place: Place) -> IpAddr {
        self.ip(REACHED, place)
    }

    /// Who binds an address.
    #[must_use]
    pub fn place_of(self, address: SocketAddr) -> Place {
        let IpAddr::V4(ip) = address.ip() else {
            return Place::Outside;
        };
        match usize::from(ip.octets()[3]) {
            n @ 1..20 => Place::Control(n - 1),
            n @ 20..150 => Place::Router(n - 20),
            n @ 150..250 => Place::Upstream(n - 150),
            _ => Place::Outside,
        }
    }

    /// Where operators and upstreams call a control host.
    #[must_use]
    pub fn operators(self, control: usize) -> SocketAddr {
        SocketAddr::new(self.reached(Place::Control(control)), OPERATORS_PORT)
    }

    /// Where clients call a router.
    #[must_use]
    pub fn callers(self, router: usize) -> SocketAddr {
        SocketAddr::new(self.reached(Place::Router(router)), CALLERS_PORT)
    }

    /// Where the balancer asks a router; no proxy is between.
    #[must_use]
    pub fn readiness(self, router: usize) -> SocketAddr {
        SocketAddr::new(self.bound(Place::Router(router)), READINESS_PORT)
    }
}

/// Places for control hosts, those that replace others included.
const CONTROL_PLACES: usize = 18;

/// The fleet's processes.
pub struct Fleet {
    /// Their addresses.
    pub addresses: Addresses,
    /// What happens on the paths.
    pub rules: Rules,
    /// Where the control hosts run.
    pub places: Controls,
    binary: PathBuf,
    controls: Vec<Mutex<Process>>,
    routers: Vec<Mutex<Process>>,
    folder: PathBuf,
    shape: Shape,
}

impl Fleet {
    /// Starts the proxies and the processes of `binary`; settings, state and logs go to `folder`.
    ///
    /// # Errors
    /// Returns an error when an address is taken or a program can't be started.
    pub async fn start(
        binary: &FilePath,
        folder: &FilePath,
        addresses: Addresses,
        shape: Shape,
    ) -> io::Result<Self> {
        let mut fleet = Self {
            addresses,
            rules: Rules::default(),
            places: Controls::new(shape.controls, CONTROL_PLACES),
            binary: binary.to_owned(),
            controls: Vec::new(),
            routers: Vec::new(),
            folder: folder.to_owned(),
            shape,
        };
        fleet.start_proxies().await?;
        for n in 0..shape.controls {
            let process = fleet.start_process(Place::Control(n), "control", true)?;
            fleet.controls.push(Mutex::new(process));
        }
        for n in 0..shape.routers {
            let process = fleet.start_process(Place::Router(n), "router", true)?;
            fleet.routers.push(Mutex::new(process));
        }
        Ok(fleet)
    }

    async fn start_proxies(&self) -> io::Result<()> {
        let addresses = self.addresses;
        let at = |place, port| {
            let listen = SocketAddr::new(addresses.reached(place), port);
            (listen, SocketAddr::new(addresses.bound(place), port))
        };
        for n in 0..CONTROL_PLACES {
            let to = Place::Control(n);
            let (listen, target) = at(to, FIRST_PORT);
            let place_of = move |sender| addresses.place_of(sender);
            proxy_udp(listen, target, to, place_of, self.rules.clone()).await?;
            let (listen, target) = at(to, OPERATORS_PORT);
            let from = Place::Outside;
            proxy_tcp(listen, target, Path { from, to }, self.rules.clone()).await?;
        }
        for n in 0..self.shape.routers {
            let to = Place::Router(n);
            let (listen, target) = at(to, CALLERS_PORT);
            let from = Place::Outside;
            proxy_tcp(listen, target, Path { from, to }, self.rules.clone()).await?;
        }
        Ok(())
    }

    fn start_process(
        &self,
        place: Place,
        role: &'static str,
        first_start: bool,
    ) -> io::Result<Process> {
        let settings = self.write_settings(place, first_start)?;
        let log = self.folder.join(format!("{}.log", name_of(place)));
        Process::start(&self.binary, role, settings, log)
    }

    /// Writes the settings that a place has at its next start; where they are.
    fn write_settings(&self, place: Place, first_start: bool) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}.toml", name_of(place)));
        std::fs::write(&path, self.settings(place, first_start))?;
        Ok(path)
    }

    fn settings(&self, place: Place, first_start: bool) -> String {
        let ip = self.addresses.bound(place);
        let name = name_of(place);
        let data = self.folder.join(format!("{name}.data"));
        let controls = self.places.places();
        let seeds = controls
            .iter()
            .take(3)
            .map(|n| self.addresses.operators(*n));
        let seeds: Vec<SocketAddr> = seeds.collect();
        let at = |port| SocketAddr::new(ip, port);
        HostSettings {
            name: &name,
            domain: "north",
            ip,
            advertised_ip: self.addresses.reached(place),
            first_internal_port: FIRST_PORT,
            seeds: &seeds,
            first_start,
            data_dir: matches!(place, Place::Control(_)).then_some(&*data),
            http_address: at(CALLERS_PORT),
            readiness_address: at(READINESS_PORT),
            control_address: at(OPERATORS_PORT),
            grace_s: GRACE_S,
            revoke_ms: REVOKE_MS,
        }
        .to_toml()
    }

    /// Control hosts.
    #[must_use]
    pub fn control_count(&self) -> usize {
        self.shape.controls
    }

    /// A control host.
    pub fn control(&self, n: usize) -> MutexGuard<'_, Process> {
        self.controls[n]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// A router.
    pub fn router(&self, n: usize) -> MutexGuard<'_, Process> {
        self.routers[n]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the next start of every control host one that is not the system's first.
    ///
    /// # Errors
    /// Returns an error when settings can't be written.
    pub fn end_first_start(&self) -> io::Result<()> {
        for n in 0..self.shape.controls {
            self.write_settings(Place::Control(n), false)?;
        }
        Ok(())
    }

    /// Starts an empty control host at a new place instead of one that does not run and never will again;
    /// the same one again where no place is left. Routers hear of it at their next start; the other control
    /// hosts keep the seeds that they have.
    ///
    /// # Errors
    /// Returns an error when settings can't be written or the program can't be started.
    pub fn replace(&self, control: usize) -> io::Result<()> {
        let Some(place) = self.places.replace(control) else {
            return self.control(control).start_again();
        };
        let mut successor = self.start_process(Place::Control(place), "control", false)?;
        let mut process = self.control(control);
        successor.own_ends = process.own_ends;
        *process = successor;
        for n in 0..self.shape.routers {
            self.write_settings(Place::Router(n), false)?;
        }
        Ok(())
    }

    /// Takes the disk of a control host that does not run.
    ///
    /// # Errors
    /// Returns an error when the folder can't be removed.
    pub fn wipe(&self, control: usize) -> io::Result<()> {
        let name = name_of(Place::Control(self.places.place(control)));
        let data = self.folder.join(format!("{name}.data"));
        match std::fs::remove_dir_all(data) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Processes that ended by themselves, by name.
    pub fn own_ends(&self) -> Vec<(String, u32)> {
        let controls =
            (0..self.shape.controls).map(|n| (Place::Control(n), self.control(n).own_ends));
        let routers = (0..self.shape.routers).map(|n| (Place::Router(n), self.router(n).own_ends));
        let ended = controls.chain(routers).filter(|(_, ends)| *ends > 0);
        ended.map(|(place, ends)| (name_of(place), ends)).collect()
    }
}

fn name_of(place: Place) -> String {
    match place {
        Place::Control(n) => format!("control-{n}"),
        Place::Router(n) => format!("router-{n}"),
        Place::Upstream(n) => format!("upstream-{n}"),
        Place::Outside => "outside".to_owned(),
    }
}
