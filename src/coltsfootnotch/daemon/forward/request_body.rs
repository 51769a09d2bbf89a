//! Reading of request bodies within the memory of the host.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfootnotch_forward::held::Hold;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;
use tokio::time::timeout;

use crate::util::request_body::RequestBody;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The caller's fault, with the status to respond with.
    Status(StatusCode),
    /// The account holds too much already.
    NoRoom,
}

/// Reads a body of at most `limit` bytes, which `hold` grows by: by all of it before the first byte is
/// read if its length is stated, so that callers that send slowly are refused at once.
///
/// # Errors
/// Returns an error if the body is too long, broken or not complete within `time`, or if there is no room.
pub(super) async fn read_body(
    body: RequestBody,
    limit: usize,
    time: Duration,
    hold: &mut Hold,
) -> Result<Bytes, BodyError> {
    timeout(time, read_to_end(body, limit, hold))
        .await
        .unwrap_or(Err(BodyError::Status(StatusCode::REQUEST_TIMEOUT)))
}

async fn read_to_end(
    mut body: RequestBody,
    limit: usize,
    hold: &mut Hold,
) -> Result<Bytes, BodyError> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|len| len > limit as u64) {
        return Err(BodyError::Status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut held = stated.unwrap_or(0);
    if !hold.try_grow(held) {
        return Err(BodyError::NoRoom);
    }
    let mut buf = BytesMut::with_capacity(held as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Status(StatusCode::BAD_REQUEST))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > limit {
            return Err(BodyError::Status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if len as u64 > held {
            if !hold.try_grow(len as u64 - held) {
                return Err(BodyError::NoRoom);
            }
            held = len as u64;
        }
        buf.extend_from_slice(data);
    }
    Ok(buf.freeze())
}
