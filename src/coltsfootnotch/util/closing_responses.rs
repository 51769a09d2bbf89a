//! Responses to requests whose connection is closed before they are handled.

use std::future::{Future, poll_fn};
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
/// request may have run.
pub(super) async fn until_aborted(
    mut handled: Pin<&mut impl Future<Output = AnyResponse>>,
    state: &ConnectionState,
) -> AnyResponse {
    poll_fn(|cx| match handled.as_mut().poll(cx) {
        Poll::Pending if state.is_aborting.load(Ordering::Acquire) => Poll::Ready(aborted(state)),
        polled => polled,
    })
    .await
}

/// The response to a request that the end of the process cuts off.
fn aborted(state: &ConnectionState) -> AnyResponse {
    if !state.may_have_run.load(Ordering::Acquire) {
        return not_run("this host has stopped; the request did not run\n");
    }
    let text = "this host has stopped; the request may have run\n";
    full(StatusCode::BAD_GATEWAY, TEXT, text)
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
fn not_run(text: &'static str) -> AnyResponse {
    let mut response = full(StatusCode::SERVICE_UNAVAILABLE, TEXT, text);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("0"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
