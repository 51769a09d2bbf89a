//! The body of a request, which tells its connection once it has been read.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::connection_state::ConnectionState;

/// The body of a request, which tells its connection once it has been read: bytes that follow a body that was
/// left unread are not the next request.
pub struct RequestBody {
    body: Incoming,
    state: Arc<ConnectionState>,
}

/// Longest body that the HTTP library discards if its handler leaves it unread, in bytes. It mostly arrives with the
/// headers; behind a longer one the library closes the connection.
const MAX_SHORT_BODY: u64 = 4 * 1024;

impl RequestBody {
    pub(super) fn new(body: Incoming, state: Arc<ConnectionState>) -> Self {
        let has_body_left = !body.is_end_stream();
        let stated = body.size_hint().exact();
        let is_long = stated.is_none_or(|len| len > MAX_SHORT_BODY);
        state.has_body_left.store(has_body_left, Ordering::Release);
        state.is_body_long.store(is_long, Ordering::Release);
        Self { body, state }
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
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.state.has_body_left.store(false, Ordering::Release);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
