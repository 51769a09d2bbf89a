//! Rate limits of client accounts in a running fleet.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

use coltsfootnotch::ops::fleet::{Fleet, FleetPlan, demo_key};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITED_ACCOUNT: &str = "small-applicator";
const REQUESTS: usize = 20;

fn list_models(entry: SocketAddr, account: &str) -> String {
    let key = demo_key(account);
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: e\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
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
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

// Of twenty simultaneous requests of an account limited to one a second, those over the limit are
// refused with 429, Retry-After and "run":"no", and reach no engine. Other accounts, and calls that
// use no capacity, are not limited.
#[gtest]
fn an_account_over_its_rate_limit_gets_retry_after() {
    let mut plan = FleetPlan::demo();
    let limited = plan
        .accounts
        .iter_mut()
        .find(|account| account.name == LIMITED_ACCOUNT)
        .unwrap();
    limited.requests_per_s = Some(1);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(3)).unwrap();
    let entry = fleet.http_addresses()[0];
    let threads: Vec<_> = (0..REQUESTS)
        .map(|_| thread::spawn(move || chat(entry, LIMITED_ACCOUNT)))
        .collect();
    let responses: Vec<String> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let refused = responses
        .iter()
        .filter(|response| response.starts_with("HTTP/1.1 429"))
        .count();
    let served = responses
        .iter()
        .filter(|response| response.starts_with("HTTP/1.1 200"))
        .count();
    expect_that!(refused, gt(0));
    expect_that!(served, gt(0));
    expect_that!(refused + served, eq(REQUESTS));
    let refusal = responses
        .iter()
        .find(|response| response.starts_with("HTTP/1.1 429"))
        .unwrap();
    expect_that!(refusal.to_lowercase(), contains_substring("retry-after: 1"));
    expect_that!(refusal, contains_substring(r#""type":"rate_limited""#));
    expect_that!(refusal, contains_substring(r#""run":"no""#));
    let finished: u64 = fleet
        .engines()
        .iter()
        .map(|engine| engine.stats().finished)
        .sum();
    expect_that!(finished, eq(served as u64));
    expect_that!(chat(entry, "large-contractor"), starts_with("HTTP/1.1 200"));
    expect_that!(
        list_models(entry, LIMITED_ACCOUNT),
        starts_with("HTTP/1.1 200")
    );
    fleet.stop();
}
