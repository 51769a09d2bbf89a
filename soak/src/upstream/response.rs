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
use hyper::{Request, Response, StatusCode};
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
    if is_stream {
        return Ok(response(
            StatusCode::OK,
            &id,
            &headers,
            stream_body(id.clone(), last_event),
        ));
    }
    sleep(PROCESSING_TIME).await;
    Ok(response(
        StatusCode::OK,
        &id,
        &headers,
        full_body(format!("answer to {id}")),
    ))
}

fn stream_body(id: String, after: Option<u64>) -> Body {
    let (tx, rx) = mpsc::channel(4);
    tokio::spawn(async move {
        for n in after.unwrap_or(0) + 1..=EVENTS {
            sleep(PROCESSING_TIME).await;
            // Fails once the router has closed the connection.
            if tx.send(event_text(&id, n)).await.is_err() {
                return;
            }
        }
    });
    EventBody { events: rx }.boxed()
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

/// Returns the text of event `n` of the stream for request `id`.
#[must_use]
pub fn event_text(id: &str, n: u64) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}
