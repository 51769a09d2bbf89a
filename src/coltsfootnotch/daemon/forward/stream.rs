//! Delivery of a stream, event by event, resumed at other upstreams when one fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;

use super::event_queue::{EventBody, EventSender, event_queue};
use super::event_splitter::EventSplitter;
use super::exchange::UpstreamResponse;
use super::matched_request::MatchedRequest;
use super::messages::{ForwardMsg, Outcome, StreamPause, Ticket};
use super::replacement::{Replacement, found, late, on_late};
use super::server::Gateway;
use super::stream_source::{Next, StreamSource};
use super::takeover::{StreamTakeover, TakeoverResult};
use crate::util::connection_io::EndsWithConnection;
use crate::util::events;
use crate::util::http_server::AnyResponse;

/// Pause after which another upstream is sought for a stream, as a multiple of the route's target.
/// Engines under load exceed the target and still continue.
const PAUSE_FACTOR: u32 = 4;
/// The same for routes without a target.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_secs(2);

/// Most bytes of comments that are kept until the first event.
const MAX_COMMENTS: usize = 16 * 1024;

/// Result of opening a stream.
pub(super) enum OpenResult {
    /// The first event has come; a task forwards the rest.
    Streaming(AnyResponse),
    /// The stream broke or was late before its first event.
    Lost,
}

/// Waits for the first event, or until the response of a replacement for the upstream has begun, then spawns a task that
/// forwards the stream. `attempts` is the number of upstreams that the request was sent to, including this one.
pub(super) async fn open(
    gw: &Arc<Gateway>,
    req: &Arc<MatchedRequest>,
    received: UpstreamResponse,
    mut replacement: Option<&mut Replacement>,
    attempts: u32,
) -> OpenResult {
    let events = EventSplitter::resumed_after(req.head.last_event);
    let mut source = StreamSource::new(received, events, &gw.held, req);
    // Comments before the first event.
    let mut comments = BytesMut::new();
    let mut due = replacement.as_ref().map(|r| r.late_at());
    let next = loop {
        let next = tokio::select! {
            biased;
            next = source.next(req.deadline) => next,
            () = found(&mut replacement) => Next::Late,
            () = late(due) => {
                let is_silent = !source.has_bytes_without_event();
                due = on_late(&mut replacement, is_silent, source.unfinished_until());
                // What it sends is no stream.
                if due.is_none() && !is_silent {
                    break Next::Late;
                }
                continue;
            }
        };
        match next {
            Next::Comments(more) if comments.len() + more.len() > MAX_COMMENTS => {
                break Next::Invalid;
            }
            Next::Comments(more) => comments.extend_from_slice(&more),
            next => break next,
        }
    };
    let may_have_moved = source.received.ticket.is_repeated
        || replacement
            .as_ref()
            .is_some_and(|r| Instant::now() >= r.late_at());
    if may_have_moved && matches!(next, Next::Events(_) | Next::End(_)) {
        gw.confirm_origin(&source.received.ticket).await;
    }
    match next {
        Next::Events(first) => {
            let first = joined(comments, first);
            source.received.guard.on_first_event();
            let attempts = attempts + replacement.map_or(0, |r| r.attempts());
            OpenResult::Streaming(start(gw, req, source, first, attempts))
        }
        Next::End(_) if source.must_have_events(req) => {
            source.log_end(gw, req);
            source.received.guard.finish(Outcome::Broken);
            OpenResult::Lost
        }
        Next::End(rest) => {
            let rest = joined(comments, rest);
            source.log_end(gw, req);
            source.received.guard.on_first_event();
            let response = start_completed(gw, req, source, rest);
            OpenResult::Streaming(response)
        }
        Next::Broken => {
            source.log_end(gw, req);
            source.received.guard.finish(Outcome::Broken);
            OpenResult::Lost
        }
        Next::Late if !source.has_bytes_without_event() => {
            let outcome = if Instant::now() >= req.deadline {
                Outcome::Abandoned
            } else {
                Outcome::Silent
            };
            source.received.guard.finish(outcome);
            OpenResult::Lost
        }
        Next::Late | Next::Invalid | Next::Comments(_) => {
            source.log_invalid(gw, req);
            source.received.guard.finish(Outcome::Failed);
            OpenResult::Lost
        }
    }
}

/// Comments and what came after them.
fn joined(mut comments: BytesMut, rest: Bytes) -> Bytes {
    if comments.is_empty() {
        return rest;
    }
    comments.extend_from_slice(&rest);
    comments.freeze()
}

fn head(gw: &Gateway, source: &StreamSource, body: EventBody) -> AnyResponse {
    let mut response = Response::new(body.boxed());
    if source.ends_with_connection() {
        response.extensions_mut().insert(EndsWithConnection);
    }
    *response.status_mut() = source.received.response.status();
    let mut headers = source.received.response.headers().clone();
    (gw.dialect.write_response)(&mut headers);
    // What another upstream goes on with may be longer or shorter.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

fn start_completed(
    gw: &Gateway,
    req: &MatchedRequest,
    source: StreamSource,
    rest: Bytes,
) -> AnyResponse {
    let (tx, body) = event_queue(Arc::clone(&gw.held), req.account.clone());
    let response = head(gw, &source, body);
    tokio::spawn(async move {
        if !rest.is_empty() {
            tx.send(rest).await?;
        }
        // Its caller may have left.
        tx.end()
    });
    finish(gw, source);
    response
}

fn start(
    gw: &Arc<Gateway>,
    req: &Arc<MatchedRequest>,
    source: StreamSource,
    first: Bytes,
    attempts: u32,
) -> AnyResponse {
    let (tx, body) = event_queue(Arc::clone(&gw.held), req.account.clone());
    let response = head(gw, &source, body);
    let forwarder = Forwarder {
        gw: Arc::clone(gw),
        req: Arc::clone(req),
        tx,
        is_framed: !source.ends_with_connection(),
    };
    tokio::spawn(forwarder.run(source, first, attempts));
    response
}

fn finish(gw: &Gateway, source: StreamSource) {
    let ends_with_connection = source.ends_with_connection();
    let UpstreamResponse {
        connection,
        head,
        guard,
        ticket,
        ..
    } = source.received;
    if !ends_with_connection {
        gw.pool.put(&ticket, connection, head.keep_alive);
    }
    guard.finish(Outcome::Completed);
}

/// Forwards a stream to the caller.
pub(super) struct Forwarder {
    pub(super) gw: Arc<Gateway>,
    pub(super) req: Arc<MatchedRequest>,
    pub(super) tx: EventSender,
    /// Whether the end of the caller's response states that it is complete.
    is_framed: bool,
}

impl Forwarder {
    async fn run(self, mut source: StreamSource, first: Bytes, mut attempts: u32) {
        if self.tx.send(first).await.is_err() {
            return;
        }
        let mut longest = Duration::ZERO;
        let mut deadline = self.next_event_deadline();
        let mut wait_start = Instant::now();
        // What a takeover ended with.
        let mut taken_over = None;
        loop {
            let next = match taken_over.take() {
                Some(next) => next,
                None => tokio::select! {
                    // The caller has disconnected: dropping the source closes the upstream's
                    // connection.
                    () = self.tx.closed() => return,
                    next = source.next(deadline) => next,
                },
            };
            let takeover = match next {
                Next::Events(events) => {
                    let pause = wait_start.elapsed();
                    longest = longest.max(pause);
                    self.report_pause(&source.received.ticket, pause);
                    if self.tx.send(events).await.is_err() {
                        return;
                    }
                    deadline = self.next_event_deadline();
                    wait_start = Instant::now();
                    continue;
                }
                Next::Comments(comments) => {
                    let sent_at = Instant::now();
                    if self.tx.send(comments).await.is_err() {
                        return;
                    }
                    // Comments don't extend the wait for an event; a slow caller does.
                    deadline = (deadline + sent_at.elapsed()).min(self.req.deadline);
                    continue;
                }
                Next::End(rest) => {
                    source.log_end(&self.gw, &self.req);
                    if !rest.is_empty() {
                        let _result = self.tx.send(rest).await;
                    }
                    self.record_longest_pause(longest);
                    if self.is_framed && source.ends_with_connection() {
                        self.log_unconfirmed(&source);
                    } else {
                        // Fails if the caller has left.
                        let _result = self.tx.end();
                    }
                    return finish(&self.gw, source);
                }
                Next::Broken => {
                    source.log_end(&self.gw, &self.req);
                    StreamTakeover::of_lost(&self, source, attempts, Outcome::Broken)
                }
                Next::Invalid => {
                    source.log_invalid(&self.gw, &self.req);
                    StreamTakeover::of_lost(&self, source, attempts, Outcome::Failed)
                }
                Next::Late => StreamTakeover::of_silent(&self, source, attempts),
            };
            // Boxed, as each stream holds the space of its task.
            let result;
            (attempts, result) = Box::pin(takeover.run()).await;
            match result {
                TakeoverResult::Continued(present, next) => {
                    source = present;
                    taken_over = Some(next);
                }
                TakeoverResult::Resumed(other, next) => {
                    source = other;
                    taken_over = next;
                    deadline = self.next_event_deadline();
                    wait_start = Instant::now();
                }
                TakeoverResult::GivenUp | TakeoverResult::CallerLeft => return,
            }
        }
    }

    /// Logs a response whose first part was framed and whose last part ended with its connection: the
    /// caller has all that came, and is not told that it is complete.
    fn log_unconfirmed(&self, source: &StreamSource) {
        let upstream = &source.received.ticket.upstream;
        let reason = "whether it is complete is unknown";
        self.log_broken_off(upstream, &source.events, Outcome::Completed, reason);
    }

    /// Records the longest pause of a completed stream.
    fn record_longest_pause(&self, longest: Duration) {
        let service = &self.req.config.services()[self.req.service].name;
        let histogram = self
            .gw
            .cx
            .metrics
            .histogram("longest_pause_seconds", &[("service", &**service)]);
        histogram.record(longest.as_secs_f64());
    }

    /// Reports a pause of at least half the route's target to the actor.
    fn report_pause(&self, ticket: &Ticket, time: Duration) {
        let Some(tolerated) = self.req.route().gap.filter(|gap| time * 2 >= *gap) else {
            return;
        };
        self.gw.tx.send(ForwardMsg::StreamPause(StreamPause {
            upstream: ticket.upstream.clone(),
            born_ms: ticket.born_ms,
            time,
            tolerated,
        }));
    }

    /// Deadline for the next event.
    fn next_event_deadline(&self) -> Instant {
        if !self.req.kind().is_idempotent() {
            return self.req.deadline;
        }
        (Instant::now() + self.max_pause()).min(self.req.deadline)
    }

    /// Pause after which another upstream is sought.
    fn max_pause(&self) -> Duration {
        let gap = self.req.route().gap;
        gap.map_or(DEFAULT_MAX_PAUSE, |gap| gap * PAUSE_FACTOR)
    }

    pub(super) fn log_broken_off(
        &self,
        upstream: &Arc<str>,
        events: &EventSplitter,
        outcome: Outcome,
        reason: &'static str,
    ) {
        let outcome = format!("{outcome:?}");
        self.gw.log(
            &events::STREAM_ABORTED,
            &self.req,
            &[
                ("upstream", upstream),
                ("ended", &outcome),
                ("events", &events.seen()),
                ("not_resumed", &reason),
            ],
        );
    }
}
