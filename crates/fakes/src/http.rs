//! HTTP requests and responses of the fakes.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode, Version};
use serde::Serialize;
use tokio::sync::mpsc;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Capacity of the channel between a stream's task and its connection, which provides backpressure.
const STREAM_BUFFER: usize = 16;

pub(crate) type Req = Request<Incoming>;
pub(crate) type Reply = Response<Either<Full<Bytes>, EventBody>>;

/// Closes the connection without a response, as a crash or network failure does.
#[derive(Debug, Display, Error)]
#[display("the fake drops the connection")]
pub(crate) struct DropConnection;

/// A streamed body of server-sent events.
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
    /// Distinguishes errors of an upstream from errors of the fleet.
    source: &'static str,
}

/// A response with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(Either::Left(Full::new(body.into())));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Either::Left(Full::default()));
    *reply.status_mut() = status;
    reply
}

/// An error response.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    let error = ErrorDetail {
        message,
        source: "upstream",
    };
    json(status, &ErrorBody { error })
}

/// A response that refuses a request and asks for none for `pause`.
pub(crate) fn refusal(pause: Duration) -> Reply {
    let mut reply = error(
        StatusCode::SERVICE_UNAVAILABLE,
        "the engine takes no requests now",
    );
    if let Ok(seconds) = HeaderValue::from_str(&pause.as_secs_f64().to_string()) {
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

/// A response that streams the events sent into the returned channel.
pub(crate) fn events() -> (mpsc::Sender<Bytes>, Reply) {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    let mut reply = Response::new(Either::Right(EventBody(rx)));
    let content_type = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    (tx, reply)
}

/// The first `share` of a response with `value` as JSON, which has neither a length nor chunks and ends with
/// its connection.
pub(crate) fn json_without_length(status: StatusCode, value: &impl Serialize, share: f64) -> Reply {
    let mut body = serde_json::to_vec(value).unwrap_or_default();
    body.truncate((body.len() as f64 * share) as usize);
    let (tx, rx) = mpsc::channel(1);
    // The channel has capacity for the only chunk.
    let _sent = tx.try_send(Bytes::from(body));
    let mut reply = json(status, &()).map(|_| Either::Right(EventBody(rx)));
    *reply.version_mut() = Version::HTTP_10;
    reply
}

/// Reads a body, or returns an error response.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Reply> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body can't be read",
        )),
    }
}

/// The value of a header, if present and valid text.
pub(crate) fn header<'a>(req: &'a Req, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
