//! One exchange with one upstream, up to the headers of its response.

use std::error::Error;
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Method, Response, StatusCode};
use tokio::time::timeout_at;

use super::dialect::ResponseHead;
use super::exchange_guard::ExchangeGuard;
use super::matched_request::MatchedRequest;
use super::messages::{Outcome, Ticket};
use super::pool::Connection;
use super::replacement::{Replacement, found, late, on_late};
use super::server::Gateway;
use super::stream_source::UNFINISHED_TIMEOUT;
use crate::util::body_framing::BodyFraming;
use crate::util::events;

/// Longest time for which an upstream gets no requests because it asked for none. One that asks for longer is tried
/// again after it: the time may be a mistake, and callers are told of it.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A response whose headers were received.
pub(super) struct UpstreamResponse {
    pub(super) response: Response<Incoming>,
    pub(super) head: ResponseHead,
    pub(super) connection: Connection,
    pub(super) guard: ExchangeGuard,
    pub(super) ticket: Ticket,
    /// How its body ends; `None` if its headers contradict each other.
    pub(super) framing: Option<BodyFraming>,
}

impl UpstreamResponse {
    /// Whether the end of the body is that of the connection, which a crash of the upstream looks like as
    /// well.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.framing == Some(BodyFraming::UntilClose)
    }
}

/// Result of an exchange.
pub(super) enum ExchangeResult {
    /// The headers of a response were received.
    Response(Box<UpstreamResponse>),
    /// The request did not reach the upstream.
    Unreached,
    /// The request was not sent: the upstream asked for none since it was placed, or a stop could cut it off.
    Withheld,
    /// The upstream received the request and did not run it.
    Rejected,
    /// The request was sent and no valid response came; it may have run.
    Lost,
}

impl ExchangeResult {
    /// Its name in log lines.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Response(_) => "answered",
            Self::Unreached => "not reached",
            Self::Withheld => "withheld",
            Self::Rejected => "rejected",
            Self::Lost => "lost",
        }
    }
}

/// Sends a request and waits for the headers of its response until `deadline`, or until the response of a replacement
/// for the upstream has begun.
pub(super) async fn exchange(
    gw: &Gateway,
    req: &MatchedRequest,
    guard: ExchangeGuard,
    last_event: Option<u64>,
    deadline: Instant,
    mut replacement: Option<&mut Replacement>,
) -> ExchangeResult {
    let ticket = guard.ticket().clone();
    // A pooled connection may have been closed before the request is written: retry once on
    // another.
    for _ in 0..2 {
        let connecting = timeout_at(req.deadline.into(), gw.pool.get(&ticket));
        let Ok(Ok(mut connection)) = connecting.await else {
            guard.finish(unsent(req));
            return ExchangeResult::Unreached;
        };
        if Instant::now() >= deadline {
            guard.finish(unsent(req));
            return ExchangeResult::Unreached;
        }
        // It may have waited for its placement and its connection.
        if !gw.accepts_requests(&ticket) || gw.is_too_late(req, ticket.is_repeated) {
            guard.finish(Outcome::NotRun);
            return ExchangeResult::Withheld;
        }
        let request = req.upstream_request(&gw.dialect, &ticket, last_event);
        connection.on_progress();
        let sending = connection.sender.try_send_request(request);
        let mut sending = pin!(timeout_at(deadline.into(), sending));
        let unfinished_until = Instant::now() + UNFINISHED_TIMEOUT;
        let mut due = replacement.as_ref().map(|r| r.late_at());
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent.ok(),
                () = found(&mut replacement) => break None,
                () = late(due) => {
                    let is_silent = connection.bytes_without_progress() == 0;
                    due = on_late(&mut replacement, is_silent, unfinished_until);
                    // What it sends is no head.
                    if due.is_none() && !is_silent {
                        break None;
                    }
                }
            }
        };
        match sent {
            None => {
                let bytes = connection.bytes_without_progress();
                if bytes > 0 {
                    gw.log_no_response(req, &ticket, "head", Some(bytes));
                }
                let outcome = if Instant::now() >= req.deadline {
                    Outcome::Abandoned
                } else if bytes > 0 {
                    Outcome::Failed
                } else {
                    Outcome::Silent
                };
                guard.finish(outcome);
                return ExchangeResult::Lost;
            }
            Some(Err(mut e)) => {
                let unsent = e.take_message().is_some();
                if unsent && connection.reused {
                    continue;
                }
                let (outcome, exchange_result) = if unsent {
                    (Outcome::Unreachable, ExchangeResult::Unreached)
                } else if is_invalid(e.error()) {
                    gw.log_no_response(req, &ticket, "head", connection.bytes_without_end());
                    (Outcome::Failed, ExchangeResult::Lost)
                } else {
                    (Outcome::Broken, ExchangeResult::Lost)
                };
                guard.finish(outcome);
                return exchange_result;
            }
            Some(Ok(response)) => {
                connection.on_progress();
                return classify(gw, req, ticket, response, connection, guard);
            }
        }
    }
    guard.finish(Outcome::Unreachable);
    ExchangeResult::Unreached
}

/// The outcome of a request that was not sent in time.
fn unsent(req: &MatchedRequest) -> Outcome {
    if Instant::now() >= req.deadline {
        Outcome::Abandoned
    } else {
        Outcome::Unreachable
    }
}

fn classify(
    gw: &Gateway,
    req: &MatchedRequest,
    ticket: Ticket,
    mut response: Response<Incoming>,
    connection: Connection,
    guard: ExchangeGuard,
) -> ExchangeResult {
    let head = (gw.dialect.read_response)(response.headers());
    // A late or duplicate response to another request: this request's response can't be identified
    // on this connection any more.
    let is_mismatched = head.id.is_some() && head.id != req.head.id;
    if is_mismatched {
        guard.finish(Outcome::Failed);
        return ExchangeResult::Lost;
    }
    gw.record_notices(req, &ticket, response.status(), &head);
    if head.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        guard.finish(Outcome::NotRun);
        return ExchangeResult::Rejected;
    }
    // A response that is not from an upstream.
    let is_unmarked = response.status().is_success() && !head.has_upstream_mark;
    if is_unmarked {
        guard.finish(Outcome::Failed);
        return ExchangeResult::Lost;
    }
    let to_head = req.method == Method::HEAD;
    let framing = BodyFraming::of_response(to_head, response.status(), response.headers());
    if !matches!(framing, Some(BodyFraming::Length(_))) {
        // A length beside another framing doesn't count, and the caller's response would be framed by it.
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    ExchangeResult::Response(Box::new(UpstreamResponse {
        framing,
        response,
        head,
        connection,
        guard,
        ticket,
    }))
}

/// Whether what the upstream sent is no HTTP, or more of it than may become no part of a response. Such an
/// upstream has failed; that of a connection which broke may have crashed.
pub(super) fn is_invalid(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    let is_invalid = |e: &io::Error| {
        matches!(
            e.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    };
    error.is_parse() || cause.is_some_and(is_invalid)
}

impl Gateway {
    /// Whether the upstream still accepts requests from this entry.
    fn accepts_requests(&self, ticket: &Ticket) -> bool {
        let now = self.cx.now();
        let notices = self.notices.lock();
        notices.accepts(now, &ticket.upstream, ticket.born_ms)
    }

    /// Records and logs what an upstream asks for in its response.
    fn record_notices(
        &self,
        req: &MatchedRequest,
        ticket: &Ticket,
        status: StatusCode,
        head: &ResponseHead,
    ) {
        let upstream = &ticket.upstream;
        if let Some(time) = head.retry_after
            && status == StatusCode::SERVICE_UNAVAILABLE
        {
            let now = self.cx.now();
            let time = time.min(MAX_BACKOFF);
            let mut notices = self.notices.lock();
            let is_new = notices.request_backoff(now, upstream, ticket.born_ms, time);
            drop(notices);
            if is_new {
                let time_ms = time.as_millis();
                self.log(
                    &events::UPSTREAM_BACKOFF_REQUESTED,
                    req,
                    &[("upstream", upstream), ("retry_after_ms", &time_ms)],
                );
            }
        }
        // With this status another upstream responds, to which the address was assigned.
        if head.is_leaving && status != StatusCode::MISDIRECTED_REQUEST {
            let now = self.cx.now();
            let mut notices = self.notices.lock();
            let is_new = notices.mark_leaving(now, upstream, ticket.born_ms);
            drop(notices);
            if is_new {
                self.log(
                    &events::UPSTREAM_LEAVING,
                    req,
                    &[("upstream", upstream), ("stated_in", &"a response")],
                );
            }
        }
    }
}

/// When an upstream is late to start a response where a retry is possible: after the route's target plus
/// twice the expected time, since an engine under load is late and a retry costs as much as the
/// first attempt, but at most `share` of the time left.
pub(super) fn attempt_deadline(req: &MatchedRequest, ticket: &Ticket, share: f64) -> Instant {
    let now = Instant::now();
    let left = req.deadline.saturating_duration_since(now);
    let target = req.route().target.unwrap_or(left);
    let expected = Duration::from_secs_f64(ticket.sent.expected_ms / 1e3);
    let wait = (target + expected * 2).min(left.mul_f64(share));
    now + wait
}
