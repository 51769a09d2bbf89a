//! The heads of HTTP/1 messages, and what they state of the messages' ends.

use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

use crate::util::body_framing::{BodyFraming, StatedFraming};

/// Most headers of a message, as many as the server of a neighbour accepts.
const MAX_HEADERS: usize = 100;

/// What the head of a message states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Head<T> {
    /// Length of the head in bytes.
    pub(super) len: usize,
    /// What the head states; `None` if the end of the message can't be found.
    pub(super) stated: Option<T>,
}

/// What the head of a request states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestHead {
    pub(super) framing: BodyFraming,
    /// Whether the response has no body whatever its headers state.
    pub(super) is_head: bool,
}

/// What the head of a response states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ResponseHead {
    pub(super) framing: BodyFraming,
    /// Whether another response to the same request follows.
    pub(super) is_informational: bool,
    /// Whether the connection is closed after the response.
    pub(super) is_last: bool,
}

/// Parses the head of a request; `None` if it is incomplete.
pub(super) fn request_head(bytes: &[u8]) -> Option<Head<RequestHead>> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut req = Request::new(&mut headers);
    let len = match req.parse(bytes) {
        Ok(Status::Complete(len)) => len,
        Ok(Status::Partial) => return None,
        Err(_) => return Some(invalid()),
    };
    let method = req.method.unwrap_or_default();
    let framing = match stated_framing(req.headers) {
        // A tunnel has no further messages.
        _ if method == "CONNECT" => None,
        Some(StatedFraming::Framing(BodyFraming::UntilClose)) | None => None,
        Some(StatedFraming::Framing(framing)) => Some(framing),
        Some(StatedFraming::Nothing) => Some(BodyFraming::Length(0)),
    };
    let is_head = method == "HEAD";
    let stated = framing.map(|framing| RequestHead { framing, is_head });
    Some(Head { len, stated })
}

/// Parses the head of a response; `None` if it is incomplete. `to_head` tells whether it responds to a
/// HEAD request.
pub(super) fn response_head(bytes: &[u8], to_head: bool) -> Option<Head<ResponseHead>> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let len = match response.parse(bytes) {
        Ok(Status::Complete(len)) => len,
        Ok(Status::Partial) => return None,
        Err(_) => return Some(invalid()),
    };
    let status = response.code.unwrap_or_default();
    let is_informational = (100..200).contains(&status);
    let is_last = response.headers.iter().any(|h| {
        h.name.eq_ignore_ascii_case("connection") && h.value.eq_ignore_ascii_case(b"close")
    });
    let stated = stated_framing(response.headers);
    let framing = BodyFraming::of_stated_response(to_head, status, stated);
    let stated = framing.map(|framing| ResponseHead {
        framing,
        is_informational,
        is_last,
    });
    Some(Head { len, stated })
}

fn invalid<T>() -> Head<T> {
    Head {
        len: 0,
        stated: None,
    }
}

fn stated_framing(headers: &[Header<'_>]) -> Option<StatedFraming> {
    StatedFraming::from_values(|name| {
        let named = headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| std::str::from_utf8(h.value).unwrap_or_default().trim())
    })
}
