//! The events of a stream that its caller has not read.
//!
//! The queue is bounded in bytes: events may be tens of kilobytes long, and hundreds of callers may read
//! slowly at once. While it is full nothing is read from the upstream, so that the upstream's own
//! connection holds the stream back.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use coltsfootnotch_forward::held::{HeldKind, HeldResources};
use hyper::body::{Body, Frame};
use tokio::sync::{Semaphore, mpsc};

use super::held_chunk::HeldChunk;
use crate::util::http_server::BodyAborted;

/// Bytes that are queued for a slow caller; a longer event waits alone.
const QUEUED_BYTES: u32 = 16 * 1024;

/// Creates the queue of a stream whose bytes are held for `account`.
pub(super) fn event_queue(
    held: Arc<HeldResources>,
    account: Option<Arc<str>>,
) -> (EventSender, EventBody) {
    let (tx, rx) = mpsc::unbounded_channel();
    let sender = EventSender {
        tx,
        room: Arc::new(Semaphore::new(QUEUED_BYTES as usize)),
        held,
        account,
    };
    (sender, EventBody { rx, current: None })
}

/// The caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerLeft;

/// What a queue holds.
enum Queued {
    Events(HeldChunk),
    /// The response is complete.
    End,
}

/// The end of the queue that events are added to. Dropped without an end, as by a task that panics, it ends the
/// response as broken off.
pub(super) struct EventSender {
    tx: mpsc::UnboundedSender<Queued>,
    /// Room in the queue, in bytes.
    room: Arc<Semaphore>,
    held: Arc<HeldResources>,
    account: Option<Arc<str>>,
}

impl EventSender {
    /// Adds events once there is room.
    ///
    /// # Errors
    /// Returns an error if the caller leaves first.
    pub(super) async fn send(&self, events: Bytes) -> Result<(), CallerLeft> {
        let len = events.len();
        let taken = u32::try_from(len).map_or(QUEUED_BYTES, |len| len.min(QUEUED_BYTES));
        // Counted while it waits, too.
        let account = self.account.as_ref();
        let hold = self.held.hold(HeldKind::Response, account, len as u64, 0);
        let place = tokio::select! {
            place = Arc::clone(&self.room).acquire_many_owned(taken) => place,
            () = self.tx.closed() => return Err(CallerLeft),
        };
        let chunk = HeldChunk::new(events, hold, place.ok());
        self.tx.send(Queued::Events(chunk)).map_err(|_| CallerLeft)
    }

    /// Ends the response as complete.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub(super) fn end(self) -> Result<(), CallerLeft> {
        self.tx.send(Queued::End).map_err(|_| CallerLeft)
    }

    /// Completes when the caller leaves.
    pub(super) async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Response body of a stream.
pub(super) struct EventBody {
    rx: mpsc::UnboundedReceiver<Queued>,
    /// What is left of the events that are being written.
    current: Option<HeldChunk>,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let mut chunk = match self.current.take() {
            Some(chunk) => chunk,
            None => match ready!(self.rx.poll_recv(cx)) {
                Some(Queued::Events(chunk)) => chunk,
                Some(Queued::End) => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err(BodyAborted))),
            },
        };
        let bytes = chunk.take();
        self.current = Some(chunk).filter(|chunk| !chunk.is_empty());
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

#[cfg(test)]
#[path = "event_queue_tests.rs"]
mod tests;
