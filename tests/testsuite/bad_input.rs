//! Invalid requests: garbage, bodies and headers that are too large, and missing or unknown keys.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use coltsfootnotch::ops::fleet::{Fleet, FleetPlan, demo_key};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const READ_TIMEOUT: Duration = Duration::from_secs(20);
const GARBAGE_ROUNDS: usize = 200;

/// Sends bytes and reads the response; empty if the connection is closed without one.
fn exchange(entry: SocketAddr, bytes: &[u8]) -> String {
    send(entry, bytes, false)
}

/// As [`exchange`]; `hang_up` also closes the sending side, which an entry handles as a disconnect.
fn send(entry: SocketAddr, bytes: &[u8], hang_up: bool) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The entry may respond and close before it has read everything.
    let _written = stream.write_all(bytes);
    if hang_up {
        let _closed = stream.shutdown(Shutdown::Write);
    }
    let mut response = Vec::new();
    let _reset = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
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

fn summarize_refusal(response: &str) -> String {
    let status = response.lines().next().unwrap_or("closed");
    let json_field = |name: &str| {
        let prefix = format!("\"{name}\":\"");
        let rest = response.split_once(&prefix).map_or("-", |(_, rest)| rest);
        rest.split('"').next().unwrap_or("-").to_owned()
    };
    let has_retry_after = response.to_lowercase().contains("retry-after:");
    format!(
        "{status} | {} | run {} | retry-after {has_retry_after}",
        json_field("type"),
        json_field("run")
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
        .map(|(name, bytes)| format!("{name}: {}\n", summarize_refusal(&exchange(entry, &bytes))));
    lines.collect()
}

fn send_garbage(entry: SocketAddr, rng: &mut impl Rng) {
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
        let response = send(entry, &bytes, true);
        assert_that!(response.contains(" 200 "), eq(false));
    }
}

// An invalid request gets a typed refusal with "run":"no" or a closed connection, and the entry
// goes on serving others. Bodies and headers are bounded, so invalid requests can't exhaust it.
#[gtest]
fn bad_requests_are_refused_and_the_entry_serves_on() {
    let mut rng = StdRng::seed_from_u64(7);
    let fleet = Fleet::start(&FleetPlan::demo(), &mut rng).unwrap();
    let entry = fleet.http_addresses()[0];
    insta::assert_snapshot!(typed_refusals(entry));
    send_garbage(entry, &mut rng);
    let many_headers = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(100_000));
    expect_false!(exchange(entry, many_headers.as_bytes()).contains(" 200 "));
    let key = bearer("small-applicator");
    let body =
        r#"{"model":"spec-llm","messages":[{"role":"user","content":"hello"}],"max_tokens":3}"#;
    let valid = request(
        "POST",
        "/v1/chat/completions",
        &[("authorization", &key)],
        body,
    );
    expect_that!(exchange(entry, &valid), starts_with("HTTP/1.1 200 OK"));
    fleet.stop();
}
