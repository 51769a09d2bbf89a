//! Late binding as a library: one entry core and one sidecar core, without sockets or daemons.
//!
//! One account submits twenty requests, then another submits two. Whenever a slot of the sidecar
//! becomes free, it pulls a request of the account with less service per weight.

use std::collections::VecDeque;
use std::error::Error;
use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::{
    EntryAction, EntryCore, QueuedRequest, RunOutcome, SidecarAction, SidecarConfig, SidecarCore,
    UpstreamUpdate,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, Call, OpenAttempt, OpenCause};

/// Actual cost of each request.
const COST: ServiceUnits = ServiceUnits(100);
/// Duration of each request.
const RUN_TIME: Duration = Duration::from_millis(50);
/// Interval between two announcements of the upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Announcements before the first request; a new upstream receives its full share after ten
/// seconds.
const ANNOUNCEMENTS: u32 = 12;
/// Validity of announcements and deadline of requests; longer than the example runs.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of steps; enough for all requests to start.
const STEPS: u32 = 20;

/// Both cores and the requests in progress.
struct Cores {
    entry: EntryCore,
    sidecar: SidecarCore,
    entry_host: HostName,
    running: VecDeque<(Duration, AttemptId)>,
    started: Vec<AccountName>,
}

fn main() -> Result<(), Box<dyn Error>> {
    for (index, account) in run()?.iter().enumerate() {
        println!("{:>2} {account}", index + 1);
    }
    Ok(())
}

/// Returns the account of each request, in the order in which the requests were started.
pub(crate) fn run() -> Result<Vec<AccountName>, Box<dyn Error>> {
    let mut cores = connected_cores()?;
    for request in 0..20 {
        cores
            .entry
            .submit(queued_request(request, "large-contractor")?);
    }
    for request in 20..22 {
        cores
            .entry
            .submit(queued_request(request, "small-applicator")?);
    }
    let first_request = ANNOUNCEMENT_INTERVAL * ANNOUNCEMENTS;
    for step in 0..STEPS {
        cores.step(first_request + RUN_TIME * step);
    }
    Ok(cores.started)
}

fn connected_cores() -> Result<Cores, Box<dyn Error>> {
    let (entry_run, sidecar_run) = (Incarnation(1), Incarnation(2));
    let domain = DomainName::new("colombo")?;
    let (entry_host, sidecar_host) = (HostName::new("entry-1")?, HostName::new("spec-llm-1")?);
    let mut entry = EntryCore::new(entry_run, domain.clone());
    let mut sidecar = SidecarCore::new(SidecarConfig {
        host: sidecar_host.clone(),
        incarnation: sidecar_run,
        policy: ChoicePolicy::Fair,
        horizon: ServiceUnits(1_000_000),
    });
    for announcement in 0..=ANNOUNCEMENTS {
        announce(&mut sidecar, ANNOUNCEMENT_INTERVAL * announcement)?;
    }
    sidecar.on_entry_connected(Duration::ZERO, entry_host.clone());
    entry.on_sidecar_connected(sidecar_host, sidecar_run, domain);
    Ok(Cores {
        entry,
        sidecar,
        entry_host,
        running: VecDeque::new(),
        started: vec![],
    })
}

fn announce(sidecar: &mut SidecarCore, now: Duration) -> Result<(), Box<dyn Error>> {
    let update = UpstreamUpdate {
        live_until: now + LONG_TIMEOUT,
        leaving: false,
        queued: 0,
        reported: now,
        targets: WindowTargets::model(),
    };
    let (upstream, pool) = (UpstreamName::new("spec-llm-1")?, PoolName::new("spec-llm")?);
    sidecar
        .upstreams_mut()
        .apply_announcement(now, upstream, pool, update);
    Ok(())
}

fn queued_request(request: u64, account: &str) -> Result<QueuedRequest, Box<dyn Error>> {
    Ok(QueuedRequest {
        request,
        attempt: 0,
        account: AccountName::new(account)?,
        pool: PoolName::new("spec-llm")?,
        arrived: Duration::ZERO,
        deadline: LONG_TIMEOUT,
        estimate: COST,
        prefix: 0,
        repeatable: true,
        avoid: vec![],
    })
}

impl Cores {
    /// Finishes the requests that are due, then delivers messages until neither core has any.
    fn step(&mut self, now: Duration) {
        while let Some((_, attempt)) = self.running.pop_front_if(|(due, _)| *due <= now) {
            self.sidecar
                .finish(now, attempt, COST, RunOutcome::Finished);
        }
        loop {
            let to_entry = self.sidecar.take_actions(now);
            let to_sidecar = self.entry.take_actions(now);
            if to_entry.is_empty() && to_sidecar.is_empty() {
                return;
            }
            to_entry
                .into_iter()
                .for_each(|action| self.on_sidecar_action(now, action));
            to_sidecar
                .into_iter()
                .for_each(|action| self.on_entry_action(now, action));
        }
    }

    fn on_sidecar_action(&mut self, now: Duration, action: SidecarAction) {
        if let SidecarAction::Send { message, .. } = action {
            let sidecar = HostName::new("spec-llm-1").expect("a name");
            self.entry.on_message(now, &sidecar, message);
        }
    }

    fn on_entry_action(&mut self, now: Duration, action: EntryAction) {
        match action {
            EntryAction::Send { message, .. } => {
                self.sidecar.on_message(now, &self.entry_host, message);
            }
            EntryAction::OpenAttempt {
                attempt,
                sidecar,
                cause,
                waiting,
                ..
            } => {
                let open = open_attempt(attempt, sidecar, cause, &waiting);
                match self.sidecar.try_start(now, &self.entry_host, &open) {
                    Ok(_upstream) => {
                        // The upstream answers at once; without a first chunk its window shrinks.
                        self.sidecar.on_first_chunk(now, attempt);
                        self.started.push(waiting.account);
                        self.running.push_back((now + RUN_TIME, attempt));
                    }
                    Err(_not_started) => self.entry.requeue(waiting),
                }
            }
            EntryAction::Expired { .. } => {}
        }
    }
}

fn open_attempt(
    attempt: AttemptId,
    sidecar: Incarnation,
    cause: OpenCause,
    queued: &QueuedRequest,
) -> OpenAttempt {
    let call = Call {
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: None,
        idempotency_key: None,
        body: vec![],
        stream: false,
    };
    OpenAttempt {
        attempt,
        cause,
        account: queued.account.clone(),
        pool: queued.pool.clone(),
        sidecar,
        content: [0; 32],
        prefix: 0,
        repeatable: queued.repeatable,
        suspected_of: vec![],
        estimate: queued.estimate,
        deadline_ms: 60_000,
        call,
    }
}
