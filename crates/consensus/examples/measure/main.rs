//! Benchmark of the replicated log with real syncs: three members in one process, each with one
//! thread for its core and one for its storage.
//!
//! `cargo run --release -p coltsfootnotch-consensus --example measure -- [folder]`
//!
//! Prints commits per second, commits per sync and latency for several numbers of concurrent
//! proposals, then restart time and size of the data folder after 500 and 5,000 changes. `folder`
//! is for the members' data; by default, a temporary folder is used.

mod member;

use std::error::Error;
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use coltsfootnotch_consensus::storage::{Storage, StorageConfig};
use coltsfootnotch_consensus::{Core, CoreConfig, MemberId};
use coltsfootnotch_types::HostName;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::member::{Input, Member, Report};

type BoxResult<T> = Result<T, Box<dyn Error>>;

/// Bytes of one change; a typical small configuration change.
const CHANGE_BYTES: usize = 400;
const MEMBERS: usize = 3;

struct Running {
    members: Vec<Member>,
    reports: Receiver<Report>,
    leader: usize,
}

fn config(dir: &Path, host: usize) -> BoxResult<StorageConfig> {
    let name = format!("control-{host}");
    Ok(StorageConfig::new(dir.join(&name), HostName::new(&name)?))
}

fn start(dir: &Path) -> BoxResult<Running> {
    let mut rng = StdRng::seed_from_u64(1);
    let start_time = Instant::now();
    let mut stopped_members = Vec::new();
    for host in 0..MEMBERS {
        let (storage, recovered) = Storage::open(&config(dir, host)?, &mut rng)?;
        let id = recovered.member.clone();
        let core = Core::new(CoreConfig::default(), recovered, Duration::ZERO, &mut rng);
        stopped_members.push((id, core, storage));
    }
    let ids: Vec<MemberId> = stopped_members.iter().map(|(id, ..)| id.clone()).collect();
    stopped_members[0].1.bootstrap(Duration::ZERO, ids)?;

    let (report_tx, reports) = mpsc::channel();
    let inboxes: Vec<_> = stopped_members.iter().map(|_| mpsc::channel()).collect();
    let peers: Vec<_> = stopped_members
        .iter()
        .map(|(id, ..)| id.clone())
        .zip(inboxes.iter().map(|b| b.0.clone()))
        .collect();
    let mut members = Vec::new();
    for (index, ((_, core, storage), (tx, rx))) in
        stopped_members.into_iter().zip(inboxes).enumerate()
    {
        let link = member::Link {
            index,
            start_time,
            tx,
            rx,
            peers: peers.clone(),
            reports: report_tx.clone(),
        };
        members.push(Member::start(core, storage, link));
    }
    let leader = loop {
        if let Report::Elected(index) = reports.recv()? {
            break index;
        }
    };
    Ok(Running {
        members,
        reports,
        leader,
    })
}

impl Running {
    /// Proposes `count` changes with at most `window` in flight; returns the latencies.
    fn load(&self, count: usize, window: usize) -> BoxResult<Vec<Duration>> {
        let leader = &self.members[self.leader];
        let mut started: Vec<Instant> = Vec::with_capacity(count);
        let mut latencies = Vec::with_capacity(count);
        while latencies.len() < count {
            while started.len() < count && started.len() - latencies.len() < window {
                leader
                    .tx
                    .send(Input::Propose(vec![started.len() as u8; CHANGE_BYTES]))?;
                started.push(Instant::now());
            }
            match self.reports.recv()? {
                Report::Committed => latencies.push(started[latencies.len()].elapsed()),
                Report::Elected(_) | Report::Refused => return Err("the leader changed".into()),
            }
        }
        Ok(latencies)
    }

    fn stop(self) -> BoxResult<Vec<u64>> {
        self.members.into_iter().map(Member::stop).collect()
    }
}

fn measure_load(dir: &Path, count: usize, window: usize) -> BoxResult<()> {
    let running = start(dir)?;
    let leader = running.leader;
    let start_time = Instant::now();
    let mut latencies = running.load(count, window)?;
    let seconds = start_time.elapsed().as_secs_f64();
    let syncs = running.stop()?[leader];
    latencies.sort_unstable();
    let latency_at =
        |quantile: f64| latencies[((count - 1) as f64 * quantile) as usize].as_secs_f64() * 1e3;
    println!(
        "{window:>5} in flight: {:>7.0} commits/s, {:>6.1} commits per sync of the leader, p50 {:.2} ms, p99 {:.2} ms",
        count as f64 / seconds,
        count as f64 / syncs as f64,
        latency_at(0.5),
        latency_at(0.99),
    );
    Ok(())
}

fn folder_bytes(dir: &Path) -> BoxResult<u64> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(dir)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}

fn measure_restart(dir: &Path, changes: usize) -> BoxResult<()> {
    const WINDOW: usize = 8;
    let running = start(dir)?;
    let leader = running.leader;
    running.load(changes, WINDOW)?;
    running.stop()?;
    let cfg = config(dir, leader)?;
    let bytes = folder_bytes(&cfg.dir)?;
    let mut rng = StdRng::seed_from_u64(2);
    let start_time = Instant::now();
    let (_storage, recovered) = Storage::open(&cfg, &mut rng)?;
    let entries = recovered.entries.len();
    let core = Core::new(CoreConfig::default(), recovered, Duration::ZERO, &mut rng);
    let elapsed = start_time.elapsed();
    println!(
        "after {changes:>5} changes of {CHANGE_BYTES} bytes: {:.0} KiB on disk, restart {:.1} ms (snapshot at {}, {entries} entries after it)",
        bytes as f64 / 1024.0,
        elapsed.as_secs_f64() * 1e3,
        core.status().snapshot,
    );
    Ok(())
}

fn main() -> BoxResult<()> {
    let temp_dir = tempfile::tempdir()?;
    let dir = std::env::args_os().nth(1);
    let dir = dir.map_or_else(|| temp_dir.path().to_owned(), Into::into);
    for (window, count) in [(1, 500), (8, 4_000), (64, 20_000), (512, 60_000)] {
        measure_load(&dir.join(format!("load-{window}")), count, window)?;
    }
    for changes in [500, 5_000] {
        measure_restart(&dir.join(format!("changes-{changes}")), changes)?;
    }
    Ok(())
}
