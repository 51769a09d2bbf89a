//! Delivery of responses other than streams: complete, or not at all.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::timeout_at;

use super::dialect::Dialect;
use super::exchange::UpstreamResponse;
use super::matched_request::MatchedRequest;
use super::messages::Outcome;
use super::server::Gateway;
use crate::util::connection_io::EndsWithConnection;
use crate::util::cut_body::is_cut;
use crate::util::http_server::AnyResponse;

/// Longest response that is buffered, in bytes.
const MAX_BUFFERED: usize = 8 << 20;

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
    let Some(body) = read_to_end(body, req.deadline).await else {
        let outcome = if Instant::now() >= req.deadline {
            Outcome::Abandoned
        } else {
            Outcome::Broken
        };
        guard.finish(outcome);
        return DeliveryResult::Lost;
    };
    if ends_with_connection {
        let is_cut = is_cut(content_type(&parts), &body);
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

async fn read_to_end(mut body: Incoming, deadline: Instant) -> Option<Bytes> {
    let mut buffered = BytesMut::new();
    loop {
        let frame = timeout_at(deadline.into(), body.frame()).await.ok()?;
        match frame {
            None => return Some(buffered.freeze()),
            Some(Err(_)) => return None,
            Some(Ok(frame)) => buffered.extend_from_slice(frame.data_ref().map_or(&[], |d| &d[..])),
        }
        if buffered.len() > MAX_BUFFERED {
            return None;
        }
    }
}

fn forwarded_response(
    dialect: &Dialect,
    req: &MatchedRequest,
    mut parts: Parts,
    body: Bytes,
) -> AnyResponse {
    (dialect.write_response)(&mut parts.headers);
    if implies_not_run(parts.status) && !req.kind().is_idempotent() {
        // The upstream has not stated that the request did not run, which this status implies.
        parts.status = StatusCode::BAD_GATEWAY;
        (dialect.remove_upstream_mark)(&mut parts.headers);
    }
    let body = Full::new(body).map_err(|never| match never {});
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
