//! A stream of events as one upstream sends it.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::time::timeout_at;

use super::event_splitter::EventSplitter;
use super::exchange::{UpstreamResponse, is_invalid};
use super::matched_request::MatchedRequest;
use super::server::Gateway;

/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A stream of one upstream.
pub(super) struct StreamSource {
    pub(super) received: UpstreamResponse,
    pub(super) events: EventSplitter,
}

/// Result of waiting for the next events of a stream.
pub(super) enum Next {
    /// Whole events, or a part of a long one.
    Events(Bytes),
    /// The end, with what came after the last event.
    End(Bytes),
    /// The connection broke, or ended inside an event.
    Broken,
    /// What came is no body.
    Invalid,
    /// Nothing came until the deadline.
    Late,
}

impl StreamSource {
    /// Whether the end of the stream is that of the upstream's connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.received.ends_with_connection()
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
        self.ends_with_connection() && self.has_events() && req.head.last_event.is_none()
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
                    let complete = self.events.push(data);
                    if !complete.is_empty() {
                        return Next::Events(complete);
                    }
                }
            }
        }
    }

    /// Logs that what came is no stream.
    pub(super) fn log_invalid(&self, gw: &Gateway, req: &MatchedRequest) {
        let bytes = self.received.connection.bytes_without_end();
        gw.log_no_response(req, &self.received.ticket, "stream", bytes);
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
