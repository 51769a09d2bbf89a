//! Calls an upstream over HTTP with a blocking client, on a thread for each call.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_wire::{AttemptId, Call, FailReason};
use serde::Deserialize;
use tokio::sync::mpsc;
use ureq::Agent;
use ureq::http::header::RETRY_AFTER;
use ureq::http::{Request, Response, StatusCode};

use crate::util::body_framing::BodyFraming;
use crate::util::call_cancellation::with_cancellation;
use crate::util::cut_body::is_cut;
use crate::util::http_client::agent;

use super::sse::{EventKind, SseSplitter, TokenUsage};

/// Time to connect; the upstream is on the same host or close to it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time between two reads of a response before the upstream counts as hung.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after its deadline at which a call ends whatever comes. Longer than zero, so that a connection that
/// can't be made within [`CONNECT_TIMEOUT`] counts as not reached, however short the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// Time for the whole answer to a request to cancel an attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Maximum size in bytes of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A part of the response of an upstream.
#[derive(Debug)]
pub(super) enum ResponsePart {
    /// Nothing was sent, since the connection to the upstream failed.
    NotReached,
    /// Status and content type of the response, and whether its end is that of the connection.
    Head {
        status: u16,
        content_type: String,
        ends_with_connection: bool,
    },
    /// The upstream refuses the request and wants no more for a time. Sent before the head.
    BackoffRequested(Duration),
    /// A chunk of the body, and the number of tokens in it.
    Chunk { data: Vec<u8>, tokens: u64 },
    /// Token counts that the upstream reports.
    Usage(TokenUsage),
    /// The response is complete.
    Done,
    /// The response failed.
    Failed(FailReason),
}

/// A call to an upstream.
pub(super) struct UpstreamCall {
    pub(super) agent: Agent,
    pub(super) address: SocketAddr,
    pub(super) attempt: AttemptId,
    pub(super) call: Call,
    pub(super) deadline: Duration,
    pub(super) cancelled: Arc<AtomicBool>,
    pub(super) parts: mpsc::Sender<ResponsePart>,
    /// Number of tokens received before the connection broke, for an engine that can resume.
    pub(super) resume_from: u64,
}

/// Size in bytes of the read and of the write buffer of a call. The library's default of 256 KiB a
/// stream exceeds the memory budget of a stream.
const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum age of an idle connection; well below the usual 5 s after which upstreams close them.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);

/// The HTTP clients of a sidecar.
#[derive(Clone)]
pub(super) struct Clients {
    pooled: Agent,
    fresh: Agent,
}

impl Clients {
    pub(super) fn new() -> Self {
        Self {
            pooled: build_agent(MAX_IDLE_CONNECTIONS),
            fresh: build_agent(0),
        }
    }

    /// Returns the client for a call.
    ///
    /// An upstream may close an idle connection just as a call is sent on it, which leaves unknown
    /// whether the call was received. A call that is not repeatable therefore gets a new
    /// connection, where a failed connect proves that it was not.
    pub(super) fn for_call(&self, repeatable: bool) -> Agent {
        let agent = if repeatable {
            &self.pooled
        } else {
            &self.fresh
        };
        agent.clone()
    }
}

fn build_agent(max_idle: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        // Redirects are for the caller: following one would send the call to an address that was not chosen for it.
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(READ_TIMEOUT))
        .no_delay(true)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections_per_host(max_idle)
        .max_idle_age(MAX_IDLE_AGE)
        .build();
    agent(config)
}

#[derive(Deserialize)]
struct CompleteResponse {
    usage: Option<TokenUsage>,
}

impl UpstreamCall {
    /// Makes the call and sends the parts of the response; returns once it has finished.
    pub(super) fn run(self) {
        let last = with_cancellation(&self.cancelled, || match self.send_request() {
            Ok(response) if is_event_stream(&response) => self.forward_stream(response),
            Ok(response) => self.forward_body(response),
            Err(e) => self.classify(&e),
        });
        // The receiver is dropped if the attempt was abandoned.
        let _sent = self.parts.blocking_send(last);
    }

    fn send_request(&self) -> Result<Response<ureq::Body>, ureq::Error> {
        let uri = format!("http://{}{}", self.address, self.call.path);
        let mut builder = Request::builder()
            .method(self.call.method.as_str())
            .uri(uri)
            .header("x-attempt-id", self.attempt.to_string());
        if let Some(content_type) = &self.call.content_type {
            builder = builder.header("content-type", content_type);
        }
        if let Some(key) = &self.call.idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        if self.resume_from > 0 {
            builder = builder.header("x-resume-from", self.resume_from);
        }
        let req = builder.body(self.call.body.clone())?;
        let req = self
            .agent
            .configure_request(req)
            .timeout_recv_response(Some(self.deadline))
            .timeout_global(Some(self.deadline.max(CONNECT_TIMEOUT) + DEADLINE_MARGIN))
            .build();
        self.agent.run(req)
    }

    fn classify(&self, error: &ureq::Error) -> ResponsePart {
        match error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
                ResponsePart::NotReached
            }
            ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                ResponsePart::NotReached
            }
            ureq::Error::Timeout(_) => ResponsePart::Failed(FailReason::UpstreamTimeout),
            _ if self.is_cancelled() => ResponsePart::Failed(FailReason::Cancelled),
            _ => ResponsePart::Failed(FailReason::UpstreamAborted),
        }
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    fn send(&self, part: ResponsePart) -> Result<(), ResponsePart> {
        let cancelled = |_| ResponsePart::Failed(FailReason::Cancelled);
        self.parts.blocking_send(part).map_err(cancelled)
    }

    fn send_head(
        &self,
        response: &Response<ureq::Body>,
        ends_with_connection: bool,
    ) -> Result<(), ResponsePart> {
        if let Some(time) = requested_backoff(response) {
            self.send(ResponsePart::BackoffRequested(time))?;
        }
        let status = response.status().as_u16();
        self.send(ResponsePart::Head {
            status,
            content_type: content_type(response).to_owned(),
            ends_with_connection,
        })
    }

    fn forward_stream(&self, response: Response<ureq::Body>) -> ResponsePart {
        self.try_forward_stream(response)
            .unwrap_or_else(|part| part)
    }

    fn try_forward_stream(
        &self,
        response: Response<ureq::Body>,
    ) -> Result<ResponsePart, ResponsePart> {
        // The last event tells whether the stream is complete.
        self.send_head(&response, false)?;
        let mut reader = response.into_body().into_reader();
        let mut splitter = SseSplitter::default();
        let mut has_done_event = false;
        let mut buf = [0; READ_BYTES];
        loop {
            let len = self.read(&mut reader, &mut buf)?;
            if len == 0 {
                let is_complete = has_done_event && splitter.is_empty();
                return Ok(if is_complete {
                    ResponsePart::Done
                } else {
                    ResponsePart::Failed(FailReason::UpstreamAborted)
                });
            }
            let events = splitter
                .push(&buf[..len])
                .ok_or(ResponsePart::Failed(FailReason::UpstreamAborted))?;
            for event in events {
                let kind = event.kind();
                has_done_event |= kind == EventKind::Done;
                let tokens = u64::from(kind == EventKind::Token);
                if let EventKind::Usage(usage) = kind {
                    self.send(ResponsePart::Usage(usage))?;
                }
                self.send(ResponsePart::Chunk {
                    data: event.bytes,
                    tokens,
                })?;
            }
        }
    }

    /// Whether the end of the body is that of the connection, which a crash of the upstream looks like as
    /// well.
    fn ends_with_connection(&self, response: &Response<ureq::Body>) -> bool {
        let to_head = self.call.method == "HEAD";
        let framing = BodyFraming::of_response(to_head, response.status(), response.headers());
        framing == Some(BodyFraming::UntilClose)
    }

    fn forward_body(&self, response: Response<ureq::Body>) -> ResponsePart {
        self.try_forward_body(response).unwrap_or_else(|part| part)
    }

    fn try_forward_body(
        &self,
        response: Response<ureq::Body>,
    ) -> Result<ResponsePart, ResponsePart> {
        let ends_with_connection = self.ends_with_connection(&response);
        self.send_head(&response, ends_with_connection)?;
        let content_type = content_type(&response).to_owned();
        let mut reader = response.into_body().into_reader();
        let mut body = Vec::new();
        let mut buf = [0; READ_BYTES];
        loop {
            let len = self.read(&mut reader, &mut buf)?;
            if len == 0 {
                break;
            }
            body.extend_from_slice(&buf[..len]);
            if body.len() > MAX_RESPONSE_BYTES {
                return Err(ResponsePart::Failed(FailReason::UpstreamAborted));
            }
        }
        if ends_with_connection && is_cut(&content_type, &body) {
            return Err(ResponsePart::Failed(FailReason::UpstreamAborted));
        }
        if let Ok(CompleteResponse { usage: Some(usage) }) = serde_json::from_slice(&body) {
            self.send(ResponsePart::Usage(usage))?;
        }
        self.send(ResponsePart::Chunk {
            data: body,
            tokens: 0,
        })?;
        Ok(ResponsePart::Done)
    }

    fn read(&self, reader: &mut impl Read, buf: &mut [u8]) -> Result<usize, ResponsePart> {
        if self.is_cancelled() {
            return Err(ResponsePart::Failed(FailReason::Cancelled));
        }
        // The library wraps its errors in those of a reader.
        reader.read(buf).map_err(|e| match ureq::Error::from(e) {
            _ if self.is_cancelled() => ResponsePart::Failed(FailReason::Cancelled),
            ureq::Error::Timeout(_) => ResponsePart::Failed(FailReason::UpstreamTimeout),
            _ => ResponsePart::Failed(FailReason::UpstreamAborted),
        })
    }
}

/// Requests an engine that supports it to cancel an attempt.
pub(super) fn cancel(agent: &Agent, address: SocketAddr, attempt: AttemptId) {
    let uri = format!("http://{address}/v1/attempts/{attempt}");
    // An unreachable engine no longer runs the attempt.
    let request = agent.delete(uri).config();
    let request = request.timeout_global(Some(CANCEL_TIMEOUT)).build();
    let _response = request.call();
}

/// How long the upstream wants no requests, if it refuses this one for that reason. `Retry-After` is given
/// in seconds; a date is not read.
fn requested_backoff(response: &Response<ureq::Body>) -> Option<Duration> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(seconds.trim().parse().ok()?).ok()
}

fn is_event_stream(response: &Response<ureq::Body>) -> bool {
    content_type(response).starts_with("text/event-stream")
}

fn content_type(response: &Response<ureq::Body>) -> &str {
    let value = response.headers().get("content-type");
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

#[cfg(test)]
#[path = "upstream_call_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "cut_response_tests.rs"]
mod cut_response_tests;
