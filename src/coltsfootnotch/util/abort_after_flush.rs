//! Aborts a response body only once what came before has been written.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connection_state::ConnectionState;
use super::http_server::{AnyBody, BodyAborted};

/// Tells a body when all of its connection's bytes have been written.
#[derive(Debug, Default)]
pub(super) struct FlushSignal(Mutex<FlushState>);

#[derive(Debug, Default)]
enum FlushState {
    #[default]
    NotAwaited,
    Awaited(Waker),
    Flushed,
}

impl FlushSignal {
    /// Called by the socket once it has been given all bytes.
    pub(super) fn on_flushed(&self) {
        let mut state = self.lock();
        if let FlushState::Awaited(waker) = std::mem::take(&mut *state) {
            *state = FlushState::Flushed;
            drop(state);
            waker.wake();
        }
    }

    /// Completes with the first flush after it is polled.
    fn poll_flushed(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if let FlushState::Flushed = *state {
            return Poll::Ready(());
        }
        *state = FlushState::Awaited(cx.waker().clone());
        Poll::Pending
    }

    fn lock(&self) -> MutexGuard<'_, FlushState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that is aborted if it is not complete when its connection is, and whose abort waits until the data before
/// it has been written: the HTTP library drops what it has buffered when a body is aborted, which may be the whole
/// response so far.
pub(super) struct AbortAfterFlush {
    body: AnyBody,
    state: Arc<ConnectionState>,
    aborted: Option<BodyAborted>,
}

impl AbortAfterFlush {
    pub(super) fn new(body: AnyBody, state: Arc<ConnectionState>) -> Self {
        Self {
            body,
            state,
            aborted: None,
        }
    }

    fn on_end(&self) {
        let is_unfinished = &self.state.is_body_unfinished;
        is_unfinished.store(false, Ordering::Release);
    }
}

impl Body for AbortAfterFlush {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.aborted.is_none() {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Err(e))) => self.aborted = Some(e),
                Poll::Pending if self.state.is_aborting.load(Ordering::Acquire) => {
                    self.aborted = Some(BodyAborted);
                }
                Poll::Ready(None) => {
                    self.on_end();
                    return Poll::Ready(None);
                }
                frame => return frame,
            }
        }
        std::task::ready!(self.state.flush.poll_flushed(cx));
        Poll::Ready(self.aborted.take().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        let has_ended = self.body.is_end_stream();
        if has_ended {
            self.on_end();
        }
        has_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
