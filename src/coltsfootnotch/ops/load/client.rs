//! One caller's HTTP: sends a request, reads the whole answer, and says what became of it.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_wire::Run;
use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

/// Longest time for one answer; longer than any deadline that the examples set for a run.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longest pause that a caller takes on a `Retry-After`, so that a short run still asks again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A chat completion to ask for.
#[derive(Debug, Clone)]
pub(super) struct ChatCall {
    pub(super) model: String,
    /// Contents of the messages, the system message first.
    pub(super) messages: [String; 2],
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

impl ChatCall {
    /// The prompt as the stand-in engine sees it.
    pub(super) fn prompt(&self) -> String {
        self.messages.join("\n")
    }

    fn body(&self) -> String {
        let [system, user] = &self.messages;
        json!({
            "model": self.model,
            "messages": [
                {"role": "system", "content": system},
                {"role": "user", "content": user},
            ],
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        })
        .to_string()
    }
}

/// What a caller was told when its request was not answered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Failure {
    /// HTTP status; 200 for a stream that ended in an error event.
    pub(super) status: u16,
    /// Whether it was run; `None` when the error doesn't say.
    pub(super) run: Option<Run>,
    /// Whether it is the upstream's own answer, passed on.
    pub(super) of_upstream: bool,
    /// When to ask again.
    pub(super) retry_after: Option<Duration>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Answer {
    /// The whole answer.
    Whole(String),
    /// An explicit error.
    Failed(Failure),
    /// The answer ended early without an error.
    Cut,
    /// No connection, or no answer in time.
    None,
}

/// What a caller sees while its answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// The head of the answer.
    Head,
    /// Further tokens.
    Tokens(u32),
}

/// A caller's connection to one address.
pub(super) struct Client {
    agent: Agent,
    address: SocketAddr,
    key: Option<String>,
}

impl Client {
    pub(super) fn new(address: SocketAddr, key: Option<String>) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .no_delay(true)
            .build()
            .into();
        Self {
            agent,
            address,
            key,
        }
    }

    /// Asks for a chat completion and reads it to its end.
    pub(super) fn chat(&self, call: &ChatCall, mut seen: impl FnMut(Progress)) -> Answer {
        let url = format!("http://{}/v1/chat/completions", self.address);
        let mut req = self.agent.post(url).content_type("application/json");
        if let Some(key) = &self.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        let Ok(response) = req.send(call.body()) else {
            return Answer::None;
        };
        if response.status().as_u16() != 200 {
            return Answer::Failed(failure(response));
        }
        seen(Progress::Head);
        if call.stream {
            read_stream(response.into_body(), seen)
        } else {
            read_whole(response.into_body(), seen)
        }
    }

    /// Calls a plain service; an answer of 2xx is whole.
    pub(super) fn call(
        &self,
        method: &str,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Answer {
        let mut req = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json");
        if let Some(key) = &self.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        if let Some(key) = idempotency_key {
            req = req.header("idempotency-key", key);
        }
        let sent = match method {
            "GET" => req.body(()).map(|req| self.agent.run(req)),
            _ => req.body(body).map(|req| self.agent.run(req)),
        };
        let Ok(Ok(mut response)) = sent else {
            return Answer::None;
        };
        if !response.status().is_success() {
            return Answer::Failed(failure(response));
        }
        response
            .body_mut()
            .read_to_string()
            .map_or(Answer::Cut, Answer::Whole)
    }
}

fn failure(mut response: Response<Body>) -> Failure {
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(|seconds| Duration::from_secs(seconds).min(MAX_RETRY_AFTER));
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    Failure {
        status,
        run: run_of(&body),
        of_upstream: body["error"]["source"] == "upstream",
        retry_after,
    }
}

/// Whether an error says that its request was run.
fn run_of(error: &Value) -> Option<Run> {
    let run = error
        .get("run")
        .or_else(|| error.get("error")?.get("run"))?;
    serde_json::from_value(run.clone()).ok()
}

fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn read_whole(mut body: Body, mut seen: impl FnMut(Progress)) -> Answer {
    let Ok(text) = body.read_to_string() else {
        return Answer::Cut;
    };
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let choice = &value["choices"][0];
    match (&choice["message"]["content"], &choice["finish_reason"]) {
        (Value::String(content), Value::String(reason)) if reason == "length" => {
            seen(Progress::Tokens(count_tokens(content)));
            Answer::Whole(content.clone())
        }
        _ => Answer::Cut,
    }
}

/// Reads server-sent events up to `[DONE]`; a stream is whole only with a reason for its end.
fn read_stream(body: Body, mut seen: impl FnMut(Progress)) -> Answer {
    let mut content = String::new();
    let mut ended = false;
    for line in BufReader::new(body.into_reader()).lines() {
        let Ok(line) = line else {
            return Answer::Cut;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" && ended {
            return Answer::Whole(content);
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() || event.get("run").is_some() {
            return Answer::Failed(Failure {
                status: 200,
                run: run_of(&event),
                of_upstream: false,
                retry_after: None,
            });
        }
        let choice = &event["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            content.push_str(text);
            seen(Progress::Tokens(count_tokens(text)));
        }
        ended |= choice["finish_reason"] == "length";
    }
    Answer::Cut
}
