//! The streamed body of a response.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::ResponsePart;
use super::request_handler::DisconnectGuard;
use crate::core::Refusal;
use crate::util::http_server::BodyAborted;

/// Streams chunks as they arrive; a response that can't be completed ends with an `error` event.
pub(super) struct ResponseBody {
    parts: mpsc::Receiver<ResponsePart>,
    guard: DisconnectGuard,
    finished: bool,
}

impl ResponseBody {
    pub(super) fn new(parts: mpsc::Receiver<ResponsePart>, guard: DisconnectGuard) -> Self {
        Self {
            parts,
            guard,
            finished: false,
        }
    }

    fn error_event(&self, refusal: &Refusal) -> Bytes {
        let json = refusal.to_json(self.guard.id());
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn finish(&mut self) {
        self.finished = true;
        self.guard.disarm();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        loop {
            if self.finished {
                return Poll::Ready(None);
            }
            let chunk = match std::task::ready!(self.parts.poll_recv(cx)) {
                Some(ResponsePart::Head { .. }) => continue,
                Some(ResponsePart::Chunk(chunk)) => chunk,
                Some(ResponsePart::Failed(refusal)) => {
                    self.finish();
                    self.error_event(&refusal)
                }
                Some(ResponsePart::End) => {
                    self.finish();
                    continue;
                }
                None => {
                    // The daemon stops before the response is complete. Without this event, the
                    // caller can't tell it from a complete one.
                    self.finish();
                    self.error_event(&Refusal::unknown(crate::core::RefusalKind::ConnectionLost))
                }
            };
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
    }
}
