//! An evacuation is ended and started again while one control host is cut off from the others. The first order, which
//! that host had passed on, is applied after the ones that were acknowledged since.

use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Host, Plan, ip};
use crate::http::{connect, read_answer};
use crate::operator::send_until_done;
use crate::record::Record;
use crate::upstream::{Upstream, UpstreamPlan, answer_after};

const BOUNDS: &str = "contact_ms = 4000\nconfig_deadline_ms = 2500\nfail_closed = true\nrevoke_ms = 5000\n\
    evacuate_ms = 5000\ngrace_s = 8\ndrain_ms = 2500\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
    budget_slack = 142";
const CONTROLS: u8 = 3;
/// How long one control host is cut off from the others.
const CUT: Duration = Duration::from_millis(1_700);
/// Time from the acknowledgement of an evacuation after which no request may reach the zone, and by how much an
/// unstable core stretches it at most.
const EVACUATE: Duration = Duration::from_millis(5_000);
const MAX_SKEW: Duration = Duration::from_millis(6_000);
/// The evacuated domain, whose upstream is the first.
const EVACUATED: &str = "kalutara";
const REQUESTS: u32 = 40;

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let plan = Plan {
        controls: CONTROLS,
        routers: vec!["colombo"],
        domains: vec!["colombo", "gampaha", EVACUATED],
        bounds: BOUNDS,
        router_memory_mb: 96,
    };
    let fleet = Fleet::start(plan, record)?;
    let controls = fleet.control_addresses();
    let order = |first: u8, path: &str, body: &str| {
        let timeout = Duration::from_secs(8);
        send_until_done(&controls, first.into(), path, body, timeout, record)
    };
    let start = format!("/Evacuate.Start/{EVACUATED}");
    let end = format!("/Evacuate.End/{EVACUATED}");
    order(0, "/Config.Put", CONFIG)?;
    let mut upstreams = Vec::new();
    for (n, domain) in [EVACUATED, "gampaha"].into_iter().enumerate() {
        let plan = UpstreamPlan {
            id: &format!("i-{domain}"),
            service: "desk",
            domain,
            address: fleet.upstream_address(n as u8),
            respond: answer_after(Duration::from_millis(60)),
        };
        upstreams.push(Upstream::start(plan, controls.clone(), record)?);
    }
    fleet.wait_until_ready(Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));
    order(0, &start, "")?;
    sleep(EVACUATE);

    let leader = (0..CONTROLS)
        .find(|n| fleet.has_logged(Host::Control(*n), "CFN-0040"))
        .ok_or_else(|| io::Error::other("no control host leads"))?;
    let (follower, other) = ((leader + 1) % CONTROLS, (leader + 2) % CONTROLS);
    record.line(format!("control-{leader} leads the group"));
    let cut = |is_cut| {
        for n in [leader, other] {
            fleet
                .cuts
                .set(ip(Host::Control(n)), ip(Host::Control(follower)), is_cut);
        }
    };
    let cut_at = record.now();
    if has_trouble {
        record.line(format!(
            "control-{follower} is cut off from the other control hosts"
        ));
        cut(true);
    }
    // Gets no response from the host that is cut off, and moves on to the next.
    order(follower, &end, "")?;
    order(other, &start, "")?;
    let acked = record.now();
    if has_trouble {
        sleep((cut_at + CUT).saturating_sub(record.now()));
        cut(false);
        record.line("the paths between the control hosts are whole again");
    }
    sleep((acked + EVACUATE + MAX_SKEW).saturating_sub(record.now()));
    let late_from = record.now();
    for n in 0..REQUESTS {
        let status = request(fleet.client_address(0), n)?;
        record.line(format!("request late-{n} is answered {status}"));
    }
    let runs = upstreams[0].runs();
    let late = runs.iter().filter(|run| run.at > late_from).count();
    Ok(match late {
        0 => Verdict::Held,
        late => Verdict::Broken(format!(
            "{late} of {REQUESTS} requests ran in the evacuated zone, the first {:.1} s after the acknowledgement",
            (late_from - acked).as_secs_f64()
        )),
    })
}

/// Sends a request on a connection of its own; returns the status line of the answer.
fn request(router: SocketAddr, n: u32) -> io::Result<String> {
    let mut stream = connect(router, Duration::from_secs(2))?;
    write!(
        stream,
        "GET /read/{n} HTTP/1.1\r\nHost: desk.example\r\nX-Coltsfootnotch-Request-Id: late-{n}\r\n\
         X-Coltsfootnotch-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-binu\r\n\r\n"
    )?;
    Ok(read_answer(&mut BufReader::new(stream))?.head.line)
}

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"read\",\"host\":\"desk.example\",\
    \"path_prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
    \"service\":\"desk\",\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\",\
    \"health_path\":\"/healthz\",\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"binu\",\"api_keys\":[\"key-of-binu\"],\"priority\":1}]}";
