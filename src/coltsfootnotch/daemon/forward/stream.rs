//! Delivery of a stream, event by event, over as many upstreams as it takes.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use super::exchange::{Answer, Exchanged, exchange, patience};
use super::messages::{Ended, ForwardMsg, NotPlaced, Paused, Ticket};
use super::requested::Requested;
use super::server::Gateway;
use super::sse::Events;
use crate::util::events;
use crate::util::http_server::{AnyResponse, BrokenOff};

/// Pieces that wait for a slow caller; beyond that the upstream is made to wait.
const QUEUED_PIECES: usize = 16;

/// Pauses in a stream that can be resumed, as a multiple of the pause aimed at, after which another
/// upstream goes on: engines under load pause for some times the aim and still go on.
const PAUSES: u32 = 4;
/// The same where the route aims at no pause.
const DEFAULT_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which an upstream is looked for that goes on with a stream. A caller takes a pause
/// of two seconds for the end.
const RESUME_WITHIN: Duration = Duration::from_millis(1_000);
/// Between two looks: an engine works off about three waiting prompts in it.
const RESUME_AGAIN: Duration = Duration::from_millis(60);

/// What became of a stream before its first event.
pub(super) enum Opened {
    /// Its first event has come; the rest follows by itself.
    Streaming(AnyResponse),
    /// It ended before any event.
    Lost,
}

/// One upstream's part of a stream.
struct Source {
    answer: Answer,
    events: Events,
}

/// What comes next of a stream.
enum Next {
    Events(Bytes),
    End(Bytes),
    Broken,
    Late,
}

/// Waits for the first event, then passes the stream on from a task of its own. `attempts` counts the
/// upstreams that the request was sent to, this one included.
pub(super) async fn open(
    gw: &Arc<Gateway>,
    req: &Arc<Requested>,
    answer: Answer,
    until: Instant,
    attempts: u32,
) -> Opened {
    let mut source = Source {
        answer,
        events: Events::default(),
    };
    match source.next(until).await {
        Next::Events(first) => {
            source.answer.flight.begin();
            Opened::Streaming(start(gw, req, source, first, attempts))
        }
        Next::End(rest) => {
            source.answer.flight.begin();
            let response = start_ended(gw, source, rest);
            Opened::Streaming(response)
        }
        Next::Broken => {
            source.answer.flight.end(Ended::Broken);
            Opened::Lost
        }
        Next::Late => {
            source.answer.flight.end(Ended::Unreachable);
            Opened::Lost
        }
    }
}

impl Source {
    async fn next(&mut self, until: Instant) -> Next {
        loop {
            let body = self.answer.response.body_mut();
            let Ok(frame) = timeout_at(until.into(), body.frame()).await else {
                return Next::Late;
            };
            match frame {
                None => return Next::End(self.events.take_rest()),
                Some(Err(_)) => return Next::Broken,
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    let whole = self.events.push(data);
                    if !whole.is_empty() {
                        return Next::Events(whole);
                    }
                }
            }
        }
    }
}

fn head(gw: &Gateway, source: &Source, body: StreamBody) -> AnyResponse {
    let mut response = Response::new(body.boxed());
    *response.status_mut() = source.answer.response.status();
    let mut headers = source.answer.response.headers().clone();
    (gw.dialect.write_answer)(&mut headers);
    *response.headers_mut() = headers;
    response
}

fn start_ended(gw: &Gateway, source: Source, rest: Bytes) -> AnyResponse {
    let (tx, rx) = mpsc::channel(1);
    // The channel has room for its one piece.
    let _sent = tx.try_send(Ok(rest));
    let response = head(gw, &source, StreamBody { pieces: rx });
    finish(gw, source);
    response
}

fn start(
    gw: &Arc<Gateway>,
    req: &Arc<Requested>,
    source: Source,
    first: Bytes,
    attempts: u32,
) -> AnyResponse {
    let (tx, rx) = mpsc::channel(QUEUED_PIECES);
    let response = head(gw, &source, StreamBody { pieces: rx });
    let relay = Relay {
        gw: Arc::clone(gw),
        req: Arc::clone(req),
        tx,
    };
    tokio::spawn(relay.run(source, first, attempts));
    response
}

fn finish(gw: &Gateway, source: Source) {
    let Answer {
        connection,
        head,
        flight,
        ticket,
        ..
    } = source.answer;
    gw.pool.put(&ticket, connection, head.keep_alive);
    flight.end(Ended::Well);
}

/// Passes a stream on.
struct Relay {
    gw: Arc<Gateway>,
    req: Arc<Requested>,
    tx: mpsc::Sender<Result<Bytes, BrokenOff>>,
}

impl Relay {
    async fn run(self, mut source: Source, first: Bytes, mut attempts: u32) {
        if self.tx.send(Ok(first)).await.is_err() {
            return;
        }
        let mut longest = Duration::ZERO;
        loop {
            let until = self.pause_until();
            let waits_since = Instant::now();
            let next = tokio::select! {
                // The caller has left: the upstream's connection is closed with the source.
                () = self.tx.closed() => return,
                next = source.next(until) => next,
            };
            let ended = match next {
                Next::Events(events) => {
                    let pause = waits_since.elapsed();
                    longest = longest.max(pause);
                    self.tell_pause(&source.answer.ticket, pause);
                    if self.tx.send(Ok(events)).await.is_err() {
                        return;
                    }
                    continue;
                }
                Next::End(rest) => {
                    if !rest.is_empty() {
                        let _caller_waits = self.tx.send(Ok(rest)).await;
                    }
                    self.count_pause(longest);
                    return finish(&self.gw, source);
                }
                Next::Broken => Ended::Broken,
                Next::Late if Instant::now() >= self.req.deadline => Ended::Abandoned,
                Next::Late => Ended::Unreachable,
            };
            let left = vec![source.answer.ticket.upstream.clone()];
            let mut events = source.events;
            events.drop_rest();
            source.answer.flight.end(ended);
            drop(source.answer.connection);
            let resumed = if ended == Ended::Abandoned {
                Err("no time is left")
            } else {
                self.resume(&mut attempts, &events, left.clone()).await
            };
            let answer = match resumed {
                Ok(answer) => answer,
                Err(why) => {
                    self.broken_off(&left, &events, ended, why);
                    let _caller_waits = self.tx.send(Err(BrokenOff)).await;
                    return;
                }
            };
            source = Source { answer, events };
            source.answer.flight.begin();
        }
    }

    /// Counts the longest pause of a stream that ended well.
    fn count_pause(&self, longest: Duration) {
        let service = &self.req.config.services()[self.req.service].name;
        let histogram = self
            .gw
            .cx
            .metrics
            .histogram("longest_pause_seconds", &[("service", &**service)]);
        histogram.record(longest.as_secs_f64());
    }

    /// Tells of a pause that comes near what callers bear.
    fn tell_pause(&self, ticket: &Ticket, time: Duration) {
        let Some(borne) = self.req.route().gap.filter(|gap| time * 2 >= *gap) else {
            return;
        };
        self.gw.tx.send(ForwardMsg::Paused(Paused {
            upstream: ticket.upstream.clone(),
            born_ms: ticket.born_ms,
            time,
            borne,
        }));
    }

    /// Until when the next event must come.
    fn pause_until(&self) -> Instant {
        if !self.req.kind().is_idempotent() {
            return self.req.deadline;
        }
        let pause = self
            .req
            .route()
            .gap
            .map_or(DEFAULT_PAUSE, |gap| gap * PAUSES);
        (Instant::now() + pause).min(self.req.deadline)
    }

    fn broken_off(&self, left: &[Arc<str>], events: &Events, ended: Ended, why: &'static str) {
        let upstream = left.first().map_or("-", |id| id);
        let ended = format!("{ended:?}");
        self.gw.log(
            &events::STREAM_BROKEN_OFF,
            &self.req,
            &[
                ("upstream", &upstream),
                ("ended", &ended),
                ("events", &events.seen()),
                ("not_resumed", &why),
            ],
        );
    }

    /// Has another upstream go on after the last event that the caller has.
    ///
    /// # Errors
    /// Says why none does.
    async fn resume(
        &self,
        attempts: &mut u32,
        events: &Events,
        mut avoid: Vec<Arc<str>>,
    ) -> Result<Answer, &'static str> {
        if !self.req.kind().is_idempotent() {
            return Err("the route's streams can't be resumed");
        }
        let last_event = Some(events.last_id().ok_or("its events have no numbers")?);
        let give_up = Instant::now() + RESUME_WITHIN;
        while *attempts < self.req.route().max_attempts {
            let ticket = match self.gw.place(&self.req, &avoid, true).await {
                Ok(ticket) => ticket,
                Err(NotPlaced::Refused(_)) if Instant::now() < give_up => {
                    tokio::time::sleep(RESUME_AGAIN).await;
                    continue;
                }
                Err(NotPlaced::NoSecondSend) => return Err("too much is sent again"),
                Err(_) => return Err("no upstream can go on in time"),
            };
            let until = patience(&self.req, &ticket, 1.0);
            avoid.push(ticket.upstream.clone());
            let exchanged = exchange(&self.gw, &self.req, ticket, last_event, until).await;
            match exchanged {
                Exchanged::Answered(answer) if answer.response.status().is_success() => {
                    self.gw.log(
                        &events::STREAM_RESUMED,
                        &self.req,
                        &[
                            ("upstream", &answer.ticket.upstream),
                            ("events", &events.seen()),
                        ],
                    );
                    return Ok(*answer);
                }
                Exchanged::Answered(answer) => answer.flight.end(Ended::Failed),
                Exchanged::Unreached | Exchanged::Rejected => continue,
                Exchanged::Lost => {}
            }
            *attempts += 1;
        }
        Err("all attempts are used up")
    }
}

/// The body of a stream on its way.
struct StreamBody {
    pieces: mpsc::Receiver<Result<Bytes, BrokenOff>>,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let piece = std::task::ready!(self.pieces.poll_recv(cx));
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }
}
