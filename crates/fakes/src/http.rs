//! Requests and answers as the stand-ins see them.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Events between the task that makes a stream and its connection; a slow reader stops the task.
const STREAM_BUFFER: usize = 16;

pub(crate) type Req = Request<Incoming>;
pub(crate) type Reply = Response<Either<Full<Bytes>, EventBody>>;

/// Ends the connection without an answer, as a crash or a cut cable does.
#[derive(Debug, Display, Error)]
#[display("the stand-in drops the connection")]
pub(crate) struct DropConnection;

/// A body of server-sent events, written as they come.
pub(crate) struct EventBody(mpsc::Receiver<Bytes>);

impl Body for EventBody {
    type Data = Bytes;
    type Error = DropConnection;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, DropConnection>>> {
        self.0
            .poll_recv(cx)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    /// Tells an upstream's own error from one of the fleet.
    source: &'static str,
}

/// An answer with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(Either::Left(Full::new(body.into())));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Either::Left(Full::default()));
    *reply.status_mut() = status;
    reply
}

/// An error answer.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    let error = ErrorDetail {
        message,
        source: "upstream",
    };
    json(status, &ErrorBody { error })
}

/// An answer whose events are sent into the returned channel.
pub(crate) fn events() -> (mpsc::Sender<Bytes>, Reply) {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    let mut reply = Response::new(Either::Right(EventBody(rx)));
    let content_type = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    (tx, reply)
}

/// Reads a body, or says why it can't be read.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Reply> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body can't be read",
        )),
    }
}

/// A header's text, if it is there.
pub(crate) fn header<'a>(req: &'a Req, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
