//! The body of a request, which tells its connection once it has been read.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::timeout;

use super::connection_state::ConnectionState;

/// The body of a request, which tells its connection once it has been read: bytes that follow a body that was
/// left unread are not the next request.
pub struct RequestBody {
    /// None once it is dropped, or broken: nothing tells where a broken one ends.
    body: Option<Incoming>,
    state: Arc<ConnectionState>,
}

/// Longest body that is read though its handler has left it unread, in bytes, and the time for it: the connection can be
/// used again then, and the requests behind it are found.
const MAX_DISCARDED_BODY: u64 = 256 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

impl RequestBody {
    pub(super) fn new(body: Incoming, state: Arc<ConnectionState>) -> Self {
        let has_body_left = !body.is_end_stream();
        state.has_body_left.store(has_body_left, Ordering::Release);
        Self {
            body: Some(body),
            state,
        }
    }

    /// Where to record how far the request has come.
    #[must_use]
    pub fn progress(&self) -> RequestProgress {
        RequestProgress(Arc::clone(&self.state))
    }
}

/// Where a handler records how far its request has come, in case the process ends first.
#[derive(Clone)]
pub struct RequestProgress(Arc<ConnectionState>);

impl RequestProgress {
    /// Sets whether the request may have run, which its caller is told if it is aborted.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.0.may_have_run.store(may_have_run, Ordering::Release);
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.body = None,
            None => self.state.has_body_left.store(false, Ordering::Release),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(SizeHint::new, Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if self.state.has_body_left.load(Ordering::Acquire) {
            *self.state.left_body() = self.body.take();
        }
    }
}

/// Reads what the handler of a request has left unread of its body, unless that is long or late, or its caller awaits
/// being asked for it. While what is left is kept and not read, the connection neither goes on nor ends.
pub(super) async fn discard_left_body(state: &ConnectionState, awaits_continue: bool) {
    let Some(mut body) = state.left_body().take() else {
        return;
    };
    if awaits_continue || body.size_hint().lower() > MAX_DISCARDED_BODY {
        return;
    }
    let to_end = async {
        let mut discarded = 0;
        while discarded <= MAX_DISCARDED_BODY {
            match body.frame().await {
                Some(Ok(frame)) => {
                    discarded += frame.data_ref().map_or(0, |data| data.len() as u64);
                }
                Some(Err(_)) => return false,
                None => return true,
            }
        }
        false
    };
    if timeout(DISCARD_TIMEOUT, to_end).await.unwrap_or(false) {
        state.has_body_left.store(false, Ordering::Release);
    }
}
