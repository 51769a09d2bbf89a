//! Delivery of an answer that is no stream: whole, or not at all.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::timeout_at;

use super::dialect::Dialect;
use super::exchange::Answer;
use super::messages::Ended;
use super::requested::Requested;
use super::server::Gateway;
use crate::util::http_server::AnyResponse;

/// Longest answer that is held until it is whole.
const MAX_HELD: usize = 8 << 20;

/// What became of an answer.
pub(super) enum Delivered {
    /// The whole answer.
    Whole(AnyResponse),
    /// The whole answer, by which the upstream says that it failed.
    Failure(AnyResponse),
    /// It broke off, or the time is over.
    Lost,
}

/// Collects an answer; nothing reaches the caller before all of it has come, so that a request that
/// may be repeated still can be.
pub(super) async fn collect(gw: &Gateway, req: &Requested, answer: Answer) -> Delivered {
    let Answer {
        response,
        head,
        connection,
        mut flight,
        ticket,
    } = answer;
    flight.begin();
    let (parts, body) = response.into_parts();
    let Some(body) = whole(body, req.deadline).await else {
        let ended = if Instant::now() >= req.deadline {
            Ended::Abandoned
        } else {
            Ended::Broken
        };
        flight.end(ended);
        return Delivered::Lost;
    };
    gw.pool.put(&ticket, connection, head.keep_alive);
    let failed = parts.status.is_server_error();
    flight.end(if failed { Ended::Failed } else { Ended::Well });
    let response = passed_on(&gw.dialect, req, parts, body);
    if failed {
        Delivered::Failure(response)
    } else {
        Delivered::Whole(response)
    }
}

async fn whole(mut body: Incoming, until: Instant) -> Option<Bytes> {
    let mut held = BytesMut::new();
    loop {
        let frame = timeout_at(until.into(), body.frame()).await.ok()?;
        match frame {
            None => return Some(held.freeze()),
            Some(Err(_)) => return None,
            Some(Ok(frame)) => held.extend_from_slice(frame.data_ref().map_or(&[], |d| &d[..])),
        }
        if held.len() > MAX_HELD {
            return None;
        }
    }
}

fn passed_on(dialect: &Dialect, req: &Requested, mut parts: Parts, body: Bytes) -> AnyResponse {
    (dialect.write_answer)(&mut parts.headers);
    if promises_not_run(parts.status) && !req.kind().is_idempotent() {
        // Without the upstream's word that it did not run, the status would promise too much.
        parts.status = StatusCode::BAD_GATEWAY;
        (dialect.unmark)(&mut parts.headers);
    }
    let body = Full::new(body).map_err(|never| match never {});
    Response::from_parts(parts, body.boxed())
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
