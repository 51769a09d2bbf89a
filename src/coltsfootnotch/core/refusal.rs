//! Error responses to callers: kinds, HTTP status and JSON body.

use std::time::Duration;

use coltsfootnotch_wire::Run;
use derive_more::Display;
use hyper::StatusCode;
use serde::Serialize;

/// Kinds of refusals and failures; their serialized names are part of the HTTP interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The bearer key is missing or unknown.
    #[display("the bearer key is missing or not known")]
    Unauthenticated,
    /// The account is not allowed to do this.
    #[display("the client account may not do this")]
    Forbidden,
    /// The path, model or service does not exist.
    #[display("there is no such path, model or service")]
    NotFound,
    /// The request is malformed.
    #[display("the request is not valid")]
    BadRequest,
    /// The call may not be repeated and has no idempotency key.
    #[display("a call that may not be repeated needs an Idempotency-Key")]
    IdempotencyKeyMissing,
    /// The idempotency key was used with a different request.
    #[display("the Idempotency-Key was used with another request")]
    IdempotencyKeyReused,
    /// The idempotency key is older than the retention of records.
    #[display("the Idempotency-Key is too old to tell whether it was used")]
    IdempotencyKeyTooOld,
    /// A call with the same idempotency key is in progress.
    #[display("a call with this Idempotency-Key is in progress")]
    InProgress,
    /// It is not known whether an earlier call with the idempotency key ran.
    #[display("whether an earlier call with this Idempotency-Key ran is not known")]
    InDoubt,
    /// The body is too large.
    #[display("the request is too large")]
    TooLarge,
    /// The account exceeds its limit of requests per second.
    #[display("the client account sends more requests a second than it may")]
    RateLimited,
    /// The account's queue is full.
    #[display("the queue of the client account is full")]
    QueueFull,
    /// The entry host is overloaded.
    #[display("the entry host is overloaded")]
    Overloaded,
    /// The request can't be served before its deadline.
    #[display("the request can't be served before its deadline")]
    Deadline,
    /// No upstream serves the pool at the moment.
    #[display("no upstream serves this now")]
    NoUpstream,
    /// The control group has no quorum.
    #[display("calls that may not be repeated can't be recorded now")]
    NoQuorum,
    /// The host is shutting down or has no configuration yet.
    #[display("the entry host is not ready")]
    NotReady,
    /// Requests with this content have crashed upstreams.
    #[display("requests with this content or prefix have crashed upstreams")]
    Crashing,
    /// The upstream aborted the response.
    #[display("the upstream broke off")]
    UpstreamFailed,
    /// The upstream did not respond in time.
    #[display("the upstream gave no answer in time")]
    UpstreamTimeout,
    /// The connection to the sidecar was lost.
    #[display("the connection to the upstream's host broke")]
    ConnectionLost,
}

impl RefusalKind {
    /// The name used in responses and metrics.
    ///
    /// ```
    /// use coltsfootnotch::core::RefusalKind;
    /// assert_eq!(RefusalKind::QueueFull.name(), "queue_full");
    /// ```
    #[must_use]
    pub fn name(self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value.as_str().unwrap_or_default().to_owned()
    }

    /// Every kind, in the order of docs/INTERFACE.md.
    pub const ALL: &[Self] = &[
        Self::Unauthenticated,
        Self::Forbidden,
        Self::NotFound,
        Self::BadRequest,
        Self::IdempotencyKeyMissing,
        Self::IdempotencyKeyReused,
        Self::IdempotencyKeyTooOld,
        Self::InProgress,
        Self::InDoubt,
        Self::TooLarge,
        Self::RateLimited,
        Self::QueueFull,
        Self::Overloaded,
        Self::Deadline,
        Self::NoUpstream,
        Self::NoQuorum,
        Self::NotReady,
        Self::Crashing,
        Self::UpstreamFailed,
        Self::UpstreamTimeout,
        Self::ConnectionLost,
    ];
}

/// A refusal or failure, as returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the refusal or failure.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub run: Run,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    r#type: RefusalKind,
    message: String,
    run: Run,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that has not reached an upstream.
    #[must_use]
    pub fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            run: Run::No,
            retry_after: None,
        }
    }

    /// Creates a failure after which it is not known whether the request ran.
    #[must_use]
    pub fn unknown(kind: RefusalKind) -> Self {
        Self {
            kind,
            run: Run::Unknown,
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The HTTP status of the response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.kind {
            RefusalKind::Unauthenticated => StatusCode::UNAUTHORIZED,
            RefusalKind::Forbidden => StatusCode::FORBIDDEN,
            RefusalKind::NotFound => StatusCode::NOT_FOUND,
            RefusalKind::BadRequest | RefusalKind::IdempotencyKeyMissing => StatusCode::BAD_REQUEST,
            RefusalKind::IdempotencyKeyReused
            | RefusalKind::IdempotencyKeyTooOld
            | RefusalKind::InProgress
            | RefusalKind::InDoubt => StatusCode::CONFLICT,
            RefusalKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalKind::RateLimited | RefusalKind::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            RefusalKind::UpstreamFailed | RefusalKind::ConnectionLost => StatusCode::BAD_GATEWAY,
            RefusalKind::UpstreamTimeout => StatusCode::GATEWAY_TIMEOUT,
            RefusalKind::Crashing => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalKind::Overloaded
            | RefusalKind::Deadline
            | RefusalKind::NoUpstream
            | RefusalKind::NoQuorum
            | RefusalKind::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The retry delay in whole seconds, rounded up, at least one.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        let after = self.retry_after?;
        Some(after.as_secs_f64().ceil().max(1.0) as u64)
    }

    /// The JSON body of the response.
    ///
    /// ```
    /// use coltsfootnotch::core::{Refusal, RefusalKind};
    /// let body = Refusal::not_run(RefusalKind::QueueFull).to_json("r-1");
    /// assert!(body.contains(r#""type":"queue_full""#) && body.contains(r#""run":"no""#));
    /// ```
    #[must_use]
    pub fn to_json(&self, request_id: &str) -> String {
        let error = Detail {
            r#type: self.kind,
            message: self.kind.to_string(),
            run: self.run,
            request_id,
            retry_after_s: self.retry_after_s(),
        };
        serde_json::to_string(&Body { error }).unwrap_or_default()
    }
}
