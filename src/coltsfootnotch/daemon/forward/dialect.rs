//! Format of requests, responses and configurations, as the user of this library defines it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::config::{ForwardConfig, Problem};
use coltsfootnotch_forward::place::Prompt;
use derive_more::{Display, Error};
use hyper::HeaderMap;

/// Error from decoding a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the configuration has {} problems, the first: {}", problems.len(), first(problems))]
pub struct DecodeError {
    /// All problems, each with its location in the configuration.
    pub problems: Vec<Problem>,
}

fn first(problems: &[Problem]) -> String {
    problems
        .first()
        .map_or_else(String::new, ToString::to_string)
}

/// Fields of the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identity of this attempt of the caller.
    pub id: Option<String>,
    /// How long the caller waits, from when the headers were received.
    pub timeout: Option<Duration>,
    /// The key of its client account.
    pub key: Option<String>,
    /// Its prompt, for a model engine.
    pub prompt: Prompt,
    /// Whether the caller states the last event that it received, and so resumes a stream.
    pub states_last_event: bool,
    /// That event, if its identity is a number.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event, if it resumes a stream.
    pub resumes: Option<String>,
}

/// Fields of the headers of a request that is forwarded to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRequestHead<'a> {
    /// How long the upstream may take from now.
    pub time_left: Duration,
    /// The only upstream that may run the request.
    pub upstream: &'a str,
    /// The engine from which the upstream copies cached segments of the prompt.
    pub copy_from: Option<SocketAddr>,
    /// The client account, if the request has a key.
    pub account: Option<&'a str>,
    /// The last event that the caller received, if the stream is resumed.
    pub last_event: Option<u64>,
}

/// Fields of the headers of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Identity of the request that it responds to.
    pub id: Option<String>,
    /// Whether the response has the upstream's mark, which shows that it comes from an upstream.
    pub has_upstream_mark: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// How long the upstream keeps the connection open while idle, if stated.
    pub keep_alive: Option<Duration>,
    /// How long the upstream wants no further requests, if stated; counts in a refusal only.
    pub retry_after: Option<Duration>,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
}

/// Format of requests, responses and configurations.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Decodes a configuration.
    pub decode_config: fn(&[u8]) -> Result<ForwardConfig, DecodeError>,
    /// Reads the headers of a caller's request.
    pub read_request: fn(&HeaderMap) -> RequestHead,
    /// Turns a caller's headers into those of the forwarded request: removes headers that must not
    /// be forwarded and sets the fields of the fleet.
    pub write_upstream_request: fn(&mut HeaderMap, &UpstreamRequestHead<'_>),
    /// Reads the headers of an upstream's response.
    pub read_response: fn(&HeaderMap) -> ResponseHead,
    /// Turns an upstream's response headers into those for the caller.
    pub write_response: fn(&mut HeaderMap),
    /// Removes the upstream's mark from a response that was changed.
    pub remove_upstream_mark: fn(&mut HeaderMap),
}

/// The configuration in force, if any; shared by the tasks of all connections.
pub(super) type InForce = Option<Arc<ForwardConfig>>;
