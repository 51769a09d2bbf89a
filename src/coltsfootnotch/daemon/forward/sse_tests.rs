//! Splitting of streams into whole events.

use googletest::prelude::*;

use super::Events;

#[googletest::test]
fn half_an_event_waits_for_its_rest() {
    let mut events = Events::default();
    expect_that!(&events.push(b"id: 1\nda")[..], eq(b""));
    expect_that!(
        &events.push(b"ta: a\n\nid: 2\n")[..],
        eq(b"id: 1\ndata: a\n\n")
    );
    expect_that!(events.last_id(), some(eq(1)));
    expect_that!(&events.take_rest()[..], eq(b"id: 2\n"));
}

#[googletest::test]
fn several_events_come_out_together() {
    let mut events = Events::default();
    let two = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    expect_that!(&events.push(two)[..], eq(two));
    expect_that!(events.seen(), eq(2));
}

#[googletest::test]
fn what_was_broken_off_is_dropped_before_another_goes_on() {
    let mut events = Events::default();
    events.push(b"id: 7\ndata: a\n\nid: 8\ndat");
    events.drop_rest();
    expect_that!(
        &events.push(b"id: 8\ndata: b\n\n")[..],
        eq(b"id: 8\ndata: b\n\n")
    );
    expect_that!(events.last_id(), some(eq(8)));
}
