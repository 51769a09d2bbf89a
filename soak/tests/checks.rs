//! The recorder reports violated invariants.

use std::time::Duration;

use coltsfootnotch_soak::recorder::{Invariant, Recorder, RequestOutcome};
use googletest::prelude::*;

fn violated(recorder: &Recorder) -> Vec<Invariant> {
    recorder.findings().iter().map(|f| f.invariant).collect()
}

#[googletest::test]
fn a_second_run_of_an_unrepeatable_request_is_reported() {
    let recorder = Recorder::new();
    recorder.record_sent("a", false, true);
    recorder.record_run("a", "u1");
    expect_that!(violated(&recorder), is_empty());
    recorder.record_run("a", "u2");
    expect_that!(
        violated(&recorder),
        elements_are![eq(&Invariant::AtMostOnce)]
    );
}

#[googletest::test]
fn a_repeatable_request_may_run_again() {
    let recorder = Recorder::new();
    recorder.record_sent("a", true, true);
    recorder.record_run("a", "u1");
    recorder.record_run("a", "u2");
    recorder.record_outcome("a", Duration::ZERO, RequestOutcome::Refused);
    expect_that!(violated(&recorder), is_empty());
}

#[googletest::test]
fn a_run_before_or_after_a_refusal_is_reported() {
    let recorder = Recorder::new();
    recorder.record_sent("before", false, true);
    recorder.record_run("before", "u1");
    recorder.record_outcome("before", Duration::ZERO, RequestOutcome::Refused);
    recorder.record_sent("after", false, true);
    recorder.record_outcome("after", Duration::ZERO, RequestOutcome::Refused);
    recorder.record_run("after", "u1");
    let found = violated(&recorder);
    expect_that!(found, each(eq(&Invariant::RefusedNotRun)));
    expect_that!(found.len(), eq(2));
}

#[googletest::test]
fn a_run_without_a_request_is_reported() {
    let recorder = Recorder::new();
    recorder.record_run("ghost", "u1");
    expect_that!(
        violated(&recorder),
        elements_are![eq(&Invariant::CorrectAnswer)]
    );
}

#[googletest::test]
fn only_requests_sent_after_the_last_fault_count_towards_recovery() {
    let recorder = Recorder::new().with_recovery_from(Duration::from_secs(9));
    for id in ["early", "late", "later"] {
        recorder.record_sent(id, true, true);
    }
    recorder.record_sent("revoked", true, false);
    recorder.record_outcome("revoked", Duration::from_secs(10), RequestOutcome::Failed);
    recorder.record_outcome("early", Duration::from_secs(8), RequestOutcome::Cut);
    recorder.record_outcome("late", Duration::from_secs(9), RequestOutcome::Served);
    recorder.record_outcome("later", Duration::from_secs(10), RequestOutcome::Refused);
    expect_that!(recorder.recovery(), eq((0.5, 2)));
}
