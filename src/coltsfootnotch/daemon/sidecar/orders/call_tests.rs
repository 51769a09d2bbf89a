//! Orders to engines that send bytes without end.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use coltsfootnotch_state::FencingNumber;
use googletest::prelude::*;

use super::OrderCall;
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
