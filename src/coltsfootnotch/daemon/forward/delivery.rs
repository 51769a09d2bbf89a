//! Delivery of responses other than streams: complete, or not at all.

use std::time::{Duration, Instant};

use coltsfootnotch_forward::held::{HeldKind, Hold};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::{sleep, timeout_at};

use super::dialect::Dialect;
use super::exchange::{UpstreamResponse, is_invalid};
use super::held_chunk::WholeBody;
use super::matched_request::MatchedRequest;
use super::messages::Outcome;
use super::pool::Connection;
use super::server::Gateway;
use crate::util::body_buffer::Buffers;
use crate::util::buffered_body::BufferedBody;
use crate::util::connection_io::EndsWithConnection;
use crate::util::cut_body::is_cut;
use crate::util::http_server::AnyResponse;

/// Longest response that is buffered, in bytes.
const MAX_BUFFERED: usize = 8 << 20;

/// Part of a response that is read whatever its account holds, in bytes. The memory that no new request may
/// take is for it; most responses are shorter.
pub(super) const SMALL_BYTES: u64 = 64 * 1024;

/// Longest time for which a longer response waits for room, and the share of it that each waits at least. Responses
/// that all wait hold the room which one of them needs, so some are given up, not all at the same time.
const ROOM_TIMEOUT: Duration = Duration::from_millis(400);
const MIN_ROOM_TIMEOUT: f64 = 0.25;

/// Time between two checks whether there is room for more of a longer response.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Result of reading a response.
pub(super) enum DeliveryResult {
    /// The complete response.
    Complete(AnyResponse),
    /// The complete response, with a server error as status.
    Failure(AnyResponse),
    /// The connection broke, the body was cut short, the response is too long or the deadline passed.
    Lost,
}

/// Reads a complete response before any of it is sent to the caller, so that an idempotent request
/// can be retried until then.
pub(super) async fn read_response(
    gw: &Gateway,
    req: &MatchedRequest,
    received: UpstreamResponse,
) -> DeliveryResult {
    let ends_with_connection = received.ends_with_connection();
    let UpstreamResponse {
        response,
        head,
        connection,
        mut guard,
        ticket,
        ..
    } = received;
    guard.on_first_event();
    let (parts, body) = response.into_parts();
    let mut hold = gw.held.hold(HeldKind::Response, req.account.as_ref(), 0, 0);
    let reading = BodyReading {
        connection: &connection,
        deadline: req.deadline,
        draw: gw.draw,
    };
    let body = match reading.read_to_end(body, &mut hold).await {
        Ok(body) => body,
        Err(reason) => {
            match reason {
                Unread::Invalid => {
                    gw.log_no_response(req, &ticket, "body", connection.bytes_without_end());
                }
                Unread::TooLong(bytes) => gw.log_no_response(req, &ticket, "body", Some(bytes)),
                Unread::NoRoom => gw.count_no_room(req),
                Unread::Late | Unread::Broken => {}
            }
            guard.finish(reason.outcome());
            return DeliveryResult::Lost;
        }
    };
    if ends_with_connection {
        let is_cut = is_cut(content_type(&parts), &body.join());
        gw.log_end_with_connection(req, &ticket, ("bytes", &body.len()), is_cut);
        if is_cut {
            guard.finish(Outcome::Broken);
            return DeliveryResult::Lost;
        }
    } else {
        gw.pool.put(&ticket, connection, head.keep_alive);
    }
    let failed = parts.status.is_server_error();
    guard.finish(if failed {
        Outcome::Failed
    } else {
        Outcome::Completed
    });
    let body = WholeBody::new(body, hold);
    let mut response = forwarded_response(&gw.dialect, req, parts, body);
    if ends_with_connection {
        response.extensions_mut().insert(EndsWithConnection);
    }
    if failed {
        DeliveryResult::Failure(response)
    } else {
        DeliveryResult::Complete(response)
    }
}

fn content_type(parts: &Parts) -> &str {
    let value = parts.headers.get(CONTENT_TYPE);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Why a response was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unread {
    /// The deadline passed.
    Late,
    /// The connection broke.
    Broken,
    /// What came is no body.
    Invalid,
    /// The response is longer than may be buffered: what it states, or what came, in bytes.
    TooLong(u64),
    /// This host has no room for it.
    NoRoom,
}

impl Unread {
    fn outcome(self) -> Outcome {
        match self {
            // What this host lacks is no failure of the upstream.
            Self::Late | Self::NoRoom => Outcome::Abandoned,
            Self::Broken => Outcome::Broken,
            Self::Invalid | Self::TooLong(_) => Outcome::Failed,
        }
    }
}

/// What the reading of a response needs.
struct BodyReading<'a> {
    connection: &'a Connection,
    deadline: Instant,
    draw: fn() -> f64,
}

impl BodyReading<'_> {
    /// Reads a response, which `hold` grows by. A long one is read only while there is room: until then its
    /// upstream's connection holds it back, for [`ROOM_TIMEOUT`].
    async fn read_to_end(
        &self,
        mut body: Incoming,
        hold: &mut Hold,
    ) -> Result<BufferedBody, Unread> {
        let stated = body.size_hint().lower();
        if stated > MAX_BUFFERED as u64 {
            return Err(Unread::TooLong(stated));
        }
        let mut bufs = Buffers::new(stated as usize);
        loop {
            let frame = timeout_at(self.deadline.into(), body.frame());
            match frame.await.map_err(|_| Unread::Late)? {
                None => return Ok(bufs.finish()),
                Some(Err(e)) if is_invalid(&e) => return Err(Unread::Invalid),
                Some(Err(_)) => return Err(Unread::Broken),
                Some(Ok(frame)) => {
                    self.connection.on_progress();
                    let mut data = frame.data_ref().map_or(&[][..], |d| &d[..]);
                    while !data.is_empty() {
                        if let Some(more) = bufs.needed_bytes() {
                            self.wait_for_room(hold, more as u64).await?;
                            bufs.add(more);
                        }
                        data = bufs.fill(data);
                    }
                }
            }
            if bufs.len() > MAX_BUFFERED {
                return Err(Unread::TooLong(bufs.len() as u64));
            }
        }
    }

    async fn wait_for_room(&self, hold: &mut Hold, bytes: u64) -> Result<(), Unread> {
        if hold.bytes() + bytes <= SMALL_BYTES {
            hold.resize(hold.bytes() + bytes);
            return Ok(());
        }
        if hold.try_grow_response(bytes) {
            return Ok(());
        }
        let share = MIN_ROOM_TIMEOUT + (1.0 - MIN_ROOM_TIMEOUT) * (self.draw)();
        let give_up_at = Instant::now() + ROOM_TIMEOUT.mul_f64(share);
        while !hold.try_grow_response(bytes) {
            if Instant::now() >= self.deadline {
                return Err(Unread::Late);
            }
            if Instant::now() >= give_up_at {
                return Err(Unread::NoRoom);
            }
            sleep(ROOM_INTERVAL).await;
        }
        Ok(())
    }
}

fn forwarded_response(
    dialect: &Dialect,
    req: &MatchedRequest,
    mut parts: Parts,
    body: WholeBody,
) -> AnyResponse {
    (dialect.write_response)(&mut parts.headers);
    if implies_not_run(parts.status) && !req.kind().is_idempotent() {
        // The upstream has not stated that the request did not run, which this status implies.
        parts.status = StatusCode::BAD_GATEWAY;
        (dialect.remove_upstream_mark)(&mut parts.headers);
    }
    let body = body.map_err(|never| match never {});
    Response::from_parts(parts, body.boxed())
}

fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
