//! Completions, resuming, cancelling, queueing and crashes of the fake engine.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::Duration;

use coltsfootnotch_fakes::{
    EngineConfig, EngineHandle, POISON_MARKER, expected_answer, expected_token,
};
use googletest::prelude::*;
use serde_json::{Value, json};

fn engine(adjust: impl FnOnce(&mut EngineConfig)) -> EngineHandle {
    let mut cfg = EngineConfig::new("spec-llm-1", "spec-llm");
    adjust(&mut cfg);
    EngineHandle::start(cfg).expect("a loopback port is free")
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)));
    config.build().into()
}

fn chat(prompt: &str, max_tokens: u32, stream: bool) -> String {
    let message = json!({"role": "user", "content": prompt});
    json!({"messages": [message], "max_tokens": max_tokens, "stream": stream}).to_string()
}

fn url(engine: &EngineHandle, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

/// Returns the contents of a stream's chunks and its finish reason.
fn read_stream(body: ureq::Body) -> (Vec<String>, String) {
    let (mut tokens, mut reason) = (Vec::new(), String::new());
    for line in BufReader::new(body.into_reader()).lines() {
        let line = line.expect("the stream is complete");
        let Some(data) = line.strip_prefix("data: ").filter(|data| *data != "[DONE]") else {
            continue;
        };
        let chunk: Value = serde_json::from_str(data).expect("a chunk is JSON");
        let choice = &chunk["choices"][0];
        tokens.extend(choice["delta"]["content"].as_str().map(str::to_owned));
        reason.push_str(choice["finish_reason"].as_str().unwrap_or_default());
    }
    (tokens, reason)
}

#[gtest]
fn an_answer_is_determined_by_its_prompt() {
    let engine = engine(|_| {});
    let mut response = agent()
        .post(url(&engine, "/v1/chat/completions"))
        .send(chat("primer for a wet slab", 5, false))
        .expect("the engine responds");
    let answer: Value = serde_json::from_reader(response.body_mut().as_reader()).expect("JSON");
    let content = answer["choices"][0]["message"]["content"].as_str();
    expect_that!(
        content,
        some(eq(expected_answer("primer for a wet slab", 5).as_str()))
    );
    expect_that!(answer["usage"]["completion_tokens"], eq(&json!(5)));
    expect_that!(engine.runs("primer for a wet slab"), eq(1));
}

#[gtest]
fn a_stream_resumes_at_the_requested_token() {
    let engine = engine(|_| {});
    let response = agent()
        .post(url(&engine, "/v1/chat/completions"))
        .header("x-attempt-id", "a-1")
        .header("x-resume-from", "3")
        .send(chat("topcoat", 5, true))
        .expect("the engine responds");
    let (tokens, reason) = read_stream(response.into_body());
    let expected = vec![expected_token("topcoat", 3), expected_token("topcoat", 4)];
    expect_that!(tokens, eq(&expected));
    expect_that!(reason, eq("length"));
    expect_that!(engine.stats().resumed, eq(1));
}

#[gtest]
fn a_cancelled_stream_reports_it_and_releases_its_slot() {
    let engine = engine(|cfg| cfg.slots = 1);
    let response = agent()
        .post(url(&engine, "/v1/chat/completions"))
        .header("x-attempt-id", "a-2")
        .send(chat("screed", 20_000, true))
        .expect("the engine responds");
    let cancel = agent()
        .delete(url(&engine, "/v1/attempts/a-2"))
        .call()
        .expect("the engine responds");
    expect_that!(cancel.status().as_u16(), eq(204));
    let (_, reason) = read_stream(response.into_body());
    expect_that!(reason, eq("cancelled"));
    expect_that!(engine.stats().cancelled, eq(1));
    expect_that!(engine.stats().running, eq(0));
}

#[gtest]
fn requests_beyond_the_slots_wait_in_the_engine() {
    let engine = engine(|cfg| cfg.slots = 2);
    let url = url(&engine, "/v1/chat/completions");
    thread::scope(|scope| {
        for caller in 0..6 {
            let url = &url;
            scope.spawn(move || {
                let prompt = format!("caller {caller}");
                agent().post(url).send(chat(&prompt, 20, false)).map(drop)
            });
        }
    });
    let stats = engine.stats();
    expect_that!(stats.finished, eq(6));
    expect_that!(stats.max_waiting, ge(1));
    expect_that!(stats.running + stats.waiting, eq(0));
}

// A request with the crash marker drops the connections of all callers, not only its own, and the port
// stays closed until the engine restarts.
#[gtest]
fn a_request_with_the_crash_marker_drops_every_connection() {
    let engine = engine(|cfg| cfg.down_after_crash = Duration::from_millis(300));
    let url = url(&engine, "/v1/chat/completions");
    let bystander = agent()
        .post(&url)
        .send(chat("bystander", 20_000, true))
        .expect("the engine responds");
    let crashing = agent().post(&url).send(chat(POISON_MARKER, 5, false));
    expect_that!(crashing.is_err(), eq(true));
    let is_aborted = BufReader::new(bystander.into_body().into_reader())
        .lines()
        .any(|line| line.is_err());
    expect_that!(is_aborted, eq(true));
    let mut restarted = false;
    for _ in 0..200 {
        restarted = agent().post(&url).send(chat("again", 2, false)).is_ok();
        if restarted {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    expect_that!(restarted, eq(true));
    expect_that!(engine.stats().crashes, eq(1));
}

#[gtest]
fn a_stale_fencing_number_is_refused() {
    let engine = engine(|_| {});
    let order = |fence: u64| {
        let body = json!({"fence": fence, "order": "load", "name": "menu-adapter"});
        let response = agent()
            .post(url(&engine, "/v1/orders"))
            .send(body.to_string());
        response.expect("the engine responds").status().as_u16()
    };
    expect_that!([order(7), order(6), order(7)], eq([200, 409, 200]));
}
