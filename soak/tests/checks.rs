//! Each promise is found broken when it is.

use std::time::Duration;

use coltsfootnotch_soak::book::{Book, Ended, Promise};
use googletest::prelude::*;

fn promises(book: &Book) -> Vec<Promise> {
    book.findings().iter().map(|f| f.promise).collect()
}

#[googletest::test]
fn a_second_run_of_what_may_run_once_is_found() {
    let book = Book::new();
    book.sent("a", false, true);
    book.ran("a", "u1");
    expect_that!(promises(&book), is_empty());
    book.ran("a", "u2");
    expect_that!(promises(&book), elements_are![eq(&Promise::AtMostOnce)]);
}

#[googletest::test]
fn what_may_be_repeated_may_run_again() {
    let book = Book::new();
    book.sent("a", true, true);
    book.ran("a", "u1");
    book.ran("a", "u2");
    book.ended("a", Duration::ZERO, Ended::Refused);
    expect_that!(promises(&book), is_empty());
}

#[googletest::test]
fn a_refusal_that_is_not_true_is_found_before_and_after() {
    let book = Book::new();
    book.sent("before", false, true);
    book.ran("before", "u1");
    book.ended("before", Duration::ZERO, Ended::Refused);
    book.sent("after", false, true);
    book.ended("after", Duration::ZERO, Ended::Refused);
    book.ran("after", "u1");
    let found = promises(&book);
    expect_that!(found, each(eq(&Promise::RefusedNotRun)));
    expect_that!(found.len(), eq(2));
}

#[googletest::test]
fn a_run_that_nobody_asked_for_is_found() {
    let book = Book::new();
    book.ran("ghost", "u1");
    expect_that!(promises(&book), elements_are![eq(&Promise::RightAnswer)]);
}

#[googletest::test]
fn only_what_was_sent_after_the_last_fault_counts_for_recovery() {
    let book = Book::new().counting_from(Duration::from_secs(9));
    for id in ["early", "late", "later"] {
        book.sent(id, true, true);
    }
    book.sent("revoked", true, false);
    book.ended("revoked", Duration::from_secs(10), Ended::Failed);
    book.ended("early", Duration::from_secs(8), Ended::Cut);
    book.ended("late", Duration::from_secs(9), Ended::Served);
    book.ended("later", Duration::from_secs(10), Ended::Refused);
    expect_that!(book.recovery(), eq((0.5, 2)));
}
