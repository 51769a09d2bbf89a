//! The embedded charts are whole, and what is wrong with a chart is found.

use coltsfootnotch_chart::{
    Chart, Charts, Machine, RequestEvent, RequestState, StateId, Transition,
};
use googletest::prelude::*;

/// States from which one event leads to `target`.
fn before(chart: &Chart, target: RequestState) -> Vec<&str> {
    let leads = |from: &StateId| {
        chart.event_ids().any(|event| {
            let mut machine = Machine::starting_at(&chart.clone().into(), *from);
            let moved = machine.fire(event);
            matches!(moved, Ok(Transition::Moved { .. })) && machine.is(target)
        })
    };
    chart
        .state_ids()
        .filter(leads)
        .map(|state| chart.state_name(state))
        .collect()
}

#[gtest]
fn embedded_charts_have_no_findings() {
    let loaded = Charts::load();
    expect_that!(
        loaded.map(|charts| charts.request.name().to_owned()),
        ok(eq("request"))
    );
}

// The caller of a request that ended as `refused` sends it again without fear of a second run.
// An attempt reaches an upstream; the attempt fails; the request waits for another one; its
// deadline passes there. Only states that no sent attempt can lead back to may end as refused.
#[gtest]
fn a_request_that_may_have_run_is_never_refused() {
    let charts = Charts::load().expect("the embedded charts are whole");
    let request = &charts.request;
    expect_that!(
        before(request, RequestState::Refused),
        elements_are![eq(&"received"), eq(&"waiting"), eq(&"committing-intent")]
    );
    expect_that!(
        before(request, RequestState::Waiting),
        elements_are![eq(&"received"), eq(&"offered"), eq(&"in-doubt")]
    );
}

#[gtest]
fn a_machine_moves_ignores_and_refuses() {
    let charts = Charts::load().expect("the embedded charts are whole");
    let mut machine = Machine::new(&charts.request);
    expect_that!(machine.fire(RequestEvent::Admitted).is_ok(), eq(true));
    expect_that!(
        machine.fire(RequestEvent::Started),
        ok(eq(&Transition::Ignored))
    );
    let never = machine
        .fire(RequestEvent::Admitted)
        .expect_err("it is admitted once");
    insta::assert_snapshot!(never, @"the event admitted never comes in the state waiting of the chart request");
    expect_that!(machine.is(RequestState::Waiting), eq(true));
    expect_that!(machine.fire(RequestEvent::CallerGone).is_ok(), eq(true));
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
fn findings_of_bad_charts() {
    let incomplete = Chart::parse(INCOMPLETE).expect("it can be read").check();
    insta::assert_snapshot!("incomplete", incomplete);
    let contradictory = Chart::parse(CONTRADICTORY).expect_err("it contradicts itself");
    insta::assert_snapshot!("contradictory", contradictory);
    let misspelt = INCOMPLETE.replace("\"never\"", "\"nevr\"");
    insta::assert_snapshot!(
        "misspelt",
        Chart::parse(&misspelt).expect_err("a key is unknown")
    );
    let deep = "[".repeat(100_000);
    insta::assert_snapshot!("deep", Chart::parse(&deep).expect_err("it is no chart"));
}
