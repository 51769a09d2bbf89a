//! Splitting of streams into complete events.

use googletest::prelude::*;

use super::{EventSplitter, MAX_EVENT};

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
fn another_response_goes_on_after_the_last_complete_event() {
    let mut events = EventSplitter::default();
    events.push(b"id: 7\ndata: a\n\nid: 8\ndat");
    let mut other = events.after_last_event();
    expect_that!(other.last_id(), some(eq(7)));
    expect_that!(
        &other.push(b"id: 8\ndata: b\n\n")[..],
        eq(b"id: 8\ndata: b\n\n")
    );
    expect_that!(other.last_id(), some(eq(8)));
    expect_that!(other.seen(), eq(2));
    expect_that!(
        &events.push(b"a: c\n\n")[..],
        eq(b"id: 8\ndata: c\n\n"),
        "the first response may go on as well"
    );
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

/// Guards against an event whose first part is joined to the next event of another upstream.
#[googletest::test]
fn a_long_event_that_is_returned_in_parts_is_not_complete() {
    let long = format!("id: 2\r\ndata: {}", "x".repeat(MAX_EVENT));
    // A line feed that follows a carriage return belongs to the same line end.
    for (end, complete_after) in [("\n\n", 2), ("\r\n\r\n", 3), ("\r\r", 2)] {
        for cut in 0..complete_after {
            let mut events = EventSplitter::default();
            events.push(b"id: 1\n\n");
            let mut returned = events.push(long.as_bytes()).to_vec();
            returned.extend(events.push(&end.as_bytes()[..cut]));
            expect_true!(events.is_partly_returned(), "{cut} of {end:?}");
            expect_true!(events.is_inside_event(), "{cut} of {end:?}");
            returned.extend(events.push(&end.as_bytes()[cut..]));
            expect_false!(events.is_partly_returned(), "{cut} of {end:?}");
            expect_false!(events.is_inside_event(), "{cut} of {end:?}");
            returned.extend(events.take_rest());
            expect_true!(returned == format!("{long}{end}").as_bytes());
        }
    }
}

/// Guards against streams that stall or count as cut, since their lines end in another way.
#[googletest::test]
fn events_end_with_a_blank_line_of_any_kind() {
    for line_end in ["\n", "\r\n", "\r"] {
        let stream = ["id: 1", "data: a", "", "id: 2", "data: b", "", ""].join(line_end);
        for cut in 0..stream.len() {
            let mut events = EventSplitter::default();
            let mut returned = events.push(&stream.as_bytes()[..cut]).to_vec();
            returned.extend(events.push(&stream.as_bytes()[cut..]));
            expect_that!(events.last_id(), some(eq(2)), "{line_end:?} cut at {cut}");
            expect_false!(events.is_inside_event(), "{line_end:?} cut at {cut}");
            returned.extend(events.take_rest());
            expect_that!(returned, eq(stream.as_bytes()), "{line_end:?} cut at {cut}");
        }
    }
}

/// Guards against a stream that is resumed after events which were not forwarded, since their numbers went back.
#[googletest::test]
fn events_are_not_recorded_once_their_numbers_go_back() {
    for events in [
        &b"id: 8\n\nid: 9\n\nid: 9\n\n"[..],
        b"id: 7\n\n",
        b"id: 1\n\nid: 8\n\n",
    ] {
        let mut first = EventSplitter::default();
        first.push(b"id: 7\ndata: a\n\n");
        let mut other = first.after_last_event();
        other.push(events);
        expect_true!(other.is_out_of_order());
        expect_that!(other.last_id(), some(eq(7)));
        expect_that!(other.seen(), eq(1));
        expect_false!(other.after_last_event().is_out_of_order());
    }
}

/// Guards against a resumed stream that repeats events its caller has, and against an event that counts as received
/// before any came.
#[googletest::test]
fn a_resumed_stream_goes_on_after_the_event_of_its_caller() {
    let mut events = EventSplitter::resumed_after(Some(3));
    expect_that!(events.last_id(), none());
    events.push(b"id: 3\n\n");
    expect_true!(events.is_out_of_order());
    let mut events = EventSplitter::resumed_after(Some(3));
    events.push(b"id: 5\n\n");
    expect_false!(events.is_out_of_order());
    expect_that!(events.last_id(), some(eq(5)));
}
