//! Answers that the fleet gives itself.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};

use crate::util::http_server::{AnyResponse, TEXT, full};

/// A failure, told in a line.
pub(super) fn failure(status: StatusCode, text: &str) -> AnyResponse {
    full(status, TEXT, format!("{text}\n"))
}

/// The request did not run and will not; trying again is of use after `retry_after`.
pub(super) fn not_run(text: &str, retry_after: Duration) -> AnyResponse {
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The host stood still while the request waited; the connection is closed, so that the caller comes
/// to another host.
pub(super) fn stood_still() -> AnyResponse {
    let mut response = not_run("this host stood still", Duration::ZERO);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// The host has more callers than it can read; the connection is closed, so that the caller comes to
/// another host.
pub(super) fn overloaded() -> AnyResponse {
    let mut response = not_run("this host is overloaded", Duration::ZERO);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Whether the request ran is not known, or it ran and its answer is lost.
pub(super) fn lost() -> AnyResponse {
    failure(
        StatusCode::BAD_GATEWAY,
        "the upstream gave no whole answer; the request may have run",
    )
}

/// The time is over; the request may have run.
pub(super) fn too_late() -> AnyResponse {
    failure(
        StatusCode::GATEWAY_TIMEOUT,
        "the time is over; the request may have run",
    )
}
