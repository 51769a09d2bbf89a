//! Duplicate bookings and lost responses of the fake order service.

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
    let response = agent()
        .post(format!("http://{}/orders", service.address()))
        .header("idempotency-key", key)
        .send(r#"{"sample":"screed"}"#)?;
    Ok(response.status().as_u16())
}

#[gtest]
fn duplicate_bookings_of_a_key_are_counted() {
    let service =
        OrderHandle::start(OrderConfig::new("desk-1", "member-desk")).expect("the service starts");
    expect_that!(book(&service, "k-1"), ok(eq(&201)));
    expect_that!(book(&service, "k-1"), ok(eq(&201)));
    expect_that!(service.bookings().get("k-1"), some(eq(&2)));
}

// After a lost response the caller doesn't know whether the call was booked; reading by key resolves
// it.
#[gtest]
fn a_booking_with_a_lost_response_can_be_read_by_key() {
    let mut cfg = OrderConfig::new("desk-1", "member-desk");
    cfg.lose_answer = 1.0;
    let service = OrderHandle::start(cfg).expect("the service starts");
    expect_that!(book(&service, "k-2").is_err(), eq(true));
    let response = agent()
        .get(format!("http://{}/orders/by-key/k-2", service.address()))
        .call()
        .expect("the service responds");
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(service.stats().answers_lost, ge(1));
}
