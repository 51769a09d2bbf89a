//! How requests, answers and configurations are written by whoever uses the fleet.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::config::{ForwardConfig, Problem};
use coltsfootnotch_forward::place::Prompt;
use derive_more::{Display, Error};
use hyper::HeaderMap;

/// Why a text is no configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the configuration has {} problems, the first: {}", problems.len(), first(problems))]
pub struct DecodeError {
    /// Everything that is wrong, each with its place.
    pub problems: Vec<Problem>,
}

fn first(problems: &[Problem]) -> String {
    problems
        .first()
        .map_or_else(String::new, ToString::to_string)
}

/// What a caller says about a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identity of this attempt of the caller.
    pub id: Option<String>,
    /// How long the caller waits from now.
    pub patience: Option<Duration>,
    /// The key of its client account.
    pub key: Option<String>,
    /// Its prompt, for a model engine.
    pub prompt: Prompt,
    /// The last event of a stream that the caller has, where it resumes one.
    pub last_event: Option<u64>,
}

/// What the fleet says to the upstream about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Onward<'a> {
    /// How long the upstream may work on it from now.
    pub time_left: Duration,
    /// The upstream that is meant; any other must not run it.
    pub upstream: &'a str,
    /// The client account, where a key names one.
    pub account: Option<&'a str>,
    /// The last event that the caller has, where the stream is resumed.
    pub last_event: Option<u64>,
}

/// What an upstream says about an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the answer bears the upstream's mark, without which it is not the upstream's.
    pub marked: bool,
    /// Whether the upstream says that the request did not run.
    pub not_run: bool,
    /// How long the upstream keeps the connection open while idle, where it says so.
    pub keep_alive: Option<Duration>,
}

/// How requests, answers and configurations are written.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads a configuration.
    pub decode_config: fn(&[u8]) -> Result<ForwardConfig, DecodeError>,
    /// Reads what a caller says.
    pub read_request: fn(&HeaderMap) -> RequestHead,
    /// Makes the caller's headers those for the upstream: takes out what is not for it, and sets what
    /// the fleet says.
    pub write_onward: fn(&mut HeaderMap, &Onward<'_>),
    /// Reads what an upstream says.
    pub read_answer: fn(&HeaderMap) -> AnswerHead,
    /// Makes the upstream's headers those for the caller.
    pub write_answer: fn(&mut HeaderMap),
    /// Takes the upstream's mark out of an answer that is no longer the upstream's.
    pub unmark: fn(&mut HeaderMap),
}

/// A configuration in force, shared by the tasks of all connections.
pub(super) type InForce = Option<Arc<ForwardConfig>>;
