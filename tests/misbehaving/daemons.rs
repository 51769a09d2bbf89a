//! Callers of an entry, upstreams of a sidecar, and status checks of each daemon.

use coltsfootnotch_types::prelude::*;

use super::caller::KEY;
use super::crowd::{Crowd, LARGE_CHUNK, unfinished_chunks, unfinished_framing, unfinished_head};
use super::crowded_fleet::CrowdedFleet;

const ANNOUNCE: &str = "POST /v1/announce HTTP/1.1\r\nHost: s\r\n";
/// More than the connections that the listeners of a host's upstreams and of status checks have at once.
const CLIENTS: usize = 100;

fn completion() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Type: application/json\r\n"
    )
}

/// Guards against an entry that ends for lack of memory: bodies in large chunks that stop short of their end.
#[googletest::test]
fn requests_in_large_chunks_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let _crowd = Crowd::send(crowded.callers_address(), 200, |_| {
        unfinished_chunks(&completion(), 15 * LARGE_CHUNK, LARGE_CHUNK)
    });
    crowded.expect_alive_within_limits();
}

/// Guards against an entry that ends for lack of memory: bodies in chunks of a byte that stop short of their end.
#[googletest::test]
fn requests_in_tiny_chunks_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let _crowd = Crowd::send(crowded.callers_address(), 30, |_| {
        unfinished_chunks(&completion(), 300_000, 1)
    });
    crowded.expect_alive_within_limits();
}

/// Guards against an entry that ends for lack of memory: long heads whose last line is missing.
#[googletest::test]
fn heads_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let _crowd = Crowd::send(crowded.callers_address(), 290, |_| {
        unfinished_head("POST /v1/chat/completions HTTP/1.1", 15_900)
    });
    crowded.expect_alive_within_limits();
}

/// Guards against an entry that answers nobody: all its connections are taken by clients that go on sending requests
/// and reading nothing.
#[googletest::test]
fn more_connections_than_allowed_that_read_nothing() {
    let crowded = CrowdedFleet::start();
    let request =
        format!("GET /v1/models HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let _crowd = Crowd::send(crowded.callers_address(), 400, |_| {
        request.repeat(2_000).into_bytes()
    });
    crowded.expect_alive_within_limits();
}

/// Guards against a sidecar that ends for lack of memory: announcements in large chunks that stop short of their end.
#[googletest::test]
fn announcements_in_large_chunks_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let _crowd = Crowd::send(crowded.announce_address(), CLIENTS, |_| {
        unfinished_chunks(ANNOUNCE, 250_000, 50_000)
    });
    crowded.expect_alive_within_limits();
}

/// Guards against a sidecar that ends for lack of memory: announcements in chunks of a byte that stop short of their end.
#[googletest::test]
fn announcements_in_tiny_chunks_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let _crowd = Crowd::send(crowded.announce_address(), CLIENTS, |_| {
        unfinished_chunks(ANNOUNCE, 250_000, 1)
    });
    crowded.expect_alive_within_limits();
}

/// Guards against daemons that serve neither health nor metrics: all connections are taken by clients that read nothing.
#[googletest::test]
fn metrics_that_are_not_read() {
    let crowded = CrowdedFleet::start();
    let roles = [Role::Control, Role::Entry, Role::Sidecar];
    let _crowds = roles.map(|role| {
        Crowd::send(crowded.admin_address(role), CLIENTS, |_| {
            b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n".repeat(400)
        })
    });
    crowded.expect_alive_within_limits();
}

/// Guards against daemons that serve neither health nor metrics: heads and bodies that do not end.
#[googletest::test]
fn metrics_requests_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let roles = [Role::Control, Role::Entry, Role::Sidecar];
    let _crowds = roles.map(|role| {
        Crowd::send(crowded.admin_address(role), CLIENTS, |n| {
            if n % 2 == 0 {
                return unfinished_head("GET /metrics HTTP/1.1", 7_000);
            }
            let head = "POST /metrics HTTP/1.1\r\nHost: m\r\n";
            unfinished_chunks(head, 4 * LARGE_CHUNK, LARGE_CHUNK)
        })
    });
    crowded.expect_alive_within_limits();
}

/// Guards against daemons that end for lack of memory or answer nobody: extensions of a chunk, trailers and sizes of
/// chunks without end, at each listener.
#[googletest::test]
fn framing_that_does_not_end() {
    let crowded = CrowdedFleet::start();
    let metrics = "POST /metrics HTTP/1.1\r\nHost: m\r\n".to_owned();
    let listeners = [
        (crowded.callers_address(), 250, completion()),
        (crowded.announce_address(), CLIENTS, ANNOUNCE.to_owned()),
        (crowded.admin_address(Role::Control), CLIENTS, metrics),
    ];
    let _crowds = listeners.map(|(address, clients, head)| {
        Crowd::send_reconnecting(address, clients, 5, |n| unfinished_framing(&head, n))
    });
    crowded.expect_alive_within_limits();
}
