//! How the end of an HTTP/1 message body is found, from the head of the message.

use hyper::{HeaderMap, StatusCode};

/// How the body of a message ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// After as many bytes.
    Length(u64),
    /// After the last chunk and the trailers.
    Chunked,
    /// With the connection. A crash ends the connection as well, so whether the body is complete is
    /// unknown.
    UntilClose,
}

/// What the headers of a message state of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedFraming {
    /// Neither a length nor a transfer coding.
    Nothing,
    /// How the body ends.
    Framing(BodyFraming),
}

impl StatedFraming {
    /// Reads the framing from `values`, which returns the values of a header by its name in lower case.
    /// `None` if they are invalid or contradict each other.
    ///
    /// ```
    /// use coltsfootnotch::util::body_framing::{BodyFraming, StatedFraming};
    /// let headers = [("content-length", "12")];
    /// let values = |name| headers.iter().filter(move |(n, _)| *n == name).map(|(_, value)| *value);
    /// let stated = StatedFraming::from_values(values);
    /// assert_eq!(stated, Some(StatedFraming::Framing(BodyFraming::Length(12))));
    /// ```
    pub fn from_values<'v, I>(values: impl Fn(&'static str) -> I) -> Option<Self>
    where
        I: Iterator<Item = &'v str>,
    {
        if let Some(codings) = values("transfer-encoding").last() {
            let last = codings.rsplit(',').next().unwrap_or_default().trim();
            let is_chunked = last.eq_ignore_ascii_case("chunked");
            return Some(Self::Framing(if is_chunked {
                BodyFraming::Chunked
            } else {
                BodyFraming::UntilClose
            }));
        }
        let Some(first) = values("content-length").next() else {
            return Some(Self::Nothing);
        };
        if values("content-length").any(|other| other != first) {
            return None;
        }
        let is_number = first.bytes().all(|b| b.is_ascii_digit());
        let len = first.parse().ok().filter(|_| is_number)?;
        Some(Self::Framing(BodyFraming::Length(len)))
    }
}

impl BodyFraming {
    /// The framing of a response; `to_head` tells whether it responds to a HEAD request. `None` if the
    /// headers contradict each other, or if other messages than HTTP follow.
    ///
    /// ```
    /// use coltsfootnotch::util::body_framing::BodyFraming;
    /// use hyper::{HeaderMap, StatusCode};
    /// let no_headers = HeaderMap::new();
    /// let framing = |to_head, status| BodyFraming::of_response(to_head, status, &no_headers);
    /// assert_eq!(framing(false, StatusCode::OK), Some(BodyFraming::UntilClose));
    /// assert_eq!(framing(true, StatusCode::OK), Some(BodyFraming::Length(0)));
    /// assert_eq!(framing(false, StatusCode::NO_CONTENT), Some(BodyFraming::Length(0)));
    /// ```
    #[must_use]
    pub fn of_response(to_head: bool, status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let stated = StatedFraming::from_values(|name| {
            let values = headers.get_all(name).iter();
            values.map(|value| value.to_str().unwrap_or_default().trim())
        });
        Self::of_stated_response(to_head, status.as_u16(), stated)
    }

    /// The same for a response whose headers state `stated`.
    pub(crate) fn of_stated_response(
        to_head: bool,
        status: u16,
        stated: Option<StatedFraming>,
    ) -> Option<Self> {
        let has_no_body = to_head || (100..200).contains(&status) || matches!(status, 204 | 304);
        match stated {
            // After a change of protocol other messages follow.
            _ if status == 101 => None,
            _ if has_no_body => Some(Self::Length(0)),
            Some(StatedFraming::Framing(framing)) => Some(framing),
            Some(StatedFraming::Nothing) => Some(Self::UntilClose),
            None => None,
        }
    }
}
