//! What an upstream answers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_platform_peers::{
    EXPECTED_UPSTREAM, LAST_EVENT, NOT_EXECUTED, REQUEST_ID, RESPONSE_STAMP,
};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::run::Run;
use crate::book::{Book, Promise};

/// From the acknowledgement of its leaving until it may get nothing new: the platform's usual bound.
const LEFT_ALONE_AFTER: Duration = Duration::from_millis(2_000);
/// Time that a plain call and an event of a stream take.
const WORK: Duration = Duration::from_millis(15);
/// Events of a stream.
pub const EVENTS: u64 = 12;

pub(super) type Body = BoxBody<Bytes, Broken>;

/// The stand-in breaks its answer off.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the stand-in breaks off")]
pub(super) struct Broken;

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn reply(
    status: StatusCode,
    id: &str,
    marks: &[(&'static str, &str)],
    body: Body,
) -> Response<Body> {
    let mut builder = Response::builder().status(status).header(REQUEST_ID, id);
    for (name, value) in marks {
        builder = builder.header(*name, *value);
    }
    builder.body(body).expect("these are headers")
}

fn whole(text: String) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed()
}

pub(super) async fn answer(
    req: Request<Incoming>,
    run: &Run,
    book: &Book,
    calm: &(dyn Fn() -> bool + Send + Sync),
) -> Result<Response<Body>, Broken> {
    let id = header(&req, REQUEST_ID).unwrap_or("-").to_owned();
    if header(&req, EXPECTED_UPSTREAM) != Some(&run.id) {
        let marks = [(NOT_EXECUTED, "1"), (RESPONSE_STAMP, "s")];
        return Ok(reply(
            StatusCode::MISDIRECTED_REQUEST,
            &id,
            &marks,
            whole(String::new()),
        ));
    }
    let state = *run.state();
    let since_left = state.left.map(|left| book.now().saturating_sub(left));
    if since_left.is_some_and(|time| time > LEFT_ALONE_AFTER) && calm() {
        let what = format!("{id} reaches {} {since_left:?} after its leaving", run.id);
        book.find(Promise::LeftAlone, what);
    }
    book.ran(&id, &run.id);
    let first = header(&req, LAST_EVENT).and_then(|n| n.parse::<u64>().ok());
    let is_stream = req.uri().path().starts_with("/stream/");
    // The body is the caller's; what matters is that it came whole.
    let _body = req.into_body().collect().await.map_err(|_| Broken)?;
    let stamp = format!("s.{id}");
    let marks = [(RESPONSE_STAMP, stamp.as_str())];
    if state.loses_answers && !is_stream {
        sleep(WORK).await;
        return Err(Broken);
    }
    if is_stream {
        return Ok(reply(
            StatusCode::OK,
            &id,
            &marks,
            stream(id.clone(), first),
        ));
    }
    sleep(WORK).await;
    Ok(reply(
        StatusCode::OK,
        &id,
        &marks,
        whole(format!("answer to {id}")),
    ))
}

fn stream(id: String, after: Option<u64>) -> Body {
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(async move {
        for n in after.unwrap_or(0) + 1..=EVENTS {
            sleep(WORK).await;
            // Refused once the router has closed the connection: the rest is not made.
            if tx.send(event_text(&id, n)).await.is_err() {
                return;
            }
        }
    });
    EventBody { events: rx }.boxed()
}

/// A stream's events as they are made.
struct EventBody {
    events: mpsc::Receiver<String>,
}

impl hyper::body::Body for EventBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let event = std::task::ready!(self.events.poll_recv(cx));
        Poll::Ready(event.map(|text| Ok(Frame::data(Bytes::from(text)))))
    }
}

/// An event of a stream.
#[must_use]
pub fn event_text(id: &str, n: u64) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}
