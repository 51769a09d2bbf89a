//! Splitting of streams into complete events.

use googletest::prelude::*;

use super::EventSplitter;

#[googletest::test]
fn an_incomplete_event_is_buffered() {
    let mut events = EventSplitter::default();
    expect_that!(&events.push(b"id: 1\nda")[..], eq(b""));
    expect_that!(
        &events.push(b"ta: a\n\nid: 2\n")[..],
        eq(b"id: 1\ndata: a\n\n")
    );
    expect_that!(events.last_id(), some(eq(1)));
    expect_that!(&events.take_rest()[..], eq(b"id: 2\n"));
}

#[googletest::test]
fn several_complete_events_are_returned_together() {
    let mut events = EventSplitter::default();
    let both = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    expect_that!(&events.push(both)[..], eq(both));
    expect_that!(events.seen(), eq(2));
}

#[googletest::test]
fn an_incomplete_event_can_be_dropped_before_the_stream_is_resumed() {
    let mut events = EventSplitter::default();
    events.push(b"id: 7\ndata: a\n\nid: 8\ndat");
    events.drop_rest();
    expect_that!(
        &events.push(b"id: 8\ndata: b\n\n")[..],
        eq(b"id: 8\ndata: b\n\n")
    );
    expect_that!(events.last_id(), some(eq(8)));
}

/// Guards against a stream that is cut inside an event and taken for complete.
#[googletest::test]
fn a_stream_is_inside_an_event_after_any_part_of_one() {
    let event = b"id: 1\r\ndata: a\r\n";
    for len in 1..=event.len() {
        let mut events = EventSplitter::default();
        events.push(b"id: 0\n\n");
        events.push(&event[..len]);
        expect_true!(events.is_inside_event(), "after {len} bytes");
    }
}

/// Guards against a whole stream that is taken for a cut one.
#[googletest::test]
fn a_stream_is_between_events_after_blank_lines_and_comments() {
    for rest in ["", "\n", "\r\n", "\r", ": still here\n", ":\r\n: again\n"] {
        let mut events = EventSplitter::default();
        events.push(b"id: 1\ndata: a\n\n");
        events.push(rest.as_bytes());
        expect_false!(events.is_inside_event(), "after {rest:?}");
    }
    let mut events = EventSplitter::default();
    events.push(b"id: 1\n\n: still he");
    expect_true!(events.is_inside_event(), "a comment that is cut");
}
