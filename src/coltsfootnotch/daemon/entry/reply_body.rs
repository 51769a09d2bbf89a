//! The body of an answer that is on its way.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::ReplyPart;
use super::callers::CallerGuard;
use crate::core::Refusal;
use crate::util::http_server::BrokenOff;

/// Passes pieces on as they come; a stream that can't be completed ends in an `error` event.
pub(super) struct ReplyBody {
    parts: mpsc::Receiver<ReplyPart>,
    guard: CallerGuard,
    ended: bool,
}

impl ReplyBody {
    pub(super) fn new(parts: mpsc::Receiver<ReplyPart>, guard: CallerGuard) -> Self {
        Self {
            parts,
            guard,
            ended: false,
        }
    }

    fn error_event(&self, refusal: &Refusal) -> Bytes {
        let json = refusal.to_json(self.guard.id());
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn end(&mut self) {
        self.ended = true;
        self.guard.disarm();
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            let piece = match std::task::ready!(self.parts.poll_recv(cx)) {
                Some(ReplyPart::Head { .. }) => continue,
                Some(ReplyPart::Piece(piece)) => piece,
                Some(ReplyPart::Failed(refusal)) => {
                    self.end();
                    self.error_event(&refusal)
                }
                Some(ReplyPart::End) => {
                    self.end();
                    continue;
                }
                None => {
                    // The daemon is ending with the answer unfinished; the caller must not take
                    // the end of the connection for the end of the answer.
                    self.end();
                    self.error_event(&Refusal::unknown(crate::core::RefusalKind::ConnectionLost))
                }
            };
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
    }
}
