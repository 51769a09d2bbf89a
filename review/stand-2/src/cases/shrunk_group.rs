//! Of five control hosts one is isolated and one restarts; both come back and have their time to catch up. Then two
//! lose their disks, as the deployment states that it bears, and what was acknowledged is gone.

use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Host, Plan, ip};
use crate::http::call;
use crate::operator::send_until_done;
use crate::record::Record;

const BOUNDS: &str = "contact_ms = 5000\nack_timeout_ms = 6000\ncatch_up_s = 6\nconfig_deadline_ms = 3000\n\
    fail_closed = true\nrevoke_ms = 5000\nrecovery_s = 15\ngrace_s = 8\ndrain_ms = 3000\n\
    retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 180";
const CONTROLS: u8 = 5;
/// How long one control host is isolated.
const ISOLATED: Duration = Duration::from_secs(11);
/// When another is killed after that has begun, and how long it is down.
const KILLED_AFTER: Duration = Duration::from_millis(8_600);
const DOWN: Duration = Duration::from_millis(3_500);
/// Time after which a machine that is back counts as lost no more, and some more.
const CATCH_UP: Duration = Duration::from_secs(6);
const MARGIN: Duration = Duration::from_secs(3);
/// How long the two are down whose disks are lost, and how long the configuration is asked for afterwards.
const WIPED_DOWN: Duration = Duration::from_millis(1_600);
const RECOVERY: Duration = Duration::from_secs(15);
const READ_FOR: Duration = Duration::from_secs(10);

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let plan = Plan {
        controls: CONTROLS,
        routers: vec!["colombo"],
        domains: vec!["colombo", "gampaha", "kalutara", "negombo", "kelaniya"],
        bounds: BOUNDS,
        router_memory_mb: 96,
    };
    let fleet = Fleet::start(plan, record)?;
    let controls = fleet.control_addresses();
    let put = |version: u32| {
        let body = format!("{{\"version\":{version},\"routes\":[],\"services\":[]}}");
        send_until_done(
            &controls,
            0,
            "/Config.Put",
            &body,
            Duration::from_secs(10),
            record,
        )
    };
    put(1)?;
    // All five are members by then.
    sleep(Duration::from_secs(6));
    let leader = (0..CONTROLS)
        .find(|n| fleet.has_logged(Host::Control(*n), "CFN-0040"))
        .ok_or_else(|| io::Error::other("no control host leads"))?;
    let others: Vec<u8> = (1..CONTROLS).map(|n| (leader + n) % CONTROLS).collect();
    let (isolated, restarted, wiped) = (others[0], others[1], [leader, others[2]]);
    record.line(format!("control-{leader} leads the group"));

    let isolate = |is_cut| {
        for n in (0..CONTROLS).filter(|n| *n != isolated) {
            fleet
                .cuts
                .set(ip(Host::Control(isolated)), ip(Host::Control(n)), is_cut);
        }
        fleet
            .cuts
            .set(ip(Host::Control(isolated)), ip(Host::Router(0)), is_cut);
    };
    if has_trouble {
        let began = Instant::now();
        record.line(format!("control-{isolated} is isolated"));
        isolate(true);
        sleep(KILLED_AFTER);
        fleet.kill(Host::Control(restarted))?;
        sleep(ISOLATED.saturating_sub(began.elapsed()));
        isolate(false);
        record.line(format!("control-{isolated} is isolated no more"));
        sleep((KILLED_AFTER + DOWN).saturating_sub(began.elapsed()));
        fleet.start_process(Host::Control(restarted), false)?;
        sleep(CATCH_UP + MARGIN);
    }
    put(2)?;
    for n in wiped {
        fleet.kill(Host::Control(n))?;
        fleet.wipe(n)?;
    }
    sleep(WIPED_DOWN);
    for n in wiped {
        fleet.start_process(Host::Control(n), false)?;
    }
    sleep(RECOVERY);
    let until = Instant::now() + READ_FOR;
    let mut last = String::new();
    while Instant::now() < until {
        for (n, control) in controls.iter().enumerate() {
            match call(*control, "GET", "/Config.Get", "", Duration::from_secs(1)) {
                Ok(answer) if answer.head.status() == 200 => {
                    let body: String = answer.body.chars().take(40).collect();
                    record.line(format!("control-{n} reads {body}"));
                    return Ok(if answer.body.starts_with("{\"version\":2,") {
                        Verdict::Held
                    } else {
                        Verdict::Broken(format!("version 2 was acknowledged, {body} is read"))
                    });
                }
                Ok(answer) => last = answer.head.line,
                Err(e) => last = e.to_string(),
            }
            record.line(format!("control-{n} gives no configuration: {last}"));
        }
        sleep(Duration::from_millis(500));
    }
    if let Err(e) = put(3) {
        record.line(format!("version 3 is not accepted: {e}"));
    }
    // Members that were added and removed, and voters that a member without a leader lacks.
    for n in 0..CONTROLS {
        for code in ["CFN-0047", "CFN-0091"] {
            for line in fleet.log_lines(Host::Control(n), code) {
                record.line(format!("log of control-{n}: {line}"));
            }
        }
    }
    Ok(Verdict::Broken(format!(
        "version 2 was acknowledged, and no control host gives it {} s after two of five disks were lost: {last}",
        (RECOVERY + READ_FOR).as_secs()
    )))
}
