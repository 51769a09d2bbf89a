//! Replicas leave without draining: they say so to one node, which acknowledges it and is killed right after.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{CONTACT, DRAIN, Fleet, Role};
use crate::http::{call, request};
use crate::record::Record;
use crate::replica::{Received, Replica};
use crate::setup::{Verdict, make_ready, read_order};

/// Replicas that leave at the same time, of as many and two.
const LEAVING: usize = 6;
const STAYING: usize = 2;
/// Time for which a replica serves after its leave call: `drain_ms` and some seconds.
const SERVES_FOR: Duration = Duration::from_millis(7_500);
/// Time after which the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Interval of the requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Requests that replicas have received: which replica, and when.
type Arrivals = Arc<Mutex<Vec<(String, Duration)>>>;

/// Runs the case.
pub fn case(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::start(record)?;
    let arrivals = Arrivals::default();
    let mut replicas = Vec::new();
    for n in 0..LEAVING + STAYING {
        let arrivals = Arc::clone(&arrivals);
        let id = format!("i-{:08x}", 0x5a17_0000 + n);
        let spec = (id.as_str(), "member-desk", ["colombo", "gampaha", "kalutara"][n % 3], 6);
        let first = usize::from(n >= LEAVING);
        replicas.push(Replica::start(record, spec, fleet.controls(), first, move |replica, req, stream| {
            serve(replica, req, stream, &arrivals)
        })?);
    }
    if !make_ready(record, &fleet, 64, true) {
        return Ok(Verdict::NotRun);
    }
    let acked = leave(record, &mut fleet, &replicas[..LEAVING], has_trouble);
    let left_at = record.now();
    if has_trouble {
        thread::sleep(RESTART_AFTER);
        fleet.restart(0, Role::Control)?;
    }
    let in_touch_from = record.now() + CONTACT;
    send_until(record, &fleet, left_at + SERVES_FOR);
    replicas[..LEAVING].iter().for_each(|replica| replica.crash());
    let arrivals = arrivals.lock().unwrap_or_else(|e| e.into_inner());
    Ok(judge(record, &acked, &arrivals, in_touch_from))
}

fn serve(replica: &Replica, req: &Received, stream: &mut TcpStream, arrivals: &Arrivals) -> bool {
    let arrived = (replica.id.clone(), req.at);
    arrivals.lock().unwrap_or_else(|e| e.into_inner()).push(arrived);
    thread::sleep(SERVICE_TIME);
    let body = "o".repeat(800);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}",
        req.answer_headers(replica),
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// Has replicas leave; kills the process that serves control on the first machine once it has acknowledged that to one
/// of them. Returns those to which it was acknowledged, with the time. A replica without an acknowledgement calls
/// another node.
fn leave(
    record: &Arc<Record>,
    fleet: &mut Fleet,
    replicas: &[Arc<Replica>],
    has_trouble: bool,
) -> Vec<(String, Duration)> {
    let is_acked = Arc::new(AtomicBool::new(false));
    let (control, other) = (fleet.control(0), fleet.control(1));
    let calls: Vec<_> = replicas
        .iter()
        .map(|replica| {
            let (replica, is_acked) = (Arc::clone(replica), Arc::clone(&is_acked));
            thread::spawn(move || {
                replica.set_leaving();
                let at = leave_at(&replica, control, &is_acked);
                let at = at.or_else(|| leave_again(&replica, other));
                Some((replica.id.clone(), at?))
            })
        })
        .collect();
    let start = Instant::now();
    while !is_acked.load(Ordering::Acquire) && start.elapsed() < Duration::from_secs(2) {
        std::hint::spin_loop();
    }
    if has_trouble {
        let _was_running = fleet.process(0, Role::Control).kill();
        record.note("platform: SIGKILL to control of machine 0, right after an ack");
    }
    calls.into_iter().filter_map(|c| c.join().ok().flatten()).collect()
}

/// Sends the leave call and waits for its acknowledgement.
fn leave_at(replica: &Replica, control: SocketAddr, is_acked: &AtomicBool) -> Option<Duration> {
    let mut stream = TcpStream::connect(control).ok()?;
    let path = format!("/Instances.Leave/{}", replica.id);
    let headers = "Content-Type: application/json\r\n";
    let text = request("POST", &path, &control.to_string(), headers, &replica.leave_body());
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    let start = Instant::now();
    let mut buf = [0; 256];
    while start.elapsed() < Duration::from_secs(1) {
        match stream.read(&mut buf) {
            Ok(len) if buf[..len].starts_with(b"HTTP/1.1 200") => {
                is_acked.store(true, Ordering::Release);
                return Some(replica.record.note(format!("replica {}: {control} acknowledges that it leaves", replica.id)));
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::hint::spin_loop(),
            Ok(_) | Err(_) => break,
        }
    }
    replica.record.note(format!("replica {}: no ack of {control}", replica.id));
    None
}

fn leave_again(replica: &Replica, control: SocketAddr) -> Option<Duration> {
    let path = format!("/Instances.Leave/{}", replica.id);
    let headers = "Content-Type: application/json\r\n";
    let answer = call(control, "POST", &path, headers, &replica.leave_body(), Duration::from_secs(1));
    let is_acked = answer.is_ok_and(|(status, _)| status == 200);
    is_acked.then(|| replica.record.note(format!("replica {}: {control} acknowledges that it leaves", replica.id)))
}

/// Reads orders through the two other machines until then.
fn send_until(record: &Record, fleet: &Fleet, until: Duration) {
    let mut n = 0;
    while record.now() < until {
        n += 1;
        let status = read_order(fleet, 1 + n % 2, &format!("r{n}"));
        if status != 200 {
            record.note(format!("client r{n}: status {status}"));
        }
        thread::sleep(REQUEST_INTERVAL);
    }
}

/// DRAIN: a request reaches a replica later than `drain_ms` after a machine in touch acknowledged that it is gone, sent
/// on by machines in touch.
fn judge(
    record: &Record,
    acked: &[(String, Duration)],
    arrivals: &[(String, Duration)],
    in_touch_from: Duration,
) -> Verdict {
    let mut late = 0;
    for (id, at) in acked {
        let since = (*at + DRAIN).max(in_touch_from);
        let count = arrivals.iter().filter(|(replica, arrived)| replica == id && *arrived > since).count();
        let any = arrivals.iter().filter(|(replica, arrived)| replica == id && *arrived > *at + DRAIN).count();
        record.note(format!(
            "judge: {id} left at {:.4}; {any} requests later than drain_ms after it, {count} of them from machines in touch",
            at.as_secs_f64()
        ));
        late += count;
    }
    record.note(format!("judge: {late} requests reached replicas that had left"));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
