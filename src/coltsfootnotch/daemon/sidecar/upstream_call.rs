//! One call to an upstream, on a thread of its own: the HTTP client is a blocking one.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_wire::{AttemptId, Call, FailReason};
use serde::Deserialize;
use tokio::sync::mpsc;
use ureq::Agent;
use ureq::http::{Request, Response};

use super::sse::{ChunkUsage, Meaning, SseCutter};

/// Time to connect: the upstream is on the same host or next to it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence within an answer before the upstream counts as hung.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// What comes from an upstream.
#[derive(Debug)]
pub(super) enum Part {
    /// Nothing was sent: the upstream can't be connected to.
    NotReached,
    /// Status and content type.
    Head { status: u16, content_type: String },
    /// A piece, and how many tokens it stands for.
    Piece { data: Vec<u8>, tokens: u64 },
    /// The token counts that the upstream states.
    Usage(ChunkUsage),
    /// The answer is whole.
    Done,
    /// It won't be completed.
    Failed(FailReason),
}

/// A call that is to be made.
pub(super) struct UpstreamCall {
    pub(super) agent: Agent,
    pub(super) address: SocketAddr,
    pub(super) attempt: AttemptId,
    pub(super) call: Call,
    pub(super) deadline: Duration,
    pub(super) cancelled: Arc<AtomicBool>,
    pub(super) parts: mpsc::Sender<Part>,
    /// Tokens that were received before the connection broke, for an engine that can resume.
    pub(super) resume_from: u64,
}

/// Bytes buffered for reading and for writing of one call; the library's own would be 256 KiB a
/// stream, four times what a stream may cost.
const BUFFER_BYTES: usize = 16 * 1024;
/// Idle connections kept to one upstream.
const IDLE_CONNECTIONS: usize = 64;
/// An upstream closes idle connections in its own time; ours are dropped well before the usual 5 s.
const IDLE_AGE: Duration = Duration::from_secs(2);

/// The clients of one sidecar.
#[derive(Clone)]
pub(super) struct Clients {
    pooled: Agent,
    fresh: Agent,
}

impl Clients {
    pub(super) fn new() -> Self {
        Self {
            pooled: agent(IDLE_CONNECTIONS),
            fresh: agent(0),
        }
    }

    /// The client for a call.
    ///
    /// A connection that was kept can be closed by the upstream just as a call is sent on it, and
    /// then nothing tells whether the call was read. A call that may not be repeated gets a new one,
    /// on which a refusal to connect proves that it was not.
    pub(super) fn of_call(&self, repeatable: bool) -> Agent {
        let agent = if repeatable {
            &self.pooled
        } else {
            &self.fresh
        };
        agent.clone()
    }
}

fn agent(idle: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(READ_TIMEOUT))
        .no_delay(true)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections_per_host(idle)
        .max_idle_age(IDLE_AGE)
        .build()
        .into()
}

#[derive(Deserialize)]
struct WholeAnswer {
    usage: Option<ChunkUsage>,
}

impl UpstreamCall {
    /// Makes the call and sends its parts; returns when it has ended.
    pub(super) fn run(self) {
        let outcome = self.request();
        let last = match outcome {
            Ok(response) if is_event_stream(&response) => self.stream(response),
            Ok(response) => self.whole(response),
            Err(e) => self.classify(&e),
        };
        let _entry_may_have_gone = self.parts.blocking_send(last);
    }

    fn request(&self) -> Result<Response<ureq::Body>, ureq::Error> {
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
        let wait = self.deadline.max(CONNECT_TIMEOUT);
        let req = builder.body(self.call.body.clone())?;
        let req = self
            .agent
            .configure_request(req)
            .timeout_recv_response(Some(wait))
            .build();
        self.agent.run(req)
    }

    fn classify(&self, error: &ureq::Error) -> Part {
        match error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
                Part::NotReached
            }
            ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                Part::NotReached
            }
            ureq::Error::Timeout(_) => Part::Failed(FailReason::UpstreamTimeout),
            _ if self.is_cancelled() => Part::Failed(FailReason::Cancelled),
            _ => Part::Failed(FailReason::UpstreamBroke),
        }
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    fn send(&self, part: Part) -> Result<(), Part> {
        let gone = |_| Part::Failed(FailReason::Cancelled);
        self.parts.blocking_send(part).map_err(gone)
    }

    fn head(&self, response: &Response<ureq::Body>) -> Result<(), Part> {
        let content_type = response.headers().get("content-type");
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let status = response.status().as_u16();
        self.send(Part::Head {
            status,
            content_type: content_type.to_owned(),
        })
    }

    fn stream(&self, response: Response<ureq::Body>) -> Part {
        self.try_stream(response).unwrap_or_else(|part| part)
    }

    fn try_stream(&self, response: Response<ureq::Body>) -> Result<Part, Part> {
        self.head(&response)?;
        let mut reader = response.into_body().into_reader();
        let mut cutter = SseCutter::default();
        let mut last_seen = false;
        let mut buf = [0; READ_BYTES];
        loop {
            let len = self.read(&mut reader, &mut buf)?;
            if len == 0 {
                let whole = last_seen && cutter.is_empty();
                return Ok(if whole {
                    Part::Done
                } else {
                    Part::Failed(FailReason::UpstreamBroke)
                });
            }
            let events = cutter
                .push(&buf[..len])
                .ok_or(Part::Failed(FailReason::UpstreamBroke))?;
            for event in events {
                let meaning = event.meaning();
                last_seen |= meaning == Meaning::Last;
                let tokens = u64::from(meaning == Meaning::Token);
                if let Meaning::Usage(usage) = meaning {
                    self.send(Part::Usage(usage))?;
                }
                self.send(Part::Piece {
                    data: event.bytes,
                    tokens,
                })?;
            }
        }
    }

    fn whole(&self, response: Response<ureq::Body>) -> Part {
        self.try_whole(response).unwrap_or_else(|part| part)
    }

    fn try_whole(&self, response: Response<ureq::Body>) -> Result<Part, Part> {
        self.head(&response)?;
        let mut reader = response.into_body().into_reader();
        let mut body = Vec::new();
        let mut buf = [0; READ_BYTES];
        loop {
            let len = self.read(&mut reader, &mut buf)?;
            if len == 0 {
                break;
            }
            body.extend_from_slice(&buf[..len]);
            if body.len() > MAX_ANSWER {
                return Err(Part::Failed(FailReason::UpstreamBroke));
            }
        }
        if let Ok(WholeAnswer { usage: Some(usage) }) = serde_json::from_slice(&body) {
            self.send(Part::Usage(usage))?;
        }
        self.send(Part::Piece {
            data: body,
            tokens: 0,
        })?;
        Ok(Part::Done)
    }

    fn read(&self, reader: &mut impl Read, buf: &mut [u8]) -> Result<usize, Part> {
        if self.is_cancelled() {
            return Err(Part::Failed(FailReason::Cancelled));
        }
        reader.read(buf).map_err(|e| match e.kind() {
            _ if self.is_cancelled() => Part::Failed(FailReason::Cancelled),
            std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => {
                Part::Failed(FailReason::UpstreamTimeout)
            }
            _ => Part::Failed(FailReason::UpstreamBroke),
        })
    }
}

/// Tells an engine that can cancel to end an attempt.
pub(super) fn cancel(agent: &Agent, address: SocketAddr, attempt: AttemptId) {
    let uri = format!("http://{address}/v1/attempts/{attempt}");
    // An engine that can't be reached has ended the attempt by itself.
    let _ended = agent.delete(uri).call();
}

fn is_event_stream(response: &Response<ureq::Body>) -> bool {
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|text| text.starts_with("text/event-stream"))
}
