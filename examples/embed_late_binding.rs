//! Late binding as a library: one entry core, one sidecar core, no socket and no daemon.
//!
//! One account has twenty requests waiting when another comes with two. The sidecar has four slots;
//! each that comes free pulls the request of the account that had less service per weight.

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

/// What each request turns out to cost.
const COST: ServiceUnits = ServiceUnits(100);
/// How long each runs.
const RUN: Duration = Duration::from_millis(50);
/// Time between two announcements of the upstream.
const ANNOUNCED_EVERY: Duration = Duration::from_secs(1);
/// Announcements before the requests come: a new upstream gets its whole share in ten seconds.
const ANNOUNCEMENTS: u32 = 12;
/// How long an announcement holds and callers wait; longer than the whole example.
const LONG: Duration = Duration::from_secs(60);
/// Enough turns for every request.
const TURNS: u32 = 20;

/// Both cores, and the runs in progress.
struct Pair {
    entry: EntryCore,
    sidecar: SidecarCore,
    entry_host: HostName,
    running: VecDeque<(Duration, AttemptId)>,
    started: Vec<AccountName>,
}

fn main() -> Result<(), Box<dyn Error>> {
    for (place, account) in run()?.iter().enumerate() {
        println!("{:>2} {account}", place + 1);
    }
    Ok(())
}

/// The accounts in the order in which their requests were started.
pub(crate) fn run() -> Result<Vec<AccountName>, Box<dyn Error>> {
    let mut pair = pair()?;
    for request in 0..20 {
        pair.entry.submit(waiting(request, "large-contractor")?);
    }
    for request in 20..22 {
        pair.entry.submit(waiting(request, "small-applicator")?);
    }
    let begin = ANNOUNCED_EVERY * ANNOUNCEMENTS;
    for turn in 0..TURNS {
        pair.turn(begin + RUN * turn);
    }
    Ok(pair.started)
}

fn pair() -> Result<Pair, Box<dyn Error>> {
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
        announce(&mut sidecar, ANNOUNCED_EVERY * announcement)?;
    }
    sidecar.on_entry_connected(Duration::ZERO, entry_host.clone());
    entry.on_sidecar_connected(sidecar_host, sidecar_run, domain);
    Ok(Pair {
        entry,
        sidecar,
        entry_host,
        running: VecDeque::new(),
        started: vec![],
    })
}

fn announce(sidecar: &mut SidecarCore, now: Duration) -> Result<(), Box<dyn Error>> {
    let update = UpstreamUpdate {
        live_until: now + LONG,
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

fn waiting(request: u64, account: &str) -> Result<QueuedRequest, Box<dyn Error>> {
    Ok(QueuedRequest {
        request,
        attempt: 0,
        account: AccountName::new(account)?,
        pool: PoolName::new("spec-llm")?,
        arrived: Duration::ZERO,
        deadline: LONG,
        estimate: COST,
        prefix: 0,
        repeatable: true,
        avoid: vec![],
    })
}

impl Pair {
    /// Ends the runs that are due, then carries messages until neither core has any.
    fn turn(&mut self, now: Duration) {
        while let Some((_, attempt)) = self.running.pop_front_if(|(end, _)| *end <= now) {
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
                .for_each(|action| self.at_entry(now, action));
            to_sidecar
                .into_iter()
                .for_each(|action| self.at_sidecar(now, action));
        }
    }

    fn at_entry(&mut self, now: Duration, action: SidecarAction) {
        if let SidecarAction::Send { message, .. } = action {
            let sidecar = HostName::new("spec-llm-1").expect("a name");
            self.entry.on_message(now, &sidecar, message);
        }
    }

    fn at_sidecar(&mut self, now: Duration, action: EntryAction) {
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
                        // The upstream answers at once: without a first piece its window shrinks.
                        self.sidecar.on_first_chunk(now, attempt);
                        self.started.push(waiting.account);
                        self.running.push_back((now + RUN, attempt));
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
    waiting: &QueuedRequest,
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
        account: waiting.account.clone(),
        pool: waiting.pool.clone(),
        sidecar,
        content: [0; 32],
        repeatable: waiting.repeatable,
        suspected_of: vec![],
        estimate: waiting.estimate,
        deadline_ms: 60_000,
        call,
    }
}
