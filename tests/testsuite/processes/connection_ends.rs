//! Responses of services that have neither a length nor chunks and end with their connection.

use coltsfootnotch_fakes::{AnswerEnd, OrderConfig};
use googletest::prelude::*;

use super::fleet::{Fleet, Plan};

fn fleet_with(answer_end: AnswerEnd) -> Fleet {
    let service = OrderConfig {
        answer_end,
        ..OrderConfig::new("member-desk-1", "member-desk")
    };
    Fleet::start(Plan {
        entries: 1,
        engines: vec![],
        services: vec![service],
    })
}

/// Guards against half an answer that is recorded and replayed as a whole one.
#[test]
fn an_answer_that_was_cut_short_is_not_framed_as_complete() {
    let fleet = fleet_with(AnswerEnd::HalfThenConnection);
    let caller = fleet.caller(0);
    for key in ["key-a", "key-b"] {
        for attempt in ["the call", "the same call again"] {
            let (status, text, states_end) = caller.book_unparsed(key);
            let is_whole = serde_json::from_str::<serde_json::Value>(&text).is_ok();
            let is_taken_for_whole = status == 201 && states_end;
            assert_that!(
                is_taken_for_whole && !is_whole,
                eq(false),
                "{attempt} with {key}: {status} {text:?}"
            );
        }
        let booked = fleet.services[0].bookings();
        assert_that!(booked.get(key), some(eq(&1)));
    }
}

/// Guards against half an answer that is all that a caller ever gets, although the service can be reread.
#[test]
fn an_answer_that_shows_that_it_was_cut_is_reread() {
    let fleet = fleet_with(AnswerEnd::HalfThenConnection);
    let caller = fleet.caller(0);
    for key in ["key-a", "key-b"] {
        let answer = caller.book_until_acknowledged(key).unwrap();
        assert_that!(answer.is_object(), eq(true), "{answer:?}");
        assert_that!(caller.book(key), eq(&(200, answer)));
        assert_that!(fleet.services[0].bookings().get(key), some(eq(&1)));
    }
}

/// Guards against a whole answer that is withheld since its end is that of its connection.
#[test]
fn a_whole_answer_that_ends_with_its_connection_is_delivered_and_replayed() {
    let fleet = fleet_with(AnswerEnd::Connection);
    let caller = fleet.caller(0);
    let (status, text, _) = caller.book_unparsed("key-a");
    assert_that!(status, eq(201));
    assert_that!(
        serde_json::from_str::<serde_json::Value>(&text),
        ok(anything())
    );
    let (status, replayed, _) = caller.book_unparsed("key-a");
    assert_that!(status, eq(201));
    assert_that!(replayed, eq(&text));
    assert_that!(fleet.services[0].bookings().get("key-a"), some(eq(&1)));
}
