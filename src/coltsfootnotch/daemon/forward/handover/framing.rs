//! How the end of an HTTP/1 message is found, from its head.

use httparse::{EMPTY_HEADER, Header, Request, Response, Status};

/// Most headers of a message, as many as the server of a neighbour accepts.
const MAX_HEADERS: usize = 100;

/// How the body of a message ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// After as many bytes.
    Length(u64),
    /// After the last chunk and the trailers.
    Chunked,
    /// With the connection.
    UntilClose,
}

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
    pub(super) framing: Framing,
    /// Whether the response has no body whatever its headers state.
    pub(super) is_head: bool,
}

/// What the head of a response states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ResponseHead {
    pub(super) framing: Framing,
    /// Whether another response to the same request follows.
    pub(super) is_informational: bool,
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
        Some(Stated::Framing(Framing::UntilClose)) | None => None,
        Some(Stated::Framing(framing)) => Some(framing),
        Some(Stated::Nothing) => Some(Framing::Length(0)),
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
    let has_no_body = to_head || is_informational || matches!(status, 204 | 304);
    let framing = match stated_framing(response.headers) {
        // After a change of protocol other messages follow.
        _ if status == 101 => None,
        _ if has_no_body => Some(Framing::Length(0)),
        Some(Stated::Framing(framing)) => Some(framing),
        Some(Stated::Nothing) => Some(Framing::UntilClose),
        None => None,
    };
    let stated = framing.map(|framing| ResponseHead {
        framing,
        is_informational,
    });
    Some(Head { len, stated })
}

fn invalid<T>() -> Head<T> {
    Head {
        len: 0,
        stated: None,
    }
}

enum Stated {
    Nothing,
    Framing(Framing),
}

/// What the headers state of the body; `None` if they contradict each other.
fn stated_framing(headers: &[Header<'_>]) -> Option<Stated> {
    let values = |name: &'static str| {
        let named = headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| std::str::from_utf8(h.value).unwrap_or_default().trim())
    };
    if let Some(codings) = values("transfer-encoding").next_back() {
        let last = codings.rsplit(',').next().unwrap_or_default().trim();
        let is_chunked = last.eq_ignore_ascii_case("chunked");
        let framing = if is_chunked {
            Framing::Chunked
        } else {
            Framing::UntilClose
        };
        return Some(Stated::Framing(framing));
    }
    let Some(first) = values("content-length").next() else {
        return Some(Stated::Nothing);
    };
    if values("content-length").any(|other| other != first) {
        return None;
    }
    let is_number = first.bytes().all(|b| b.is_ascii_digit());
    let len = first.parse().ok().filter(|_| is_number)?;
    Some(Stated::Framing(Framing::Length(len)))
}
