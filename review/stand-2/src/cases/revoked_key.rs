//! A key is taken away while a router is cut off from the control hosts. A request that the router has begun to read
//! as the cut ends runs with the account of that key.

use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Host, Plan, ip};
use crate::http::{connect, read_answer};
use crate::operator::send_until_done;
use crate::record::{Record, lock};
use crate::upstream::{Upstream, UpstreamPlan, answer_after};

const BOUNDS: &str = "contact_ms = 3000\nconfig_deadline_ms = 2000\nfail_closed = true\nrevoke_ms = 5000\n\
    grace_s = 8\ndrain_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 116";

/// The domains of the deployment; two routers in each.
const DOMAINS: [&str; 3] = ["jhb-north", "jhb-south", "pta-east"];
/// Time from the acknowledgement after which no request with the key may run.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long one router of six is cut off.
const CUT: Duration = Duration::from_millis(5_400);
/// Interval of the requests with the key.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time that a client takes for the body of a request.
const BODY_TIME: Duration = Duration::from_millis(900);
/// Parts that a body is sent in.
const BODY_PARTS: u32 = 9;
const PART_BYTES: usize = 400;

const ROUTER: u8 = 0;
const CONTROLS: u8 = 3;

/// A request with the key.
struct Sent {
    id: String,
    began: Duration,
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let plan = Plan {
        controls: CONTROLS,
        routers: DOMAINS.iter().chain(&DOMAINS).copied().collect(),
        domains: DOMAINS.to_vec(),
        bounds: BOUNDS,
        router_memory_mb: 96,
    };
    let fleet = Fleet::start(plan, record)?;
    let controls = fleet.control_addresses();
    let upstream = UpstreamPlan {
        id: "i-desk-1",
        service: "desk",
        domain: DOMAINS[0],
        address: fleet.upstream_address(0),
        respond: answer_after(Duration::from_millis(15)),
    };
    let put = |version, keys: &str| {
        let body = config(version, keys);
        send_until_done(
            &controls,
            0,
            "/Config.Put",
            &body,
            Duration::from_secs(10),
            record,
        )
    };
    put(1, "\"key-of-bistro\"")?;
    let upstream = Upstream::start(upstream, controls.clone(), record)?;
    fleet.wait_until_ready(Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));
    let router = fleet.client_address(ROUTER);
    let (id, began) = ("before".to_owned(), record.now());
    send(router, &Sent { id, began }, Duration::ZERO, record);
    if upstream.runs().is_empty() {
        return Err(io::Error::other(
            "the key doesn't work before it is taken away",
        ));
    }

    let cut = |is_cut| {
        for n in 0..CONTROLS {
            fleet
                .cuts
                .set(ip(Host::Router(ROUTER)), ip(Host::Control(n)), is_cut);
        }
    };
    let cut_at = record.now();
    if has_trouble {
        record.line("router-0 is cut off from all control hosts");
        cut(true);
    }
    put(2, "\"other-key-of-bistro\"")?;
    let acked = record.now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    sleep((acked + REVOKE + Duration::from_millis(20)).saturating_sub(record.now()));
    let mut is_healed = !has_trouble;
    let until = acked + REVOKE + Duration::from_secs(5);
    for n in 0.. {
        if !is_healed && record.now() >= cut_at + CUT {
            is_healed = true;
            record.line("the path between router-0 and the control hosts is whole again");
            cut(false);
        }
        if record.now() >= until {
            break;
        }
        let (record, sent) = (record.clone(), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let request = Sent {
                id: format!("revoked-{n}"),
                began: record.now(),
            };
            send(router, &request, BODY_TIME, &record);
            lock(&sent).push(request);
        }));
        sleep(INTERVAL);
    }
    for client in clients {
        let _ended = client.join();
    }
    let runs = upstream.runs();
    let late = lock(&sent);
    let late: Vec<_> = late
        .iter()
        .filter(|request| request.began > acked + REVOKE)
        .filter(|request| {
            let has_id = |id| id == Some(request.id.as_str());
            runs.iter()
                .any(|r| has_id(r.head.get("x-coltsfootnotch-request-id")))
        })
        .collect();
    Ok(match late.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "{} requests ran whose key was taken away; {} was sent {:.0} ms after the acknowledgement",
            late.len(),
            first.id,
            (first.began - acked).as_secs_f64() * 1e3
        )),
    })
}

fn config(version: u32, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"print\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/print/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":100,\
         \"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":220,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bistro\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}

/// Sends a request with the key, its body in parts over `body_time`, and notes the answer.
fn send(router: SocketAddr, request: &Sent, body_time: Duration, record: &Record) {
    let id = &request.id;
    record.line(format!(
        "a client sends request {id} with the key to router-0"
    ));
    match exchange(router, id, body_time) {
        Ok(line) => record.line(format!("request {id} is answered {line}")),
        Err(e) => record.line(format!("request {id} gets no answer: {e}")),
    }
}

fn exchange(router: SocketAddr, id: &str, body_time: Duration) -> io::Result<String> {
    let mut stream = connect(router, Duration::from_secs(3))?;
    let len = PART_BYTES * BODY_PARTS as usize;
    write!(
        stream,
        "POST /print/1 HTTP/1.1\r\nHost: desk.example\r\nX-Coltsfootnotch-Request-Id: {id}\r\n\
         X-Coltsfootnotch-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-bistro\r\n\
         Content-Length: {len}\r\n\r\n"
    )?;
    for part in 0..BODY_PARTS {
        if part > 0 {
            sleep(body_time / (BODY_PARTS - 1));
        }
        if stream.write_all(&[b'x'; PART_BYTES]).is_err() {
            // The router has answered and closed the connection.
            break;
        }
    }
    let answer = read_answer(&mut BufReader::new(stream))?;
    Ok(answer.head.line)
}
