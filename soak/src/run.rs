//! Runs a schedule against a fleet and evaluates the result.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path as FilePath, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::client::Client;
use crate::disturbances::Disturbances;
use crate::fleet::{Addresses, Fleet};
use crate::notices::Notices;
use crate::operator::{ControlClient, Operator, SERVICES};
use crate::process::wait_until;
use crate::proxy::{Endpoint, Path};
use crate::recorder::{Counts, Finding, Invariant, Recorder};
use crate::resuming_client::{RESUMING_CLIENTS, ResumingClient};
use crate::scenario::Scenario;
use crate::schedule::{FleetSize, Schedule};
use crate::slow_client::{SLOW_CLIENTS, SlowClient};
use crate::upstream::Upstream;

/// Time limit for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Final part of the run, in which requests must be served again.
const RECOVERY_WINDOW: Duration = Duration::from_secs(4);
/// Time between two checks of the routers' memory.
const MEMORY_INTERVAL: Duration = Duration::from_millis(200);
/// Port of all upstreams.
const UPSTREAM_PORT: u16 = 9_000;

/// Errors that prevent or end a run.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A process, socket or file operation failed.
    #[display("the run failed")]
    Io(io::Error),
    /// The fleet did not become ready.
    #[display("the fleet was not ready within {READY_TIMEOUT:?}")]
    #[from(skip)]
    NotReady,
    /// The run was stopped by a signal.
    #[display("the run was stopped by a signal")]
    #[from(skip)]
    Stopped,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Soak {
    /// Seed of the schedule and of the clients and operators.
    pub seed: u64,
    /// Length of the run once the fleet is ready.
    pub length: Duration,
    /// Number of hosts and upstreams.
    pub size: FleetSize,
    /// Clients per router.
    pub clients: usize,
    /// Whether a control host that loses its disk is replaced by an empty one at another address.
    pub replaces_hosts: bool,
    /// Whether upstreams also refuse requests and ask for pauses.
    pub has_refusals: bool,
    /// Whether upstreams also send responses that end with their connection.
    pub omits_framing: bool,
    /// Whether some clients send slowly or don't read.
    pub has_slow_clients: bool,
    /// Whether routers that are stopped are called on kept connections meanwhile.
    pub has_kept_callers: bool,
    /// Whether releases go on beside kills of all hosts, with clients that resume their streams.
    pub has_releases: bool,
    /// The platform's program.
    pub binary: PathBuf,
    /// Block of loopback addresses; concurrent runs need different blocks.
    pub block: u8,
    /// Folder for settings, state and logs; it must be empty.
    pub folder: PathBuf,
    /// Whether to print each step when it starts.
    pub prints_steps: bool,
}

/// The result of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Violated invariants, by time.
    pub findings: Vec<Finding>,
    /// Counts of requests and configurations.
    pub counts: Counts,
    /// Share of requests served after the last fault.
    pub recovered: f64,
    /// Number of steps in the schedule.
    pub steps: usize,
}

impl Soak {
    /// Performs the run. On SIGTERM or SIGINT it kills every process that it started.
    ///
    /// # Errors
    /// Returns an error when the run can't be set up or is stopped by a signal.
    pub async fn run(&self) -> Result<Outcome, RunError> {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            outcome = self.run_schedule() => outcome,
            _ = terminate.recv() => Err(RunError::Stopped),
            _ = tokio::signal::ctrl_c() => Err(RunError::Stopped),
        }
    }

    async fn run_schedule(&self) -> Result<Outcome, RunError> {
        let mut schedule = Schedule::draw(self.seed, self.length, self.size);
        if self.has_refusals {
            schedule = schedule.with_refusals(self.seed, self.size);
        }
        if self.omits_framing {
            schedule = schedule.with_omitted_framing(self.seed, self.size);
        }
        if self.has_releases {
            schedule = schedule.with_releases(self.seed);
        }
        let addresses = Addresses::new(self.block);
        let fleet = Fleet::start(&self.binary, &self.folder, addresses, self.size).await?;
        let scenario = Arc::new(self.start_scenario(fleet).await?);
        self.wait_until_ready(&scenario).await?;
        let mut tasks = self.start_clients(&scenario);
        let started = scenario.recorder.now();
        for step in &schedule.steps {
            sleep((started + step.at).saturating_sub(scenario.recorder.now())).await;
            if self.prints_steps {
                println!("{step}");
            }
            let (scenario, step) = (Arc::clone(&scenario), *step);
            tasks.spawn(async move { scenario.run_step(step).await });
        }
        sleep((started + schedule.length).saturating_sub(scenario.recorder.now())).await;
        scenario.check_last_configuration(self.size.controls).await;
        tasks.shutdown().await;
        Ok(scenario.finish(schedule.steps.len()))
    }

    async fn start_scenario(&self, fleet: Fleet) -> io::Result<Scenario> {
        let addresses = fleet.addresses;
        let recorder = Recorder::new();
        let control_client = ControlClient::new(addresses, fleet.slots.clone());
        let operator = Operator::new(control_client.clone(), recorder.clone());
        let disturbances = Disturbances::new(self.size.routers);
        let notices = Notices::new(recorder.clone(), disturbances.clone());
        let mut upstreams = Vec::new();
        for n in 0..self.size.upstreams {
            let endpoint = Endpoint::Upstream(n);
            let bound = SocketAddr::new(addresses.bind_ip(endpoint), UPSTREAM_PORT);
            let proxied = SocketAddr::new(addresses.proxy_ip(endpoint), UPSTREAM_PORT);
            let path = Path {
                from: Endpoint::Outside,
                to: endpoint,
            };
            crate::proxy::proxy_tcp(proxied, bound, path, fleet.rules.clone()).await?;
            let (disturbances, clock) = (disturbances.clone(), recorder.clone());
            let is_undisturbed = move || disturbances.is_undisturbed(clock.now());
            let service = SERVICES[n % SERVICES.len()];
            let mut upstream = Upstream::new(
                n,
                service,
                (bound, proxied),
                (recorder.clone(), notices.clone()),
                control_client.clone(),
                Arc::new(is_undisturbed),
            );
            upstream.start().await?;
            upstreams.push(tokio::sync::Mutex::new(upstream));
        }
        Ok(Scenario {
            fleet,
            recorder,
            notices,
            operator,
            upstreams,
            disturbances,
            replaces_hosts: self.replaces_hosts,
            has_kept_callers: self.has_kept_callers,
        })
    }

    async fn wait_until_ready(&self, scenario: &Scenario) -> Result<(), RunError> {
        let first = tokio::time::timeout(READY_TIMEOUT, scenario.operator.put_next()).await;
        first.map_err(|_| RunError::NotReady)?;
        scenario.fleet.end_first_start()?;
        for router in 0..self.size.routers {
            let at = scenario.fleet.addresses.readiness_address(router);
            let is_ready = || is_router_ready(at);
            if !wait_until(READY_TIMEOUT, is_ready).await {
                return Err(RunError::NotReady);
            }
        }
        Ok(())
    }

    fn start_slow_clients(&self, scenario: &Arc<Scenario>, tasks: &mut JoinSet<()>) {
        for number in 0..self.size.routers * SLOW_CLIENTS {
            let client = SlowClient {
                number,
                addresses: scenario.fleet.addresses,
                routers: self.size.routers,
                recorder: scenario.recorder.clone(),
            };
            tasks.spawn(client.run(!self.seed ^ (number as u64 + 1)));
        }
        tasks.spawn(watch_memory(Arc::clone(scenario)));
    }

    fn start_resuming_clients(&self, scenario: &Arc<Scenario>, tasks: &mut JoinSet<()>) {
        for number in 0..self.size.routers * RESUMING_CLIENTS {
            let client = ResumingClient {
                number,
                addresses: scenario.fleet.addresses,
                routers: self.size.routers,
                recorder: scenario.recorder.clone(),
            };
            tasks.spawn(client.run(self.seed.rotate_left(8) ^ (number as u64 + 1)));
        }
    }

    fn start_clients(&self, scenario: &Arc<Scenario>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let recorder = scenario.recorder.with_recovery_from(
            scenario.recorder.now() + self.length.saturating_sub(RECOVERY_WINDOW),
        );
        for number in 0..self.size.routers * self.clients {
            let (disturbances, clock) = (scenario.disturbances.clone(), scenario.recorder.clone());
            let client = Client {
                number,
                addresses: scenario.fleet.addresses,
                routers: self.size.routers,
                recorder: recorder.clone(),
                notices: scenario.notices.clone(),
                operator: scenario.operator.clone(),
                is_planned_stop_only: Arc::new(move |router| {
                    disturbances.is_planned_stop_only(router, clock.now())
                }),
            };
            tasks.spawn(client.run(self.seed ^ (number as u64 + 1)));
        }
        if self.has_releases {
            self.start_resuming_clients(scenario, &mut tasks);
        }
        if self.has_slow_clients {
            self.start_slow_clients(scenario, &mut tasks);
        }
        tasks.spawn(scenario.operator.clone().run(self.seed));
        tasks
    }
}

/// Checks the memory of the routers until its task is aborted; reports each excess once.
async fn watch_memory(scenario: Arc<Scenario>) {
    let mut reported = HashSet::new();
    loop {
        for (router, mb) in scenario.fleet.routers_over_memory() {
            let what = format!("{router} uses {mb} MB");
            if reported.insert(router) {
                scenario.recorder.report(Invariant::WithinMemory, what);
            }
        }
        sleep(MEMORY_INTERVAL).await;
    }
}

fn is_router_ready(at: SocketAddr) -> bool {
    let url = format!(
        "http://{at}{}",
        coltsfootnotch_platform_peers::READINESS_PATH
    );
    ureq::get(&url).call().is_ok()
}

/// Describes the contents of a run's folder.
#[must_use]
pub fn logs_of(folder: &FilePath) -> String {
    format!("logs, settings and state in {}", folder.display())
}
