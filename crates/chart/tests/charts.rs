//! Validity of the embedded charts and detection of invalid charts.

use coltsfootnotch_chart::{
    Chart, Charts, Machine, RequestEvent, RequestState, StateId, Transition,
};
use googletest::prelude::*;

/// States with a transition to `target`.
fn predecessors(chart: &Chart, target: RequestState) -> Vec<&str> {
    let has_transition = |from: &StateId| {
        chart.event_ids().any(|event| {
            let mut machine = Machine::starting_at(&chart.clone().into(), *from);
            let moved = machine.fire(event);
            matches!(moved, Ok(Transition::Moved { .. })) && machine.is(target)
        })
    };
    chart
        .state_ids()
        .filter(has_transition)
        .map(|state| chart.state_name(state))
        .collect()
}

#[gtest]
fn embedded_charts_are_valid() {
    let loaded = Charts::load();
    expect_that!(
        loaded.map(|charts| charts.request.name().to_owned()),
        ok(eq("request"))
    );
}

// Guards against a duplicate run: callers retry a `refused` request, so only states in which no
// attempt can have reached an upstream may lead to it.
#[gtest]
fn a_request_that_may_have_run_is_never_refused() {
    let charts = Charts::load().expect("the embedded charts are valid");
    let request = &charts.request;
    expect_that!(
        predecessors(request, RequestState::Refused),
        elements_are![eq(&"received"), eq(&"waiting"), eq(&"committing-intent")]
    );
    expect_that!(
        predecessors(request, RequestState::Waiting),
        elements_are![eq(&"received"), eq(&"offered"), eq(&"in-doubt")]
    );
}

#[gtest]
fn a_machine_takes_transitions_and_ignores_or_rejects_events() {
    let charts = Charts::load().expect("the embedded charts are valid");
    let mut machine = Machine::new(&charts.request);
    expect_that!(machine.fire(RequestEvent::Admitted).is_ok(), eq(true));
    expect_that!(
        machine.fire(RequestEvent::Started),
        ok(eq(&Transition::Ignored))
    );
    let error = machine
        .fire(RequestEvent::Admitted)
        .expect_err("a request is admitted only once");
    insta::assert_snapshot!(error, @"unexpected event admitted in state waiting of chart request");
    expect_that!(machine.is(RequestState::Waiting), eq(true));
    expect_that!(
        machine.fire(RequestEvent::CallerDisconnected).is_ok(),
        eq(true)
    );
    expect_that!(machine.is_final(), eq(true));
    expect_that!(
        machine.fire(RequestEvent::Admitted),
        ok(eq(&Transition::Ignored))
    );
}

const INCOMPLETE: &str = r#"{
  "name": "door", "about": "A door.", "initial": "open",
  "events": [
    { "name": "push", "about": "someone pushes" },
    { "name": "pull", "about": "someone pulls" },
    { "name": "knock", "about": "someone knocks" }
  ],
  "states": [
    { "name": "open", "about": "", "transitions": [{ "on": "push", "to": "shut" }], "never": ["knock"] },
    { "name": "shut", "about": "", "transitions": [{ "on": "push", "to": "shut" }], "ignored": ["knock"] },
    { "name": "locked", "about": "", "final": true }
  ]
}"#;

const CONTRADICTORY: &str = r#"{
  "name": "door", "about": "A door.", "initial": "ajar",
  "events": [{ "name": "push", "about": "someone pushes" }],
  "states": [
    { "name": "open", "about": "",
      "transitions": [{ "on": "push", "to": "shutt" }, { "on": "kick", "to": "open" }],
      "ignored": ["push"], "never": ["push"] },
    { "name": "shut", "about": "", "final": true, "ignored": ["push"] }
  ]
}"#;

#[gtest]
fn problems_of_invalid_charts_are_reported() {
    let incomplete = Chart::parse(INCOMPLETE)
        .expect("the chart can be parsed")
        .check();
    insta::assert_snapshot!("incomplete", incomplete);
    let contradictory = Chart::parse(CONTRADICTORY).expect_err("the chart is contradictory");
    insta::assert_snapshot!("contradictory", contradictory);
    let misspelt = INCOMPLETE.replace("\"never\"", "\"nevr\"");
    insta::assert_snapshot!(
        "misspelt",
        Chart::parse(&misspelt).expect_err("the key is unknown")
    );
    let deep = "[".repeat(100_000);
    insta::assert_snapshot!(
        "deep",
        Chart::parse(&deep).expect_err("the text is not a chart")
    );
}
