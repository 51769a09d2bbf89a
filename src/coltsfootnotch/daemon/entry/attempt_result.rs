//! The result of an attempt, which its task reports to the actor.

use std::time::Duration;

use coltsfootnotch_state::{Outcome, RecordedBody};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FailReason, NotStartedReason, Usage};

/// A response that is collected in full before it is sent to the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct CollectedResponse {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Vec<u8>,
    /// Whether the end of the body was that of the upstream's connection.
    pub(super) ends_with_connection: bool,
}

/// Header of a recorded answer with its content type.
const CONTENT_TYPE: &str = "content-type";
/// Header of a recorded answer that ended with its connection; its value is [`CLOSE`].
const CONNECTION: &str = "connection";
const CLOSE: &str = "close";

impl From<&CollectedResponse> for Outcome {
    fn from(response: &CollectedResponse) -> Self {
        let mut headers = vec![(CONTENT_TYPE.to_owned(), response.content_type.clone())];
        if response.ends_with_connection {
            // First, since headers beyond the limit of a recorded answer are dropped.
            headers.insert(0, (CONNECTION.to_owned(), CLOSE.to_owned()));
        }
        Self {
            status: response.status,
            headers,
            body: RecordedBody::Whole(response.body.clone()),
        }
    }
}

impl From<Outcome> for CollectedResponse {
    fn from(outcome: Outcome) -> Self {
        let header = |name| {
            let found = outcome.headers.iter().find(|(n, _)| n == name);
            found.map(|(_, value)| value.as_str())
        };
        let content_type = header(CONTENT_TYPE).unwrap_or_default().to_owned();
        let ends_with_connection = header(CONNECTION) == Some(CLOSE);
        let body = match outcome.body {
            RecordedBody::Whole(body) => body,
            RecordedBody::Digest { digest, len } => {
                format!("{{\"recorded\":{{\"sha256\":\"{digest}\",\"bytes\":{len}}}}}").into_bytes()
            }
        };
        Self {
            status: outcome.status,
            content_type,
            body,
            ends_with_connection,
        }
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The stream could not be opened, so nothing was sent.
    NotSent,
    /// The sidecar did not start the attempt and never will.
    NotStarted(NotStartedReason),
    /// The response is complete; `collected` is none when it was streamed to the caller.
    Done {
        usage: Usage,
        collected: Option<CollectedResponse>,
        first_chunk_at: Option<Duration>,
    },
    /// The attempt started and failed.
    Failed {
        reason: FailReason,
        delivered: bool,
        upstream: Option<UpstreamName>,
    },
    /// The connection broke and was not resumed; the attempt may have started.
    ConnectionLost {
        delivered: bool,
        upstream: Option<UpstreamName>,
    },
    /// The caller does not read its response.
    CallerStalled,
}
