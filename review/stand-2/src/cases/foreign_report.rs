//! A liveness report of another writer lacks a field, so it names no replica to use. It is accepted all the same, and
//! requests of one service run at a replica of another.

use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Plan};
use crate::http::{call, connect, read_answer};
use crate::operator::send_until_done;
use crate::record::Record;
use crate::upstream::{Upstream, UpstreamPlan, answer_after};

const BOUNDS: &str = "contact_ms = 3000\nconfig_deadline_ms = 2000\nfail_closed = true\nrevoke_ms = 5000\n\
    grace_s = 8\ndrain_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 128";
const CONTROLS: u8 = 3;
const REQUESTS: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(50);
/// Number of the foreign report; those of the replica itself are lower.
const FOREIGN_SEQUENCE: u32 = 1_000;

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let plan = Plan {
        controls: CONTROLS,
        routers: vec!["colombo"],
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
    let start = |n: u8, service: &'static str| {
        let plan = UpstreamPlan {
            id: &format!("i-{service}-1"),
            service,
            domain: "colombo",
            address: fleet.upstream_address(n),
            respond: answer_after(Duration::from_millis(30)),
        };
        Upstream::start(plan, controls.clone(), record)
    };
    let (desk, ledger) = (start(0, "desk")?, start(1, "ledger")?);
    fleet.wait_until_ready(Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));
    if has_trouble {
        // All that the replica itself says but for its `version`, and with the other service.
        let body = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"colombo\",\"slots\":64,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{FOREIGN_SEQUENCE},\"born\":{}}}",
            ledger.address, ledger.born
        );
        let path = format!("/Instances.Heartbeat/{}", ledger.id);
        let answer = call(controls[0], "POST", &path, &body, Duration::from_secs(1))?;
        record.line(format!("another writer sends POST {path} {body}"));
        record.line(format!("another writer gets {}", answer.head.line));
    }
    for n in 0..REQUESTS {
        let status = request(fleet.client_address(0), n)?;
        record.line(format!("request book-{n} is answered {status}"));
        sleep(INTERVAL);
    }
    let at_desk = desk.runs().len();
    let wrong = ledger
        .runs()
        .iter()
        .filter(|run| run.head.path().starts_with("/book/"))
        .count();
    record.line(format!("{at_desk} requests ran at desk, {wrong} at ledger"));
    Ok(match wrong {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{wrong} of {REQUESTS} requests of a route to desk ran at ledger"
        )),
    })
}

/// Sends a request on a connection of its own; returns the status line of the answer.
fn request(router: SocketAddr, n: u32) -> io::Result<String> {
    let mut stream = connect(router, Duration::from_secs(2))?;
    write!(
        stream,
        "POST /book/{n} HTTP/1.1\r\nHost: desk.example\r\nX-Coltsfootnotch-Request-Id: book-{n}\r\n\
         X-Coltsfootnotch-Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-binu\r\nContent-Length: 5\r\n\r\norder"
    )?;
    Ok(read_answer(&mut BufReader::new(stream))?.head.line)
}

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":\"desk.example\",\
    \"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\
    \"service\":\"desk\",\"max_attempts\":1,\"public\":false},{\"name\":\"ledger\",\"host\":\"ledger.example\",\
    \"path_prefix\":\"/ledger/\",\"kind\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\
    \"service\":\"ledger\",\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\",\
    \"health_path\":\"/healthz\",\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"ledger\",\
    \"health_path\":\"/healthz\",\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"binu\",\"api_keys\":[\"key-of-binu\"],\"priority\":1}]}";
