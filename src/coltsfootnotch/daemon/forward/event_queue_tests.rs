//! Queues of callers that read slowly or not at all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_forward::held::{HeldResources, HostLimits};
use googletest::prelude::*;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::{CallerLeft, EventBody, EventSender, event_queue};

const EVENT_BYTES: usize = 32 * 1024;
const SOON: Duration = Duration::from_millis(50);

fn queue() -> (Arc<HeldResources>, EventSender, EventBody) {
    let held = HeldResources::new(HostLimits {
        memory_bytes: 1 << 20,
        sockets: 10,
    });
    let (tx, body) = event_queue(Arc::clone(&held), Some("bistro".into()));
    (held, tx, body)
}

fn event() -> Bytes {
    Bytes::from(vec![b'a'; EVENT_BYTES])
}

/// Guards against a queue that holds many long events for a caller that reads none.
#[googletest::test]
#[tokio::test]
async fn a_caller_that_does_not_read_holds_its_upstream_back() {
    let (held, tx, _body) = queue();
    expect_that!(tx.send(event()).await, ok(eq(())));
    expect_that!(timeout(SOON, tx.send(event())).await.is_err(), eq(true));
    expect_that!(held.bytes_of_account("bistro"), eq(EVENT_BYTES as u64));
}

/// Guards against bytes that stay counted once they were written or their caller has left.
#[googletest::test]
#[tokio::test]
async fn what_is_read_or_dropped_is_held_no_more() {
    let (held, tx, mut body) = queue();
    expect_that!(tx.send(event()).await, ok(eq(())));
    let mut read = 0;
    while read < EVENT_BYTES {
        let frame = body.frame().await.unwrap().unwrap();
        read += frame.data_ref().unwrap().len();
    }
    expect_that!(held.memory_bytes(), eq(0));
    expect_that!(tx.send(event()).await, ok(eq(())));
    drop(body);
    expect_that!(held.memory_bytes(), eq(0));
    expect_that!(tx.send(event()).await, err(eq(CallerLeft)));
}

/// Guards against a stream that looks complete although the task that forwards it has ended early, as by a panic.
#[googletest::test]
#[tokio::test]
async fn a_stream_whose_sender_is_lost_is_broken_off() {
    let (_held, tx, mut body) = queue();
    expect_that!(tx.send(Bytes::from_static(b"a")).await, ok(eq(())));
    drop(tx);
    expect_that!(body.frame().await.unwrap().is_ok(), eq(true));
    expect_that!(
        body.frame().await.map(|frame| frame.is_err()),
        some(eq(true))
    );
}
