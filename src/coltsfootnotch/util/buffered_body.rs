//! A body that was received in full.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A body in the buffers that it was received in, which are never joined: a copy of a long one would take as much memory
/// again. Clones share the buffers. As a [`Body`], it is sent buffer by buffer.
///
/// ```
/// use bytes::Bytes;
/// use coltsfootnotch::util::buffered_body::BufferedBody;
/// let body = BufferedBody::from(vec![Bytes::from_static(b"two "), Bytes::from_static(b"parts")]);
/// assert_eq!(body.len(), 9);
/// assert_eq!(body.copy_range(2, 4), b"o pa");
/// assert_eq!(body.join(), &b"two parts"[..]);
/// ```
#[derive(Debug, Clone)]
pub struct BufferedBody {
    bufs: Arc<[Bytes]>,
    /// The buffer that is sent next.
    next: usize,
    /// Bytes that are not sent yet.
    left: usize,
}

impl From<Vec<Bytes>> for BufferedBody {
    fn from(bufs: Vec<Bytes>) -> Self {
        let left = bufs.iter().map(Bytes::len).sum();
        Self {
            bufs: bufs.into(),
            next: 0,
            left,
        }
    }
}

impl BufferedBody {
    /// Its length, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.left
    }

    /// Whether it has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// Whether it is in one buffer, so that joining copies nothing.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.bufs.len() <= 1
    }

    /// All of it in one buffer.
    #[must_use]
    pub fn join(&self) -> Bytes {
        match &*self.bufs {
            [] => Bytes::new(),
            [only] => only.clone(),
            bufs => bufs.concat().into(),
        }
    }

    /// A copy of `len` bytes from `start` on, or of those that there are.
    #[must_use]
    pub fn copy_range(&self, start: usize, len: usize) -> Vec<u8> {
        let mut copy = Vec::with_capacity(len);
        let mut skipped = start;
        for buf in &*self.bufs {
            let from = skipped.min(buf.len());
            let to = buf.len().min(from + len - copy.len());
            copy.extend_from_slice(&buf[from..to]);
            skipped -= from;
        }
        copy
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(buf) = self.bufs.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= buf.len();
        Poll::Ready(Some(Ok(Frame::data(buf))))
    }

    fn is_end_stream(&self) -> bool {
        self.next == self.bufs.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
