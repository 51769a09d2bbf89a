//! HTTP client of a caller: sends a request, reads the complete answer and classifies the outcome.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_wire::Run;
use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::util::cut_body::is_cut;
use crate::util::http_client::agent;

/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound on `Retry-After`, so that callers retry within a short run.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A chat completion request.
#[derive(Debug, Clone)]
pub(super) struct ChatCall {
    pub(super) model: String,
    /// Contents of the messages, the system message first.
    pub(super) messages: [String; 2],
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

impl ChatCall {
    /// The prompt as the stand-in engine joins it.
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

/// An error answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Failure {
    /// HTTP status; 200 for a stream that ended in an error event.
    pub(super) status: u16,
    /// Whether the request was run; `None` when the error doesn't state it.
    pub(super) run: Option<Run>,
    /// Whether the fleet passed on an error of the upstream.
    pub(super) from_upstream: bool,
    /// Delay before a retry, bounded by [`MAX_RETRY_AFTER`].
    pub(super) retry_after: Option<Duration>,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Answer {
    /// A complete answer with its text.
    Complete(String),
    /// An error answer or an error event in a stream.
    Failed(Failure),
    /// The answer ended early without an error.
    Truncated,
    /// The connection failed, or the request timed out.
    Missing,
}

/// Progress of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// The response head was received.
    Head,
    /// This many further tokens were received.
    Tokens(u32),
}

/// An HTTP client for one address.
pub(super) struct Client {
    agent: Agent,
    address: SocketAddr,
    key: Option<String>,
}

impl Client {
    pub(super) fn new(address: SocketAddr, key: Option<String>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .no_delay(true)
            .build();
        Self {
            agent: agent(config),
            address,
            key,
        }
    }

    /// Requests a chat completion and reads the answer to its end.
    pub(super) fn chat(&self, call: &ChatCall, mut on_progress: impl FnMut(Progress)) -> Answer {
        let url = format!("http://{}/v1/chat/completions", self.address);
        let mut req = self.agent.post(url).content_type("application/json");
        if let Some(key) = &self.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        let Ok(response) = req.send(call.body()) else {
            return Answer::Missing;
        };
        if response.status().as_u16() != 200 {
            return Answer::Failed(failure(response));
        }
        on_progress(Progress::Head);
        if call.stream {
            read_stream(response.into_body(), on_progress)
        } else {
            read_completion(response.into_body(), on_progress)
        }
    }

    /// Calls a plain service; a 2xx answer counts as complete unless its body shows that it was cut short.
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
        let result = match method {
            "GET" => req.body(()).map(|req| self.agent.run(req)),
            _ => req.body(body).map(|req| self.agent.run(req)),
        };
        let Ok(Ok(mut response)) = result else {
            return Answer::Missing;
        };
        if !response.status().is_success() {
            return Answer::Failed(failure(response));
        }
        let content_type = response.headers().get("content-type").cloned();
        let content_type = content_type.as_ref().and_then(|value| value.to_str().ok());
        match response.body_mut().read_to_string() {
            Ok(text) if !is_cut(content_type.unwrap_or_default(), text.as_bytes()) => {
                Answer::Complete(text)
            }
            _ => Answer::Truncated,
        }
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
        run: parse_run(&body),
        from_upstream: body["error"]["source"] == "upstream",
        retry_after,
    }
}

/// The `run` field of an error body or error event.
fn parse_run(error: &Value) -> Option<Run> {
    let run = error
        .get("run")
        .or_else(|| error.get("error")?.get("run"))?;
    serde_json::from_value(run.clone()).ok()
}

fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn read_completion(mut body: Body, mut on_progress: impl FnMut(Progress)) -> Answer {
    let Ok(text) = body.read_to_string() else {
        return Answer::Truncated;
    };
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let choice = &value["choices"][0];
    match (&choice["message"]["content"], &choice["finish_reason"]) {
        (Value::String(content), Value::String(reason)) if reason == "length" => {
            on_progress(Progress::Tokens(count_tokens(content)));
            Answer::Complete(content.clone())
        }
        _ => Answer::Truncated,
    }
}

/// Reads server-sent events up to `[DONE]`; a stream is complete only if it has a finish reason.
fn read_stream(body: Body, mut on_progress: impl FnMut(Progress)) -> Answer {
    let mut content = String::new();
    let mut has_finish_reason = false;
    for line in BufReader::new(body.into_reader()).lines() {
        let Ok(line) = line else {
            return Answer::Truncated;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" && has_finish_reason {
            return Answer::Complete(content);
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() || event.get("run").is_some() {
            return Answer::Failed(Failure {
                status: 200,
                run: parse_run(&event),
                from_upstream: false,
                retry_after: None,
            });
        }
        let choice = &event["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            content.push_str(text);
            on_progress(Progress::Tokens(count_tokens(text)));
        }
        has_finish_reason |= choice["finish_reason"] == "length";
    }
    Answer::Truncated
}
