//! Callers that send what they should not: garbage, too much, too slowly, with no or another's key.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use coltsfootnotch::ops::fleet::{Fleet, FleetPlan, demo_key};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const PATIENCE: Duration = Duration::from_secs(20);
const GARBAGE_ROUNDS: usize = 200;

/// Sends bytes and reads all that comes back; empty when the connection is just closed.
fn exchange(entry: SocketAddr, bytes: &[u8]) -> String {
    send(entry, bytes, false)
}

/// As [`exchange`]; `hang_up` closes the sending side, which an entry takes for a caller that has
/// gone.
fn send(entry: SocketAddr, bytes: &[u8], hang_up: bool) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    // The entry may close before it has read everything; what it answered is still to be read.
    let _refused_early = stream.write_all(bytes);
    if hang_up {
        let _closed = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

fn bearer(account: &str) -> String {
    format!("Bearer {}", demo_key(account))
}

fn refusal_of(answer: &str) -> String {
    let status = answer.lines().next().unwrap_or("closed");
    let detail = |name: &str| {
        let field = format!("\"{name}\":\"");
        let rest = answer.split_once(&field).map_or("-", |(_, rest)| rest);
        rest.split('"').next().unwrap_or("-").to_owned()
    };
    let retry = answer.to_lowercase().contains("retry-after:");
    format!(
        "{status} | {} | run {} | retry-after {retry}",
        detail("type"),
        detail("run")
    )
}

fn typed_refusals(entry: SocketAddr) -> String {
    let key = bearer("small-applicator");
    let auth = ("authorization", key.as_str());
    let chat = "/v1/chat/completions";
    let unknown_model = r#"{"model":"none","messages":[]}"#;
    let huge = "x".repeat(9 * 1024 * 1024);
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("no key", request("POST", chat, &[], "{}")),
        (
            "unknown key",
            request("POST", chat, &[("authorization", "Bearer nobody")], "{}"),
        ),
        ("body is not JSON", request("POST", chat, &[auth], "{")),
        (
            "unknown model",
            request("POST", chat, &[auth], unknown_model),
        ),
        ("unknown path", request("GET", "/nothing", &[auth], "")),
        (
            "call not listed",
            request("DELETE", "/member-desk/orders", &[auth], ""),
        ),
        (
            "booking without a key",
            request("POST", "/member-desk/orders", &[auth], "{}"),
        ),
        ("deadline is not a number", {
            let headers = [auth, ("x-deadline-ms", "soon")];
            request("GET", "/member-desk/orders/1", &headers, "")
        }),
        ("body too large", request("POST", chat, &[auth], &huge)),
    ];
    let lines = cases
        .into_iter()
        .map(|(name, bytes)| format!("{name}: {}\n", refusal_of(&exchange(entry, &bytes))));
    lines.collect()
}

fn garbage(entry: SocketAddr, rng: &mut impl Rng) {
    let valid = request(
        "POST",
        "/v1/chat/completions",
        &[],
        r#"{"model":"spec-llm"}"#,
    );
    for round in 0..GARBAGE_ROUNDS {
        let mut bytes = valid.clone();
        match round % 3 {
            0 => {
                bytes = vec![0; rng.random_range(1..2000)];
                rng.fill(bytes.as_mut_slice());
            }
            1 => bytes.truncate(rng.random_range(0..bytes.len())),
            _ => {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
        }
        let answer = send(entry, &bytes, true);
        assert_that!(answer.contains(" 200 "), eq(false));
    }
}

// A caller gets a typed refusal that says "run":"no", or its connection is closed; the entry goes on
// to serve others. Garbage never reaches the actor, a body is measured before it is kept, and the
// headers are bounded, so what is sent costs no more than one connection.
#[gtest]
fn bad_requests_are_refused_and_the_entry_serves_on() {
    let mut rng = StdRng::seed_from_u64(7);
    let fleet = Fleet::start(&FleetPlan::demo(), &mut rng).unwrap();
    let entry = fleet.callers()[0];
    insta::assert_snapshot!(typed_refusals(entry));
    garbage(entry, &mut rng);
    let many = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(100_000));
    expect_false!(exchange(entry, many.as_bytes()).contains(" 200 "));
    let key = bearer("small-applicator");
    let body =
        r#"{"model":"spec-llm","messages":[{"role":"user","content":"hello"}],"max_tokens":3}"#;
    let good = request(
        "POST",
        "/v1/chat/completions",
        &[("authorization", &key)],
        body,
    );
    expect_that!(exchange(entry, &good), starts_with("HTTP/1.1 200 OK"));
    fleet.stop();
}
