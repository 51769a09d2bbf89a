//! The stand-in order service shows doubled bookings and lost answers.

use std::time::Duration;

use coltsfootnotch_fakes::{OrderConfig, OrderHandle};
use googletest::prelude::*;

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)));
    config.build().into()
}

fn book(service: &OrderHandle, key: &str) -> std::result::Result<u16, ureq::Error> {
    let answer = agent()
        .post(format!("http://{}/orders", service.address()))
        .header("idempotency-key", key)
        .send(r#"{"sample":"screed"}"#)?;
    Ok(answer.status().as_u16())
}

#[gtest]
fn a_key_booked_twice_shows_as_doubled() {
    let service = OrderHandle::start(OrderConfig::new("desk-1", "member-desk")).expect("starts");
    expect_that!(book(&service, "k-1"), ok(eq(&201)));
    expect_that!(book(&service, "k-1"), ok(eq(&201)));
    expect_that!(service.bookings().get("k-1"), some(eq(&2)));
}

// The service books and its answer is lost: the caller sees the connection drop and can't tell
// whether it was booked. Rereading by the key is the only way to find out.
#[gtest]
fn a_lost_answer_leaves_a_booking_that_can_be_reread() {
    let mut cfg = OrderConfig::new("desk-1", "member-desk");
    cfg.lose_answer = 1.0;
    let service = OrderHandle::start(cfg).expect("starts");
    expect_that!(book(&service, "k-2").is_err(), eq(true));
    let reread = agent()
        .get(format!("http://{}/orders/by-key/k-2", service.address()))
        .call()
        .expect("the service answers");
    expect_that!(reread.status().as_u16(), eq(200));
    expect_that!(service.stats().answers_lost, ge(1));
}
