//! Which bytes of a connection belong to which message.

use googletest::prelude::*;
use proptest::prelude::*;

use super::Exchanges;

const REQUESTS: [&str; 4] = [
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
    "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 7\r\n\r\nHEAD / ",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5;x=y\r\nGET /\r\n0\r\nA: b\r\n\r\n",
];

/// Responses to requests other than HEAD.
const RESPONSES: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nHTTP/1.1 200",
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\ncontent-length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\nHTTP/1.1 200 OK\r\n\r\n0\r\n\r\nab\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
];
const RESPONSE_TO_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n";

/// An exchange by the indexes of its request and response.
fn messages(request: usize, response: usize) -> (&'static str, &'static str) {
    let request = REQUESTS[request];
    if request.starts_with("HEAD") {
        (request, RESPONSE_TO_HEAD)
    } else {
        (request, RESPONSES[response])
    }
}

/// Length of the informational responses at the start of a response.
fn informational_len(response: &str) -> usize {
    response.rfind("HTTP/1.1 204").unwrap_or(0)
}

proptest! {
    /// Guards against a message end that is taken for another, whatever the reads between which bytes are split: the
    /// failure of a lost neighbour would be written into a response.
    #[test]
    fn a_response_is_awaited_only_before_its_first_byte(
        exchanges in proptest::collection::vec((0..REQUESTS.len(), 0..RESPONSES.len()), 1..6),
        reads in proptest::collection::vec(1_usize..40, 400),
    ) {
        let mut followed = Exchanges::default();
        let mut reads = reads.into_iter();
        for (request, response) in exchanges {
            let (request, response) = messages(request, response);
            prop_assert!(!followed.awaits_response());
            let mut left = request.as_bytes();
            while !left.is_empty() {
                let (read, rest) = left.split_at(reads.next().unwrap_or(1).min(left.len()));
                left = rest;
                followed.pass_request_bytes(read);
                prop_assert!(followed.awaits_response());
            }
            let mut left = response.as_bytes();
            while !left.is_empty() {
                let (read, rest) = left.split_at(reads.next().unwrap_or(1).min(left.len()));
                left = rest;
                followed.pass_response_bytes(read);
                let passed = response.len() - left.len();
                let informational = &response[..informational_len(response)];
                // Between two informational responses nothing of the final one has passed either.
                let is_between = passed <= informational.len()
                    && informational[..passed].ends_with("\r\n\r\n");
                prop_assert_eq!(followed.awaits_response(), is_between);
            }
        }
    }

    /// Guards against a panic or an endless loop on bytes that are no messages.
    #[test]
    fn any_bytes_can_be_followed(
        reads in proptest::collection::vec((any::<bool>(), "[ -~\r\n]{1,60}"), 1..20),
    ) {
        let mut followed = Exchanges::default();
        for (of_caller, bytes) in reads {
            if of_caller {
                followed.pass_request_bytes(bytes.as_bytes());
            } else {
                followed.pass_response_bytes(bytes.as_bytes());
            }
        }
    }
}

/// Guards against a second response whose position is taken for that of the first.
#[gtest]
fn pipelined_requests_are_answered_one_after_the_other() {
    let mut followed = Exchanges::default();
    let [get, head, ..] = REQUESTS;
    followed.pass_request_bytes(format!("{head}{get}\r\n{head}").as_bytes());
    followed.pass_response_bytes(format!("{RESPONSE_TO_HEAD}{}", &RESPONSES[0][..50]).as_bytes());
    expect_that!(followed.awaits_response(), eq(false));
    followed.pass_response_bytes(&RESPONSES[0].as_bytes()[50..]);
    expect_that!(followed.awaits_response(), eq(true));
    followed.pass_response_bytes(RESPONSE_TO_HEAD.as_bytes());
    expect_that!(followed.awaits_response(), eq(false));
}

/// Guards against a failure where it can't be told what has been responded to.
#[gtest]
fn nothing_is_awaited_where_messages_can_not_be_told_apart() {
    let contradictory = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\n";
    for response in [
        contradictory,
        "no response\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        let mut followed = Exchanges::default();
        followed.pass_request_bytes(REQUESTS[0].as_bytes());
        followed.pass_response_bytes(response.as_bytes());
        followed.pass_request_bytes(REQUESTS[0].as_bytes());
        expect_that!(followed.awaits_response(), eq(false), "{response:?}");
    }
    let mut followed = Exchanges::default();
    followed.pass_request_bytes(b"GET /a HTTP/1.1\r\nHo");
    followed.pass_response_bytes(b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n");
    expect_that!(followed.awaits_response(), eq(false));
}

/// Guards against sockets that are held for callers who know that no request may follow.
#[googletest::test]
fn no_request_is_expected_after_a_response_that_says_so() {
    for (headers, expected) in [("connection: close\r\n", false), ("a: close\r\n", true)] {
        let mut exchanges = Exchanges::default();
        exchanges.pass_request_bytes(REQUESTS[0].as_bytes());
        expect_that!(exchanges.expects_request(), eq(false));
        let response = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 4\r\n\r\nbody");
        exchanges.pass_response_bytes(response.as_bytes());
        expect_that!(exchanges.expects_request(), eq(expected), "{headers}");
    }
}
