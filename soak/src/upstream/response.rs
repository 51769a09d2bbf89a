//! Responses of a simulated upstream.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_platform_peers::{
    EXPECTED_UPSTREAM, LAST_EVENT, LEAVING, NOT_EXECUTED, REQUEST_ID, RESPONSE_STAMP, RETRY_AFTER,
};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode, Version};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::run::Run;
use crate::notices::{DRAIN_BOUND, Notices};
use crate::recorder::{Invariant, Recorder};

/// Simulated processing time of a plain request and of each stream event.
const PROCESSING_TIME: Duration = Duration::from_millis(15);
/// Number of events in a stream.
pub const EVENTS: u64 = 12;

pub(super) type Body = BoxBody<Bytes, Aborted>;

/// The simulated upstream aborts its answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the simulated upstream aborted its answer")]
pub(super) struct Aborted;

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn response(
    status: StatusCode,
    id: &str,
    headers: &[(&'static str, &str)],
    body: Body,
) -> Response<Body> {
    let mut builder = Response::builder().status(status).header(REQUEST_ID, id);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(body)
        .expect("header names and values are valid")
}

fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed()
}

/// What records and checks the requests that reach an upstream.
pub(super) struct Observers {
    pub(super) upstream: usize,
    pub(super) recorder: Recorder,
    pub(super) notices: Notices,
    pub(super) is_undisturbed: Arc<dyn Fn() -> bool + Send + Sync>,
}

pub(super) async fn respond(
    req: Request<Incoming>,
    run: &Run,
    observers: &Observers,
) -> Result<Response<Body>, Aborted> {
    let Observers {
        upstream,
        recorder,
        notices,
        is_undisturbed,
    } = observers;
    let id = header(&req, REQUEST_ID).unwrap_or("-").to_owned();
    if header(&req, EXPECTED_UPSTREAM) != Some(&run.id) {
        let headers = [(NOT_EXECUTED, "1"), (RESPONSE_STAMP, "s")];
        return Ok(response(
            StatusCode::MISDIRECTED_REQUEST,
            &id,
            &headers,
            full_body(String::new()),
        ));
    }
    let state = *run.state();
    let since_drain = state
        .drained_at
        .map(|drained_at| recorder.now().saturating_sub(drained_at));
    if since_drain.is_some_and(|time| time > DRAIN_BOUND) && is_undisturbed() {
        let what = format!(
            "{id} reaches {} {since_drain:?} after its drain was acknowledged",
            run.id
        );
        recorder.report(Invariant::NoWorkAfterDrain, what);
    }
    notices.check_arrival(recorder.now(), &id, &run.id, *upstream);
    let mark = format!("s.{id}.{}", run.id);
    let mut headers = vec![(RESPONSE_STAMP, mark.as_str())];
    if state.draining {
        headers.push((LEAVING, "1"));
    }
    if let Some(backoff) = state.refusing {
        notices.record_refusal(recorder.now(), &id, &run.id, *upstream, backoff);
        let seconds = backoff.as_secs_f64().to_string();
        headers.extend([(NOT_EXECUTED, "1"), (RETRY_AFTER, seconds.as_str())]);
        return Ok(response(
            StatusCode::SERVICE_UNAVAILABLE,
            &id,
            &headers,
            full_body(String::new()),
        ));
    }
    recorder.record_run(&id, &run.id);
    let last_event = header(&req, LAST_EVENT).and_then(|n| n.parse::<u64>().ok());
    let is_stream = req.uri().path().starts_with("/stream/");
    // Only the completeness of the body matters.
    let _body = req.into_body().collect().await.map_err(|_| Aborted)?;
    if state.drops_answers && !is_stream {
        sleep(PROCESSING_TIME).await;
        return Err(Aborted);
    }
    let first = last_event.unwrap_or(0) + 1;
    let parts: Vec<String> = if is_stream {
        (first..=EVENTS)
            .map(|n| event_text(&id, run.version, n))
            .collect()
    } else {
        vec![answer_text(&id)]
    };
    if state.omits_framing {
        let body = unframed_body(parts, &id, recorder);
        let mut response = response(StatusCode::OK, &id, &headers, body);
        // With this version the response gets neither a length nor chunks.
        *response.version_mut() = Version::HTTP_10;
        return Ok(response);
    }
    if is_stream {
        return Ok(response(StatusCode::OK, &id, &headers, stream_body(parts)));
    }
    sleep(PROCESSING_TIME).await;
    Ok(response(
        StatusCode::OK,
        &id,
        &headers,
        full_body(parts.concat()),
    ))
}

/// A body that ends with its connection. It is cut short inside a part for a third of the requests, and
/// between two parts for another third.
fn unframed_body(mut parts: Vec<String>, id: &str, recorder: &Recorder) -> Body {
    recorder.record_unstated(id);
    let whole = parts.concat().len();
    let sum: usize = id.bytes().map(usize::from).sum();
    if sum % 3 < 2 {
        parts.truncate(parts.len().div_ceil(2));
    }
    if sum.is_multiple_of(3)
        && let Some(last) = parts.last_mut()
    {
        last.truncate(last.len() / 2);
    }
    let body = UnframedBody {
        events: stream_body(parts),
        left: whole,
        id: id.to_owned(),
        recorder: recorder.clone(),
    };
    body.boxed()
}

/// A body that is recorded as cut unless all of it is sent.
struct UnframedBody {
    events: Body,
    /// Bytes that have not been sent.
    left: usize,
    id: String,
    recorder: Recorder,
}

impl hyper::body::Body for UnframedBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let frame = std::task::ready!(Pin::new(&mut self.events).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.left -= frame.data_ref().map_or(0, Bytes::len);
        }
        if frame.is_none() && self.left > 0 {
            // Before the caller sees the end.
            self.recorder.record_cut(&self.id);
        }
        Poll::Ready(frame)
    }
}

impl Drop for UnframedBody {
    fn drop(&mut self) {
        if self.left > 0 {
            self.recorder.record_cut(&self.id);
        }
    }
}

fn stream_body(parts: Vec<String>) -> Body {
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(async move {
        for part in parts {
            sleep(PROCESSING_TIME).await;
            // Fails once the router has closed the connection.
            if tx.send(part).await.is_err() {
                return;
            }
        }
    });
    EventBody { events: rx }.boxed()
}

/// Returns the text of the plain answer to request `id`.
#[must_use]
pub fn answer_text(id: &str) -> String {
    format!("answer to {id}")
}

/// Response body that yields events as they are produced.
struct EventBody {
    events: mpsc::Receiver<String>,
}

impl hyper::body::Body for EventBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let event = std::task::ready!(self.events.poll_recv(cx));
        Poll::Ready(event.map(|text| Ok(Frame::data(Bytes::from(text)))))
    }
}

/// Returns the text of event `n` of the stream for request `id`, as upstreams of the version write it.
#[must_use]
pub fn event_text(id: &str, version: &str, n: u64) -> String {
    format!("id: {n}\ndata: {id} {version} {n}\n\n")
}
