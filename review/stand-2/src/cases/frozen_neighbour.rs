//! A router that holds much for its clients hands new connections over to its neighbour. The neighbour freezes, and
//! clients of the first router get no answer within the time limit of their route.

use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Host, Plan};
use crate::http::{connect, read_answer};
use crate::operator::send_until_done;
use crate::record::Record;
use crate::upstream::{Upstream, UpstreamPlan, answer_after};

const BOUNDS: &str = "contact_ms = 3000\nconfig_deadline_ms = 2000\nfail_closed = true\nrevoke_ms = 5000\n\
    grace_s = 8\ndrain_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 128";
const CONTROLS: u8 = 3;
/// The router that clients connect to, and its neighbour.
const ROUTER: u8 = 0;
const NEIGHBOUR: u8 = 1;
/// Time limit of the route, and the time after it by which each request must be answered.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(500);
/// How long the neighbour stands still.
const FREEZE: Duration = Duration::from_millis(3_400);
/// Requests for long drafts that the router holds meanwhile, the size of each, and the work for it.
const DRAFTS: u32 = 340;
const DRAFT_BYTES: usize = 100_000;
const DRAFT_WORK: Duration = Duration::from_millis(4_700);
/// Requests that are sent as the neighbour stands still.
const REQUESTS: u32 = 40;

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let plan = Plan {
        controls: CONTROLS,
        routers: vec![
            "colombo", "colombo", "gampaha", "gampaha", "kalutara", "kalutara",
        ],
        domains: vec!["colombo", "gampaha", "kalutara"],
        bounds: BOUNDS,
        router_memory_mb: 96,
    };
    let fleet = Fleet::start(plan, record)?;
    let controls = fleet.control_addresses();
    send_until_done(
        &controls,
        0,
        "/Config.Put",
        CONFIG,
        Duration::from_secs(10),
        record,
    )?;
    let start = |n: u8, id, service, work| {
        let plan = UpstreamPlan {
            id,
            service,
            domain: "colombo",
            address: fleet.upstream_address(n),
            respond: answer_after(work),
        };
        Upstream::start(plan, controls.clone(), record)
    };
    start(0, "i-desk-1", "desk", Duration::from_millis(30))?;
    start(1, "i-llm-1", "llm", DRAFT_WORK)?;
    start(2, "i-llm-2", "llm", DRAFT_WORK)?;
    fleet.wait_until_ready(Duration::from_secs(20))?;
    sleep(Duration::from_secs(3));

    let router = fleet.client_address(ROUTER);
    let drafts: Vec<_> = (0..DRAFTS)
        .map(|n| {
            thread::spawn(move || {
                send(router, "/draft/", &format!("draft-{n}"), DRAFT_BYTES, 5_000)
            })
        })
        .collect();
    sleep(Duration::from_millis(700));
    if has_trouble {
        fleet.signal(Host::Router(NEIGHBOUR), "STOP")?;
    }
    let patience = FREEZE + Duration::from_secs(1);
    let sent: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("book-{n}");
                let began = Instant::now();
                record.line(format!("a client sends request {id} to router-0"));
                let answer = send(router, "/book/", &id, 5, patience.as_millis());
                let time = began.elapsed();
                match &answer {
                    Ok(line) => {
                        record.line(format!("request {id} is answered after {time:?}: {line}"))
                    }
                    Err(e) => record.line(format!("request {id} gets no answer in {time:?}: {e}")),
                }
                answer.is_ok().then_some(time)
            })
        })
        .collect();
    if has_trouble {
        sleep(FREEZE);
        fleet.signal(Host::Router(NEIGHBOUR), "CONT")?;
    }
    let times: Vec<_> = sent.into_iter().filter_map(|t| t.join().ok()).collect();
    let served = drafts.into_iter().filter_map(|t| t.join().ok());
    let served = served
        .filter(|d| d.as_ref().is_ok_and(|line| line.contains(" 200 ")))
        .count();
    record.line(format!("{served} of {DRAFTS} drafts were served"));
    let count = |limit: Duration| times.iter().filter(|t| t.is_none_or(|t| t > limit)).count();
    let (unanswered, late) = (count(TIMEOUT), count(TIMEOUT + SLACK));
    record.line(format!(
        "{unanswered} of {REQUESTS} had no answer at the time limit, {late} half a second later"
    ));
    Ok(if late >= 8 && 2 * late > unanswered {
        Verdict::Broken(format!(
            "{late} of {REQUESTS} requests to a router that nothing disturbs had no answer {} ms after the time limit",
            SLACK.as_millis()
        ))
    } else {
        Verdict::Held
    })
}

/// Sends a request on a connection of its own; returns the status line of the answer.
fn send(router: SocketAddr, path: &str, id: &str, len: usize, wait_ms: u128) -> io::Result<String> {
    let mut stream = connect(router, Duration::from_secs(3))?;
    stream.set_read_timeout(Some(Duration::from_millis(wait_ms as u64)))?;
    write!(
        stream,
        "POST {path}1 HTTP/1.1\r\nHost: desk.example\r\nX-Coltsfootnotch-Request-Id: {id}\r\n\
         X-Coltsfootnotch-Deadline-Ms: {wait_ms}\r\nAuthorization: Bearer key-of-binu\r\n\
         Content-Length: {len}\r\n\r\n"
    )?;
    stream.write_all(&vec![b'x'; len])?;
    Ok(read_answer(&mut BufReader::new(stream))?.head.line)
}

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":\"desk.example\",\
    \"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\
    \"service\":\"desk\",\"max_attempts\":1,\"public\":false},{\"name\":\"draft\",\"host\":\"desk.example\",\
    \"path_prefix\":\"/draft/\",\"kind\":\"safe\",\"timeout_ms\":5000,\"target_latency_ms\":800,\"priority\":2,\
    \"service\":\"llm\",\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\",\
    \"health_path\":\"/healthz\",\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false},\
    {\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":780,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"binu\",\"api_keys\":[\"key-of-binu\"],\"priority\":1}]}";
