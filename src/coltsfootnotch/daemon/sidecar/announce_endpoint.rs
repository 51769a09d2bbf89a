//! HTTP endpoint on the loopback address for announcements of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_wire::announce::{Announcement, AnnouncementBody};
use hyper::{Method, Request, StatusCode};
use stakker::sync::Channel;

use super::actor::SidecarMsg;
use crate::core::HostCx;
use crate::util::events;
use crate::util::http_server::{AnyResponse, TEXT, full, read_body};
use crate::util::request_body::RequestBody;

const PATH: &str = "/v1/announce";
/// Maximum size of an announcement in bytes; allows a thousand cache events.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Time to read the body of an announcement; the upstream is on the same host.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a request with an announcement.
pub(super) async fn handle_request(
    cx: HostCx,
    tx: Channel<SidecarMsg>,
    req: Request<RequestBody>,
    from: SocketAddr,
) -> AnyResponse {
    if req.uri().path() != PATH {
        return full(
            StatusCode::NOT_FOUND,
            TEXT,
            "announcements go to /v1/announce\n",
        );
    }
    if req.method() != Method::POST {
        return full(
            StatusCode::METHOD_NOT_ALLOWED,
            TEXT,
            "announcements are posted\n",
        );
    }
    let body = match read_body(req.into_body(), MAX_BODY_BYTES, READ_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => return full(status, TEXT, "the announcement can't be read\n"),
    };
    match parse(&body) {
        Ok(announcement) => {
            tx.send(SidecarMsg::Announcement(Box::new(announcement)));
            full(StatusCode::NO_CONTENT, TEXT, "")
        }
        Err(cause) => {
            cx.log(
                &events::ANNOUNCEMENT_REFUSED,
                &[("from", &from), ("cause", &cause)],
            );
            full(StatusCode::BAD_REQUEST, TEXT, format!("{cause}\n"))
        }
    }
}

fn parse(body: &[u8]) -> Result<Announcement, String> {
    let body: AnnouncementBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    Announcement::try_from(body).map_err(|e| match std::error::Error::source(&e) {
        Some(cause) => format!("{e}: {cause}"),
        None => e.to_string(),
    })
}
