//! A machine is told to stop while streams run that it has taken. Their replica makes no event for a time, as one does
//! that has preempted a request, and goes on.

use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use crate::client::{Outcome, read_stream};
use crate::engine::{Plan, Run, Runs, run};
use crate::fleet::{Fleet, GRACE, Role};
use crate::record::Record;
use crate::replica::Replica;
use crate::setup::{Verdict, make_ready};

/// Streams that a replica which is short of memory preempts, and as many that it goes on with.
const STREAMS: usize = 6;
/// Path of the streams that are preempted there.
const PAUSED: &str = "/notes/paused";
const EVENTS: u64 = 40;
const INTERVAL: Duration = Duration::from_millis(50);
/// The replica pauses after this event, for much less than clients wait: they leave after eight target pauses, 2.4 s.
const PAUSE_AFTER: u64 = 12;
const PAUSE: Duration = Duration::from_millis(1_350);
/// Prompt tokens, and the most output tokens: 70 events of 4 tokens.
const USAGE: &str = "543,280";
const BUDGET_MS: u64 = 15_000;
/// Time from the requests to the SIGTERM; all streams have begun.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// Runs the case.
pub fn case(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::start(record)?;
    let runs = Runs::default();
    // The replica that is short of memory: the one that gets the first of these streams. The other one has room.
    let short = Arc::new(OnceLock::<String>::new());
    let mut replicas = Vec::new();
    for (id, zone) in [("i-7f3a91c2", "colombo"), ("i-02be66d1", "gampaha")] {
        let (runs, short) = (Arc::clone(&runs), Arc::clone(&short));
        let spec = (id, "spec-llm", zone, 64);
        replicas.push(Replica::start(
            record,
            spec,
            fleet.controls(),
            0,
            move |replica, req, stream| {
                let pauses =
                    req.path() == PAUSED && *short.get_or_init(|| replica.id.clone()) == replica.id;
                run(replica, req, stream, plan(req.path(), pauses), &runs)
            },
        )?);
    }
    if !make_ready(record, &fleet, 64) {
        return Ok(Verdict::NotRun);
    }
    let front = fleet.front(0);
    let clients: Vec<_> = (0..STREAMS * 2)
        .map(|n| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let path = if n % 2 == 0 { PAUSED } else { "/notes/plain" };
                let id = format!("s{n}");
                read_stream(
                    &record,
                    front,
                    (&id, path, USAGE),
                    BUDGET_MS,
                    Duration::from_millis(2_400),
                )
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_at = record.note("all streams have begun");
    if has_trouble {
        for role in [Role::Router, Role::Control] {
            fleet.signal(0, role, "TERM");
        }
    }
    let answers: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner());
    Ok(judge(record, &answers, &runs, stopped_at))
}

fn plan(path: &str, pauses: bool) -> Plan {
    Plan {
        first: Duration::from_millis(30),
        interval: INTERVAL,
        last: if path == "/notes/warm" { 2 } else { EVENTS },
        pause: pauses.then_some((PAUSE_AFTER, PAUSE)),
    }
}

/// LOST: around a SIGTERM of its machine, a request that was passed on to a replica ends without a complete answer.
/// Not counted: the replica broke off, the time is over, or the replica was still at work in the last sixth of the
/// time to stop.
fn judge(record: &Record, answers: &[Outcome], runs: &[Run], stopped_at: Duration) -> Verdict {
    let last_sixth = stopped_at + GRACE * 5 / 6;
    let mut lost = 0;
    for (n, answer) in answers.iter().enumerate() {
        if answer.is_whole(EVENTS) {
            continue;
        }
        let id = format!("s{n}");
        let of_request: Vec<&Run> = runs.iter().filter(|run| run.id == id).collect();
        let is_cut = !of_request.is_empty() && of_request.iter().all(|run| run.was_closed);
        let is_early =
            answer.ended_at < last_sixth && of_request.iter().all(|run| run.ended < last_sixth);
        record.note(format!(
            "judge: {id} has no complete answer; passed on {} times, cut by its machine {is_cut}, before the last \
             sixth of grace_s {is_early}",
            of_request.len()
        ));
        lost += u32::from(is_cut && is_early);
    }
    record.note(format!(
        "judge: {lost} of {} streams are lost",
        answers.len()
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
