//! Reading of request bodies within the memory of the host.

use std::time::Duration;

use coltsfootnotch_forward::held::Hold;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::util::body_buffer::{CollectError, collect_buffers};
use crate::util::buffered_body::BufferedBody;
use crate::util::request_body::RequestBody;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The caller's fault, with the status to respond with.
    Status(StatusCode),
    /// The account holds too much already.
    NoRoom,
}

/// Reads a body of at most `limit` bytes, whose buffer `hold` grows by; see [`collect_buffers`].
///
/// # Errors
/// Returns an error if the body is too long, broken or not complete within `time`, or if there is no room.
pub(super) async fn read_body(
    body: RequestBody,
    limit: usize,
    time: Duration,
    hold: &mut Hold,
) -> Result<BufferedBody, BodyError> {
    timeout(time, read_to_end(body, limit, hold))
        .await
        .unwrap_or(Err(BodyError::Status(StatusCode::REQUEST_TIMEOUT)))
}

async fn read_to_end(
    body: RequestBody,
    limit: usize,
    hold: &mut Hold,
) -> Result<BufferedBody, BodyError> {
    let others = hold.bytes();
    let reserve = |bytes| hold.try_resize(others + bytes);
    collect_buffers(body, limit, reserve)
        .await
        .map_err(|e| match e {
            CollectError::TooLong => BodyError::Status(StatusCode::PAYLOAD_TOO_LARGE),
            CollectError::Broken => BodyError::Status(StatusCode::BAD_REQUEST),
            CollectError::NoMemory => BodyError::NoRoom,
        })
}
