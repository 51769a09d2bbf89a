//! Parts of responses whose memory is counted until their connection has taken them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use coltsfootnotch_forward::held::Hold;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::OwnedSemaphorePermit;

use crate::util::buffered_body::BufferedBody;

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
pub(super) struct WholeBody {
    body: BufferedBody,
    hold: Hold,
}

impl WholeBody {
    /// A body that `hold` counts.
    pub(super) fn new(body: BufferedBody, hold: Hold) -> Self {
        Self { body, hold }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        let left = self.body.len() as u64;
        self.hold.resize(left);
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
