//! A stream of events as one upstream sends it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootnotch_forward::held::{HeldKind, HeldResources, Hold};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::time::timeout_at;

use super::delivery::SMALL_BYTES;
use super::event_splitter::{EventSplitter, has_line_of_event};
use super::exchange::{UpstreamResponse, is_invalid};
use super::matched_request::MatchedRequest;
use super::server::Gateway;

/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Time since the last event, or since its request was sent, for which an upstream is listened to that sends bytes and
/// completes nothing. A sound one may show by comments or interim responses that it is at work, for a second or so; of
/// one that sends them without end, callers expect an end within the two seconds after which they give up.
pub(super) const UNFINISHED_TIMEOUT: Duration = Duration::from_millis(1_400);

/// A stream of one upstream.
pub(super) struct StreamSource {
    pub(super) received: UpstreamResponse,
    pub(super) events: EventSplitter,
    /// Bytes of the body since the last event, and when the last of them came.
    since_event: u64,
    last_bytes_at: Instant,
    /// When the last event came, or else the head.
    last_event_at: Instant,
    /// Whether numbers of events must increase: on other routes they need not identify events.
    has_increasing_ids: bool,
    /// Counts what is buffered of a long event.
    hold: Hold,
}

/// Result of waiting for the next events of a stream.
pub(super) enum Next {
    /// Whole events, or a part of a long one.
    Events(Bytes),
    /// Comments and blank lines, which are no events.
    Comments(Bytes),
    /// The end, with what came after the last event.
    End(Bytes),
    /// The connection broke, or ended inside an event.
    Broken,
    /// What came is no body, or events that do not go on after those before.
    Invalid,
    /// Nothing came until the deadline.
    Late,
}

impl StreamSource {
    /// The stream that a response to `req` begins, after `events` of earlier responses. What is buffered is held
    /// for the account of `req`.
    pub(super) fn new(
        received: UpstreamResponse,
        events: EventSplitter,
        held: &Arc<HeldResources>,
        req: &MatchedRequest,
    ) -> Self {
        let account = req.account.as_ref();
        Self {
            has_increasing_ids: req.kind().is_idempotent(),
            received,
            events,
            since_event: 0,
            last_bytes_at: Instant::now(),
            last_event_at: Instant::now(),
            hold: held.hold(HeldKind::Response, account, 0, 0),
        }
    }

    /// Whether bytes came since the last event.
    pub(super) fn has_bytes_without_event(&self) -> bool {
        self.since_event > 0
    }

    /// Whether bytes that are no event have come within `time`. An upstream that sends such bytes is not silent.
    pub(super) fn has_sent_without_event(&self, time: Duration) -> bool {
        self.since_event > 0 && self.last_bytes_at.elapsed() < time
    }

    /// Until when it is listened to if it sends bytes and completes no event.
    pub(super) fn unfinished_until(&self) -> Instant {
        self.last_event_at + UNFINISHED_TIMEOUT
    }

    /// Whether the end of the stream is that of the upstream's connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.received.ends_with_connection()
    }

    /// Whether the numbers of events go back or repeat, so that the stream can't be continued with them.
    fn is_out_of_order(&self) -> bool {
        self.has_increasing_ids && self.has_events() && self.events.is_out_of_order()
    }

    /// Whether the body consists of events; upstreams need not state so.
    fn has_events(&self) -> bool {
        let content_type = self.received.response.headers().get(CONTENT_TYPE);
        let is_event_stream = |value: &HeaderValue| {
            let start = value.as_bytes().get(..EVENT_STREAM.len());
            start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
        };
        content_type.is_none_or(is_event_stream)
    }

    /// Whether a stream that ends now was broken off: a crash of the upstream looks like the end of a
    /// response that ends with its connection.
    fn is_cut(&self) -> bool {
        self.ends_with_connection() && self.has_events() && self.events.is_inside_event()
    }

    /// Whether an end before the first event is a break, as that of a crash. A caller that resumes its stream
    /// may have all events.
    pub(super) fn must_have_events(&self, req: &MatchedRequest) -> bool {
        self.ends_with_connection() && self.has_events() && !req.head.states_last_event
    }

    pub(super) async fn next(&mut self, deadline: Instant) -> Next {
        loop {
            let body = self.received.response.body_mut();
            let Ok(frame) = timeout_at(deadline.into(), body.frame()).await else {
                return Next::Late;
            };
            match frame {
                None if self.is_cut() => return Next::Broken,
                None => return Next::End(self.events.take_rest()),
                Some(Err(e)) if is_invalid(&e) => return Next::Invalid,
                Some(Err(_)) => return Next::Broken,
                Some(Ok(frame)) => {
                    self.received.connection.on_progress();
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    self.since_event += data.len() as u64;
                    self.last_bytes_at = Instant::now();
                    let was_inside_event = self.events.is_partly_returned();
                    let complete = self.events.push(data);
                    let next = self.next_of(complete, was_inside_event);
                    self.hold_rest();
                    if self.is_out_of_order() {
                        return Next::Invalid;
                    }
                    if let Some(next) = next {
                        return next;
                    }
                }
            }
        }
    }

    /// What complete events and comments are to their caller, and a part of an event that there is no room for.
    fn next_of(&mut self, complete: Bytes, was_inside_event: bool) -> Option<Next> {
        if complete.is_empty() {
            let has_room = self.has_room_for_rest();
            return (!has_room).then(|| Next::Events(self.events.take_part()));
        }
        let is_comment = !was_inside_event && self.has_events() && !has_line_of_event(&complete);
        if is_comment {
            return Some(Next::Comments(complete));
        }
        self.since_event = 0;
        self.last_event_at = Instant::now();
        Some(Next::Events(complete))
    }

    fn has_room_for_rest(&mut self) -> bool {
        let rest = self.events.rest_len() as u64;
        let more = rest.saturating_sub(self.hold.bytes());
        rest <= SMALL_BYTES || self.hold.try_grow_response(more)
    }

    fn hold_rest(&mut self) {
        self.hold.resize(self.events.rest_len() as u64);
    }

    /// Logs that what came is no stream.
    pub(super) fn log_invalid(&self, gw: &Gateway, req: &MatchedRequest) {
        if self.is_out_of_order() {
            gw.log_no_response(req, &self.received.ticket, "order of events", None);
            return;
        }
        let bytes = self.received.connection.bytes_without_end();
        let bytes = bytes.unwrap_or(self.since_event);
        gw.log_no_response(req, &self.received.ticket, "stream", Some(bytes));
    }

    /// Logs the end of the stream if it ends with its connection.
    pub(super) fn log_end(&self, gw: &Gateway, req: &MatchedRequest) {
        if self.ends_with_connection() {
            let events = self.events.seen();
            let ticket = &self.received.ticket;
            gw.log_end_with_connection(req, ticket, ("events", &events), self.is_cut());
        }
    }
}
