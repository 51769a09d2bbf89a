//! Orders to engines whose responses have no end, are cut, or redirect.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use coltsfootnotch_state::FencingNumber;
use googletest::prelude::*;

use super::{OrderCall, OrderOutcome};
use crate::daemon::sidecar::endless_upstream::{Form, Upstream, forms};

/// Timeout of the orders.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the thread and the connection of an order end after its timeout, on a busy machine.
const SLACK: Duration = Duration::from_millis(1500);

/// Whether the thread and the connection of an order to an engine that answers with the form end in time.
fn ends_in_time(form: &Form, is_fast: bool) -> bool {
    let engine = Upstream::start(form, is_fast);
    let order = OrderCall {
        address: engine.address,
        fence: FencingNumber(1),
        order: "load",
        key: "name",
        value: "m".into(),
        timeout: TIMEOUT,
    };
    let (tx, ended) = mpsc::channel();
    thread::spawn(move || tx.send(order.run()));
    let outcome = ended.recv_timeout(TIMEOUT + SLACK);
    println!("order, fast {is_fast}, {}: {outcome:?}", form.name);
    outcome.is_ok() && engine.closed.recv_timeout(SLACK).is_ok()
}

/// Guards against an order whose thread and connection outlast its timeout.
#[googletest::test]
fn an_order_ends_by_its_timeout_whatever_the_engine_sends() {
    for is_fast in [false, true] {
        let forms = forms();
        thread::scope(|scope| {
            let orders: Vec<_> = forms
                .iter()
                .map(|form| (form.name, scope.spawn(move || ends_in_time(form, is_fast))))
                .collect();
            for (name, order) in orders {
                expect_true!(order.join().unwrap(), "fast {is_fast}, {name}");
            }
        });
    }
}

/// How an order ends whose engine responds with `first` and closes, and answers any further call with a success.
fn order_answered_with(first: &str) -> OrderOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let first = first.to_owned();
    thread::spawn(move || {
        let further = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        for (n, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let _read = stream.read(&mut [0; 4096]);
            let response = if n == 0 { &first } else { further };
            let _written = stream.write_all(response.as_bytes());
        }
    });
    let order = OrderCall {
        address,
        fence: FencingNumber(1),
        order: "load",
        key: "name",
        value: "m".into(),
        timeout: TIMEOUT,
    };
    order.run()
}

/// Guards against an order that counts as done, or as refused, since a part of a head was taken for a response.
#[googletest::test]
fn an_order_whose_response_is_cut_in_its_head_has_no_response() {
    for whole in [
        "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n",
    ] {
        for cut in 0..whole.len() {
            let outcome = order_answered_with(&whole[..cut]);
            let cut = &whole[..cut];
            expect_that!(outcome, eq(OrderOutcome::NoResponse), "{cut:?}");
        }
    }
}

/// Guards against an order that counts as done since another address answered.
#[googletest::test]
fn an_order_that_is_redirected_is_not_done() {
    let redirect = "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n";
    let outcome = order_answered_with(redirect);
    expect_that!(outcome, eq(OrderOutcome::Status(302)));
}
