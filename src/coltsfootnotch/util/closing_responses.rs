//! Responses to requests whose connection is closed before they are handled.

use std::future::{Future, poll_fn};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::connection_state::ConnectionState;
use super::http_server::{AnyResponse, TEXT, full};
use super::request_body::RequestBody;

/// Longest body of a request that is refused, in bytes. The next request is not found behind a longer one.
const MAX_REFUSED_BODY: usize = 256 * 1024;

/// Time for the rest of the body of a request that is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a handler; one that is not done when its connection is aborted is dropped, and the response tells whether the
/// request may have run. So does that of a handler that panics, whose connection would otherwise end with no response.
pub(super) async fn until_aborted(
    mut handled: Pin<&mut impl Future<Output = AnyResponse>>,
    state: &ConnectionState,
) -> AnyResponse {
    poll_fn(|cx| {
        // A handler that has panicked is not polled again. The panic is logged by the process's hook.
        let polled = AssertUnwindSafe(|| handled.as_mut().poll(cx));
        let Ok(polled) = catch_unwind(polled) else {
            return Poll::Ready(cut_off("this host has failed", state));
        };
        if polled.is_pending() && state.is_aborting.load(Ordering::Acquire) {
            return Poll::Ready(cut_off("this host has stopped", state));
        }
        polled
    })
    .await
}

/// The response to a request whose handler ends early for `reason`.
fn cut_off(reason: &str, state: &ConnectionState) -> AnyResponse {
    if !state.may_have_run.load(Ordering::Acquire) {
        return not_run(format!("{reason}; the request did not run\n"));
    }
    let text = format!("{reason}; the request may have run\n");
    let mut response = full(StatusCode::BAD_GATEWAY, TEXT, text);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Refuses a request that came behind the last response, whose sender can't tell otherwise whether it ran.
pub(super) async fn refuse(req: Request<RequestBody>) -> AnyResponse {
    // The next request begins after the body.
    if timeout(BODY_TIMEOUT, discard_body(req.into_body()))
        .await
        .is_err()
    {
        log::debug!("the body of a refused request is left unread");
    }
    not_run("the connection is closing; the request did not run\n")
}

/// Reads a body, and keeps nothing of it.
async fn discard_body(mut body: RequestBody) {
    let mut discarded = 0;
    while discarded <= MAX_REFUSED_BODY {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// A refusal after which the connection is closed.
fn not_run(text: impl Into<Bytes>) -> AnyResponse {
    let mut response = full(StatusCode::SERVICE_UNAVAILABLE, TEXT, text);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("0"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
