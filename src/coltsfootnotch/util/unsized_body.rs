//! A body that conceals its length.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};

use super::http_server::{AnyBody, BodyAborted};

/// A body that conceals its length, so that the server states none.
pub(super) struct UnsizedBody(pub(super) AnyBody);

impl Body for UnsizedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.0).poll_frame(cx)
    }
}
