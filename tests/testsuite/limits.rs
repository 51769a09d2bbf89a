//! Limits of a client account in the real path.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

use coltsfootnotch::ops::fleet::{Fleet, FleetPlan, demo_key};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITED: &str = "small-applicator";
const REQUESTS: usize = 20;

fn ask(entry: SocketAddr, account: &str) -> String {
    let key = demo_key(account);
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: e\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn chat(entry: SocketAddr, account: &str) -> String {
    let key = demo_key(account);
    let body = r#"{"model":"spec-llm","messages":[{"role":"user","content":"hi"}],"max_tokens":1}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

// An account may send one request a second and sends twenty at once. Some are refused with 429, a
// time to come back and "run":"no"; none of these reached an engine. Another account at the same
// entry, and calls that cost no capacity, are not touched.
#[gtest]
fn an_account_over_its_rate_is_told_when_to_come_back() {
    let mut plan = FleetPlan::demo();
    let limited = plan
        .accounts
        .iter_mut()
        .find(|account| account.name == LIMITED)
        .unwrap();
    limited.requests_per_s = Some(1);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(3)).unwrap();
    let entry = fleet.callers()[0];
    let asking: Vec<_> = (0..REQUESTS)
        .map(|_| thread::spawn(move || chat(entry, LIMITED)))
        .collect();
    let answers: Vec<String> = asking
        .into_iter()
        .map(|asked| asked.join().unwrap())
        .collect();
    let refused = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 429"))
        .count();
    let served = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 200"))
        .count();
    expect_that!(refused, gt(0));
    expect_that!(served, gt(0));
    expect_that!(refused + served, eq(REQUESTS));
    let one = answers
        .iter()
        .find(|answer| answer.starts_with("HTTP/1.1 429"))
        .unwrap();
    expect_that!(one.to_lowercase(), contains_substring("retry-after: 1"));
    expect_that!(one, contains_substring(r#""type":"rate_limited""#));
    expect_that!(one, contains_substring(r#""run":"no""#));
    let ran: u64 = fleet
        .engines()
        .iter()
        .map(|engine| engine.stats().finished)
        .sum();
    expect_that!(ran, eq(served as u64));
    expect_that!(chat(entry, "large-contractor"), starts_with("HTTP/1.1 200"));
    expect_that!(ask(entry, LIMITED), starts_with("HTTP/1.1 200"));
    fleet.stop();
}
