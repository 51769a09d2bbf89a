//! Responses that the entry generates itself.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};

use crate::util::http_server::{AnyResponse, TEXT, full};

/// A response with a line of text.
pub(super) fn failure(status: StatusCode, text: &str) -> AnyResponse {
    full(status, TEXT, format!("{text}\n"))
}

/// The request did not run and will not; callers may retry it after `retry_after`.
pub(super) fn not_run(text: &str, retry_after: Duration) -> AnyResponse {
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The request did not run, and its caller may retry it at once, through another connection.
fn not_run_here(text: &str) -> AnyResponse {
    let mut response = not_run(text, Duration::ZERO);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// The process was paused while the request waited. The connection is closed, so that the caller
/// reconnects through the load balancer and reaches another host.
pub(super) fn paused() -> AnyResponse {
    not_run_here("this host stood still")
}

/// The host is overloaded. The connection is closed, so that the caller reconnects through the load
/// balancer and reaches another host.
pub(super) fn overloaded() -> AnyResponse {
    not_run_here("this host is overloaded")
}

/// Reason for refusals while as much is held for callers, or for those of the account, as the host may hold.
pub(super) const FULL: &str = "this host holds too much for its callers";

/// The host has no memory or sockets to spare. The connection is closed, so that the caller reconnects
/// through the load balancer and reaches another host.
pub(super) fn full_host() -> AnyResponse {
    not_run_here(FULL)
}

/// Reason for refusals of requests that a stop of the host could cut off.
pub(super) const STOPPING: &str = "this host is stopping";

/// The host stops before the request might have run. The connection is closed, as its callers reach other hosts.
pub(super) fn stopping() -> AnyResponse {
    not_run_here(STOPPING)
}

/// No complete response came; the request may have run.
pub(super) fn lost() -> AnyResponse {
    failure(
        StatusCode::BAD_GATEWAY,
        "the upstream gave no whole answer; the request may have run",
    )
}

/// The deadline has passed; the request may have run.
pub(super) fn deadline_exceeded() -> AnyResponse {
    failure(
        StatusCode::GATEWAY_TIMEOUT,
        "the time is over; the request may have run",
    )
}
