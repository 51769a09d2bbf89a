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
