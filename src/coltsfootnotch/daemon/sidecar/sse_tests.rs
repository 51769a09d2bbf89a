//! Streams of events that take much memory or time for their size.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::{EventKind, MAX_EVENT_BYTES, SseEvent, SseSplitter, TokenUsage};

/// Time to split 1 MiB, far above what a pass over it takes on a busy machine in a debug build.
const SPLIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against events of a few bytes that each keep a buffer of the size of a read.
#[googletest::test]
fn an_event_holds_no_more_than_its_bytes() {
    let read = ":\n\n".repeat(5000);
    let events = SseSplitter::default().push(read.as_bytes()).unwrap();
    let held: usize = events.iter().map(|event| event.bytes.capacity()).sum();
    expect_that!(events.len(), eq(5000));
    expect_that!(held, le(2 * read.len()));
}

/// Guards against an event that is searched from its start for each few bytes that come.
#[googletest::test]
fn a_long_event_is_searched_once() {
    let mut splitter = SseSplitter::default();
    let started = Instant::now();
    for _ in 0..MAX_EVENT_BYTES / 16 {
        let events = splitter.push(b"0123456789abcdef").unwrap();
        assert_that!(events, is_empty());
        if started.elapsed() > SPLIT_TIMEOUT {
            break;
        }
    }
    expect_that!(started.elapsed(), le(SPLIT_TIMEOUT));
    expect_that!(splitter.push(b"x"), none());
}

/// Guards against a blank line that is missed where it is divided between two reads.
#[googletest::test]
fn events_are_the_same_however_they_are_divided() {
    let stream = b"data: a\n\n:\n\n\n\ndata: [DONE]\n\n";
    let whole = SseSplitter::default().push(stream).unwrap();
    for size in 1..stream.len() {
        let mut splitter = SseSplitter::default();
        let parts = stream.chunks(size);
        let events: Vec<_> = parts
            .flat_map(|part| splitter.push(part).unwrap())
            .collect();
        expect_that!(events, eq(&whole), "{size}");
        expect_true!(splitter.is_empty());
    }
}

/// Guards against a stated number of tokens that wraps what is added to it, or charges an account for ages.
#[googletest::test]
fn the_tokens_that_an_engine_states_are_bounded() {
    let usage =
        r#"{"prompt_tokens":18446744073709551615,"completion_tokens":18446744073709551615}"#;
    let event = SseEvent {
        bytes: format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\n").into_bytes(),
    };
    let bounded = TokenUsage {
        prompt_tokens: 1 << 24,
        completion_tokens: 1 << 24,
    };
    expect_that!(event.kind(), eq(&EventKind::Usage(bounded)));
}
