//! What a caller is told when it does not get an answer.

use std::time::Duration;

use coltsfootnotch_wire::Run;
use derive_more::Display;
use hyper::StatusCode;
use serde::Serialize;

/// Kinds of refusals and failures; the name is part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// No or an unknown bearer key.
    #[display("the bearer key is missing or not known")]
    Unauthenticated,
    /// The account may not do this.
    #[display("the client account may not do this")]
    Forbidden,
    /// No such path, model or service.
    #[display("there is no such path, model or service")]
    NotFound,
    /// The request is malformed.
    #[display("the request is not valid")]
    BadRequest,
    /// The call may not be repeated and carries no key.
    #[display("a call that may not be repeated needs an Idempotency-Key")]
    IdempotencyKeyMissing,
    /// The key was used with another body.
    #[display("the Idempotency-Key was used with another request")]
    IdempotencyKeyReused,
    /// The key is older than records are kept.
    #[display("the Idempotency-Key is too old to tell whether it was used")]
    IdempotencyKeyTooOld,
    /// The same call is in progress.
    #[display("a call with this Idempotency-Key is in progress")]
    InProgress,
    /// Whether an earlier call with the key ran is not known.
    #[display("whether an earlier call with this Idempotency-Key ran is not known")]
    InDoubt,
    /// The body is too large.
    #[display("the request is too large")]
    TooLarge,
    /// The account sends more requests a second than it may.
    #[display("the client account sends more requests a second than it may")]
    RateLimited,
    /// The account's queue is full.
    #[display("the queue of the client account is full")]
    QueueFull,
    /// The entry is overloaded.
    #[display("the entry host is overloaded")]
    Overloaded,
    /// It can't be served before its deadline.
    #[display("the request can't be served before its deadline")]
    Deadline,
    /// No upstream serves the pool now.
    #[display("no upstream serves this now")]
    NoUpstream,
    /// The control group has no quorum.
    #[display("calls that may not be repeated can't be recorded now")]
    NoQuorum,
    /// The host is leaving or has no configuration yet.
    #[display("the entry host is not ready")]
    NotReady,
    /// The content crashes upstreams.
    #[display("requests with this content have crashed upstreams")]
    Crashing,
    /// The upstream broke off.
    #[display("the upstream broke off")]
    UpstreamFailed,
    /// The upstream gave no answer in time.
    #[display("the upstream gave no answer in time")]
    UpstreamTimeout,
    /// The connection to the sidecar broke.
    #[display("the connection to the upstream's host broke")]
    ConnectionLost,
}

impl RefusalKind {
    /// The name by which callers and figures know it.
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

/// A refusal or failure as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What happened.
    pub kind: RefusalKind,
    /// Whether the request was run.
    pub run: Run,
    /// When to come back.
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
    /// A refusal of a request that can't have reached an upstream.
    #[must_use]
    pub fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            run: Run::No,
            retry_after: None,
        }
    }

    /// A failure after which it is not known whether the request ran.
    #[must_use]
    pub fn unknown(kind: RefusalKind) -> Self {
        Self {
            kind,
            run: Run::Unknown,
            retry_after: None,
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The HTTP status.
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

    /// When to come back in whole seconds, at least one.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        let after = self.retry_after?;
        Some(after.as_secs_f64().ceil().max(1.0) as u64)
    }

    /// The JSON body.
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
