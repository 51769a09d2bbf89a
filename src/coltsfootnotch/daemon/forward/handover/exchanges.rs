//! The requests and responses of a relayed connection.

use std::collections::VecDeque;

use super::framing::{RequestHead, ResponseHead, request_head, response_head};
use super::message_position::MessagePosition;

/// Follows the requests and responses of a connection as their bytes pass, to tell whether a response
/// of its own may be written to the caller: a neighbour can be gone at any byte, and bytes written
/// into a response that has begun are taken for a part of it.
#[derive(Debug, Default)]
pub(super) struct Exchanges {
    request: MessagePosition,
    response: MessagePosition,
    /// Requests with a complete head and without a complete response, the oldest first.
    unanswered: VecDeque<RequestHead>,
    /// Whether a response has said that the connection is closed after it.
    is_closing: bool,
    /// Whether bytes that were passed of a response are being written to the caller.
    pub(super) is_writing: bool,
}

impl Exchanges {
    /// Follows bytes of the caller.
    pub(super) fn pass_request_bytes(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.request.is_after_head() {
                self.request.pass_body(&mut bytes);
                continue;
            }
            if self.request == MessagePosition::Between {
                // Servers skip empty lines between requests.
                let is_line_end = |b: &u8| matches!(b, b'\r' | b'\n');
                let start = bytes.iter().position(|b| !is_line_end(b));
                bytes = &bytes[start.unwrap_or(bytes.len())..];
                if bytes.is_empty() {
                    return;
                }
            }
            let framing = |head: RequestHead| head.framing;
            let head = self.request.pass_head(&mut bytes, request_head, framing);
            self.unanswered.extend(head);
        }
    }

    /// Follows bytes of the neighbour.
    pub(super) fn pass_response_bytes(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.response.is_after_head() {
                self.response.pass_body(&mut bytes);
                if self.response == MessagePosition::Between {
                    self.unanswered.pop_front();
                }
                continue;
            }
            let Some(request) = self.unanswered.front() else {
                // A response to a request whose head is not complete: which of the bytes that
                // follow belong to which request can't be told.
                self.response = MessagePosition::Unknown;
                return;
            };
            let to_head = request.is_head;
            let parse = |bytes: &[u8]| response_head(bytes, to_head);
            let framing = |head: ResponseHead| head.framing;
            let head = self.response.pass_head(&mut bytes, parse, framing);
            self.is_closing |= head.is_some_and(|head| head.is_last);
            let is_final = head.is_some_and(|head| !head.is_informational);
            if is_final && self.response == MessagePosition::Between {
                self.unanswered.pop_front();
            }
        }
    }

    /// Bytes that are held of what has passed: incomplete heads and requests without a complete response.
    pub(super) fn held_bytes(&self) -> u64 {
        let heads = self.request.capacity() + self.response.capacity();
        let unanswered = self.unanswered.capacity() * size_of::<RequestHead>();
        (heads + unanswered) as u64
    }

    /// Whether a request waits for its response, and nothing of that response has passed.
    pub(super) fn awaits_response(&self) -> bool {
        let has_request =
            !self.unanswered.is_empty() || matches!(self.request, MessagePosition::Head(_));
        has_request && self.response == MessagePosition::Between
    }

    /// Whether the caller may send its next request: none is in progress, and no response was the last.
    pub(super) fn expects_request(&self) -> bool {
        !self.is_closing && self.is_idle()
    }

    /// Whether no request or response is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.unanswered.is_empty()
            && self.request == MessagePosition::Between
            && self.response == MessagePosition::Between
    }

    /// Whether a response has begun and is not complete.
    pub(super) fn is_response_in_progress(&self) -> bool {
        self.response != MessagePosition::Between
    }

    /// Whether a complete request waits for its response.
    pub(super) fn has_complete_request(&self) -> bool {
        !self.unanswered.is_empty() && self.request == MessagePosition::Between
    }

    /// Whether a response has begun that ends with the connection, as one may that can't be followed.
    pub(super) fn response_may_end_with_connection(&self) -> bool {
        matches!(
            self.response,
            MessagePosition::UntilClose | MessagePosition::Unknown
        )
    }
}

#[cfg(test)]
#[path = "exchanges_tests.rs"]
mod tests;
