//! One run: a fleet, stand-ins, a schedule and its verdict.

use std::io;
use std::net::SocketAddr;
use std::path::{Path as FilePath, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::book::{Book, Counts, Finding};
use crate::caller::Client;
use crate::disturbed::Disturbed;
use crate::fleet::{Addresses, Fleet};
use crate::operator::{Calls, Operator, SERVICES};
use crate::process::wait_until;
use crate::proxy::{Path, Place};
use crate::schedule::{Schedule, Shape};
use crate::stage::Stage;
use crate::upstream::Upstream;

/// Longest time for a fleet to be ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// Part of the run at its end in which requests are to be served.
const SERVED_IN_THE_LAST: Duration = Duration::from_secs(4);
/// Where the addresses of upstreams begin in their place's ports.
const UPSTREAM_PORT: u16 = 9_000;

/// Why a run can't be made.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A process, address or file can't be had.
    #[display("the run can't be set up")]
    Io(io::Error),
    /// The fleet did not become ready.
    #[display("the fleet was not ready within {READY_WITHIN:?}")]
    #[from(skip)]
    NotReady,
    /// It was told to stop.
    #[display("the run was told to stop")]
    #[from(skip)]
    Stopped,
}

/// A run to be made.
#[derive(Debug, Clone)]
pub struct Soak {
    /// Gives the schedule.
    pub seed: u64,
    /// How long it lasts, once the fleet is ready.
    pub length: Duration,
    /// How many of everything there are.
    pub shape: Shape,
    /// Clients for each router.
    pub clients: usize,
    /// Whether a control host that loses its disk is gone for good, and an empty one comes at another
    /// address.
    pub replaces: bool,
    /// The platform's program.
    pub binary: PathBuf,
    /// Block of loopback addresses; two runs at once need two.
    pub block: u8,
    /// Folder for settings, state and logs; it must be empty.
    pub folder: PathBuf,
    /// Whether each step is printed as it begins.
    pub prints: bool,
}

/// What a run found.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Broken promises, by time.
    pub findings: Vec<Finding>,
    /// What was seen.
    pub counts: Counts,
    /// Share of requests served at the end.
    pub recovered: f64,
    /// Steps that were played.
    pub steps: usize,
}

impl Soak {
    /// Makes the run. Told to stop by a signal it ends every process that it started.
    ///
    /// # Errors
    /// Returns an error when it can't be set up, or is told to stop.
    pub async fn run(&self) -> Result<Outcome, RunError> {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            outcome = self.play() => outcome,
            _ = terminate.recv() => Err(RunError::Stopped),
            _ = tokio::signal::ctrl_c() => Err(RunError::Stopped),
        }
    }

    async fn play(&self) -> Result<Outcome, RunError> {
        let schedule = Schedule::draw(self.seed, self.length, self.shape);
        let addresses = Addresses::new(self.block);
        let fleet = Fleet::start(&self.binary, &self.folder, addresses, self.shape).await?;
        let stage = Arc::new(self.stage(fleet).await?);
        self.wait_until_ready(&stage).await?;
        let mut tasks = self.start_callers(&stage);
        let began = stage.book.now();
        for step in &schedule.steps {
            sleep((began + step.at).saturating_sub(stage.book.now())).await;
            if self.prints {
                println!("{step}");
            }
            let (stage, step) = (Arc::clone(&stage), *step);
            tasks.spawn(async move { stage.play(step).await });
        }
        sleep((began + schedule.length).saturating_sub(stage.book.now())).await;
        stage.read_back_at_last(self.shape.controls).await;
        tasks.shutdown().await;
        Ok(stage.verdict(schedule.steps.len()))
    }

    async fn stage(&self, fleet: Fleet) -> io::Result<Stage> {
        let addresses = fleet.addresses;
        let book = Book::new();
        let calls = Calls::new(addresses, fleet.places.clone());
        let operator = Operator::new(calls.clone(), book.clone());
        let disturbed = Disturbed::new(self.shape.routers);
        let mut upstreams = Vec::new();
        for n in 0..self.shape.upstreams {
            let place = Place::Upstream(n);
            let bound = SocketAddr::new(addresses.bound(place), UPSTREAM_PORT);
            let reached = SocketAddr::new(addresses.reached(place), UPSTREAM_PORT);
            let path = Path {
                from: Place::Outside,
                to: place,
            };
            crate::proxy::proxy_tcp(reached, bound, path, fleet.rules.clone()).await?;
            let (seen, clock) = (disturbed.clone(), book.clone());
            let calm = move || seen.is_calm(clock.now());
            let service = SERVICES[n % SERVICES.len()];
            let mut upstream = Upstream::new(
                n,
                service,
                (bound, reached),
                book.clone(),
                calls.clone(),
                Arc::new(calm),
            );
            upstream.start().await?;
            upstreams.push(tokio::sync::Mutex::new(upstream));
        }
        Ok(Stage {
            fleet,
            book,
            operator,
            upstreams,
            disturbed,
            replaces: self.replaces,
        })
    }

    async fn wait_until_ready(&self, stage: &Stage) -> Result<(), RunError> {
        let first = tokio::time::timeout(READY_WITHIN, stage.operator.change()).await;
        first.map_err(|_| RunError::NotReady)?;
        stage.fleet.end_first_start()?;
        for router in 0..self.shape.routers {
            let at = stage.fleet.addresses.readiness(router);
            let is_ready = || ready(at);
            if !wait_until(READY_WITHIN, is_ready).await {
                return Err(RunError::NotReady);
            }
        }
        Ok(())
    }

    fn start_callers(&self, stage: &Arc<Stage>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let book = stage
            .book
            .counting_from(stage.book.now() + self.length.saturating_sub(SERVED_IN_THE_LAST));
        for number in 0..self.shape.routers * self.clients {
            let (seen, clock) = (stage.disturbed.clone(), stage.book.clone());
            let client = Client {
                number,
                addresses: stage.fleet.addresses,
                routers: self.shape.routers,
                book: book.clone(),
                operator: stage.operator.clone(),
                planned_only: Arc::new(move |router| seen.is_planned_only(router, clock.now())),
            };
            tasks.spawn(client.work(self.seed ^ (number as u64 + 1)));
        }
        tasks.spawn(stage.operator.clone().work(self.seed));
        tasks
    }
}

fn ready(at: SocketAddr) -> bool {
    let url = format!(
        "http://{at}{}",
        coltsfootnotch_platform_peers::READINESS_PATH
    );
    ureq::get(&url).call().is_ok()
}

/// What a folder holds of a run, for a message about it.
#[must_use]
pub fn logs_of(folder: &FilePath) -> String {
    format!("logs, settings and state in {}", folder.display())
}
