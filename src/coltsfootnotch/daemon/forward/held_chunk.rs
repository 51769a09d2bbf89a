//! Parts of responses whose memory is counted until their connection has taken them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use coltsfootnotch_forward::held::Hold;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::OwnedSemaphorePermit;

/// Most bytes that a connection is given at once. It asks for more while its own buffer, which is not
/// counted, has room.
const SLICE_BYTES: usize = 16 * 1024;

/// A part of a response.
pub(super) struct HeldChunk {
    bytes: Bytes,
    hold: Hold,
    /// Its place in the queue of its stream.
    _place: Option<OwnedSemaphorePermit>,
}

impl HeldChunk {
    /// A part that `hold` counts.
    pub(super) fn new(bytes: Bytes, hold: Hold, place: Option<OwnedSemaphorePermit>) -> Self {
        Self {
            bytes,
            hold,
            _place: place,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the next bytes.
    pub(super) fn take(&mut self) -> Bytes {
        let len = self.bytes.len().min(SLICE_BYTES);
        let slice = self.bytes.split_to(len);
        self.hold.resize(self.bytes.len() as u64);
        slice
    }
}

/// The body of a complete response.
pub(super) struct WholeBody(pub(super) HeldChunk);

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = &mut self.0;
        if chunk.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(Frame::data(chunk.take()))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.bytes.len() as u64)
    }
}
