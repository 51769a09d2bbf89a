//! The recorder reports violated invariants.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::Duration;

use coltsfootnotch_soak::disturbances::Disturbances;
use coltsfootnotch_soak::kept_caller::call_until_refused;
use coltsfootnotch_soak::notices::Notices;
use coltsfootnotch_soak::recorder::{Invariant, Recorder, RequestOutcome};
use coltsfootnotch_soak::schedule::{Action, FleetSize, Schedule, Step};
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

const RUN: &str = "u1-1";
const UPSTREAM: usize = 1;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Sends a request through a router and has it reach the upstream at once.
fn arrive(notices: &Notices, now: Duration, id: &str, router: usize) {
    notices.record_sent(now, id, router);
    notices.check_arrival(now, id, RUN, UPSTREAM);
}

#[googletest::test]
fn a_third_request_in_a_requested_pause_is_reported() {
    let (recorder, disturbances) = (Recorder::new(), Disturbances::new(2));
    let notices = Notices::new(recorder.clone(), disturbances.clone());
    arrive(&notices, s(1.0), "a", 0);
    notices.record_refusal(s(1.0), "a", RUN, UPSTREAM, s(3.0));
    for n in 0..9 {
        arrive(&notices, s(1.4), &format!("in-transit-{n}"), 0);
        arrive(&notices, s(2.0), &format!("other-router-{n}"), 1);
        arrive(&notices, s(4.0), &format!("after-{n}"), 0);
    }
    arrive(&notices, s(1.6), "b", 0);
    arrive(&notices, s(2.6), "c", 0);
    expect_that!(violated(&recorder), is_empty());
    arrive(&notices, s(3.9), "d", 0);
    expect_that!(
        violated(&recorder),
        elements_are![eq(&Invariant::NoWorkDuringPause)]
    );
}

#[googletest::test]
fn a_restart_or_a_cut_excuses_requests_in_a_requested_pause() {
    let (recorder, disturbances) = (Recorder::new(), Disturbances::new(2));
    let notices = Notices::new(recorder.clone(), disturbances.clone());
    for router in [0, 1] {
        let id = format!("a{router}");
        arrive(&notices, s(5.0), &id, router);
        notices.record_refusal(s(5.0), &id, RUN, UPSTREAM, s(3.0));
    }
    disturbances.extend_interruption(0, s(5.5));
    for n in 0..9 {
        arrive(&notices, s(6.0), &format!("restarted-{n}"), 0);
    }
    disturbances.extend_upstream_link(UPSTREAM, s(5.5));
    for n in 0..9 {
        arrive(&notices, s(6.0), &format!("cut-{n}"), 1);
    }
    expect_that!(violated(&recorder), is_empty());
}

/// Guards against blaming a router for requests to an upstream whose refusal it never received: a blocked path held
/// up a request until the router had given up on it, and delivered it afterwards.
#[googletest::test]
fn a_refusal_of_a_request_that_was_held_up_binds_no_router() {
    let (recorder, disturbances) = (Recorder::new(), Disturbances::new(1));
    let notices = Notices::new(recorder.clone(), disturbances.clone());
    notices.record_sent(s(1.0), "held-up", 0);
    disturbances.extend_upstream_link(UPSTREAM, s(2.0));
    notices.check_arrival(s(2.1), "held-up", RUN, UPSTREAM);
    notices.record_refusal(s(2.1), "held-up", RUN, UPSTREAM, s(3.0));
    for n in 0..9 {
        arrive(&notices, s(3.0), &format!("unaware-{n}"), 0);
    }
    expect_that!(violated(&recorder), is_empty());
    notices.record_refusal(s(3.0), "unaware-0", RUN, UPSTREAM, s(3.0));
    for n in 0..3 {
        arrive(&notices, s(4.0), &format!("asked-{n}"), 0);
    }
    expect_that!(
        violated(&recorder),
        elements_are![eq(&Invariant::NoWorkDuringPause)]
    );
}

#[googletest::test]
fn a_request_after_a_statement_of_leaving_is_reported() {
    let (recorder, disturbances) = (Recorder::new(), Disturbances::new(2));
    let notices = Notices::new(recorder.clone(), disturbances.clone());
    for router in [0, 1] {
        let id = format!("a{router}");
        arrive(&notices, s(1.0), &id, router);
        notices.record_leaving(s(1.0), &id, RUN);
    }
    disturbances.extend_interruption(1, s(2.0));
    arrive(&notices, s(2.9), "early", 0);
    arrive(&notices, s(3.1), "restarted", 1);
    expect_that!(violated(&recorder), is_empty());
    arrive(&notices, s(3.1), "late", 0);
    expect_that!(
        violated(&recorder),
        elements_are![eq(&Invariant::NoWorkAfterDrain)]
    );
}

#[googletest::test]
fn a_request_that_is_left_unread_at_a_stop_is_reported() {
    let recorder = Recorder::new();
    for waited in [0.0, 0.2, 2.1, 3.0] {
        recorder.record_unread(0, s(waited));
    }
    expect_that!(violated(&recorder), is_empty());
    recorder.record_unread(0, s(0.25));
    recorder.record_unread(0, s(2.0));
    expect_that!(
        violated(&recorder),
        elements_are![eq(&Invariant::GracefulStop), eq(&Invariant::GracefulStop)]
    );
    expect_that!(recorder.counts().unread, eq(6));
}

const RESPONSE: &[u8] = b"HTTP/1.1 401 Unauthorized\r\nContent-Length: 2\r\n\r\nno";
const LAST_RESPONSE: &[u8] =
    b"HTTP/1.1 401 Unauthorized\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno";

/// Starts a server that sends one of the responses to each request, and closes its connection `unread` after them.
fn serve(responses: &'static [&'static [u8]], unread: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        for response in responses {
            let _n = stream.read(&mut [0; 4_096]).unwrap();
            stream.write_all(response).unwrap();
        }
        sleep(unread);
    });
    address
}

/// Guards against a check that takes no notice of a request which a router leaves in its socket, or that blames a
/// router for a connection that was refused or stated to end.
#[googletest::test]
fn kept_callers_tell_requests_that_are_left_unread() {
    let unread = s(0.3);
    let waited = call_until_refused(serve(&[RESPONSE, RESPONSE], unread));
    expect_that!(waited, some(ge(s(0.2))));
    expect_that!(call_until_refused(serve(&[], unread)), some(ge(s(0.2))));
    expect_that!(call_until_refused(serve(&[LAST_RESPONSE], unread)), none());
    let cut = serve(&[RESPONSE, b"HTTP/1.1 401"], unread);
    expect_that!(call_until_refused(cut), none());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let refused = listener.local_addr().unwrap();
    drop(listener);
    expect_that!(call_until_refused(refused), none());
}

/// Guards against releases that change what a seed draws otherwise, or that have no time to end.
#[googletest::test]
fn releases_are_added_to_the_steps_of_a_seed() {
    let size = FleetSize {
        controls: 3,
        routers: 3,
        upstreams: 6,
    };
    let length = Duration::from_secs(30);
    for seed in 0..20 {
        let without = Schedule::draw(seed, length, size);
        let mut with = without.clone().with_releases(seed);
        expect_that!(with, eq(&without.clone().with_releases(seed)));
        let is_release = |step: &Step| matches!(step.action, Action::ReleaseAndKillAll { .. });
        expect_that!(
            with.steps.iter().filter(|step| is_release(step)).count(),
            eq(2)
        );
        with.steps.retain(|step| !is_release(step));
        expect_that!(with, eq(&without));
    }
}
