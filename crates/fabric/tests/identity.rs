//! Who may connect, and what a connection may carry.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use coltsfootnotch_fabric::{Authority, Credentials, Endpoint, Event, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::Message;
use googletest::prelude::*;
use tokio::runtime::Runtime;

const PATIENCE: Duration = Duration::from_secs(10);

fn peer(role: Role, host: &str) -> PeerId {
    PeerId {
        role,
        host: HostName::new(host).unwrap(),
    }
}

fn endpoint(
    runtime: &Runtime,
    authority: &Authority,
    peer: &PeerId,
) -> (Endpoint, mpsc::Receiver<Event>) {
    let issued = authority.issue(peer).unwrap();
    let credentials =
        Credentials::from_pem(authority.certificate(), &issued.certificate, &issued.key).unwrap();
    let (tx, rx) = mpsc::channel();
    let tx = Arc::new(tx);
    let any = "127.0.0.1:0".parse().unwrap();
    let handler = move |event| drop(tx.send(event));
    let endpoint = Endpoint::bind(runtime.handle(), any, &credentials, Incarnation(1), handler);
    (endpoint.unwrap(), rx)
}

fn wait_refused(endpoint: &Endpoint) -> u64 {
    for _ in 0..500 {
        let refused = endpoint.traffic().refused();
        if refused > 0 {
            return refused;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    0
}

// The caller of the other fleet's process sees no connection. A process with a certificate of
// another authority dials; TLS fails before any frame is read, and the attempt is counted.
#[gtest]
fn a_process_of_another_fleet_gets_no_word_in() {
    let runtime = Runtime::new().unwrap();
    let control = peer(Role::Control, "c1");
    let (server, events) = endpoint(&runtime, &Authority::generate().unwrap(), &control);
    let (stranger, _) = endpoint(
        &runtime,
        &Authority::generate().unwrap(),
        &peer(Role::Control, "c2"),
    );
    let _dialed = stranger.dial(server.address().unwrap(), control);
    expect_that!(wait_refused(&server), gt(0));
    expect_that!(events.try_recv(), err(anything()));
}

// A sidecar's key is stolen and used to speak to a control host as a member of the group. The
// connection stands, since the certificate is good; the first message that a sidecar may not send
// closes it before it reaches any logic.
#[gtest]
fn a_sidecar_key_does_not_speak_for_a_control_host() {
    let runtime = Runtime::new().unwrap();
    let authority = Authority::generate().unwrap();
    let control = peer(Role::Control, "c1");
    let (server, server_events) = endpoint(&runtime, &authority, &control);
    let (client, client_events) = endpoint(&runtime, &authority, &peer(Role::Sidecar, "s1"));
    let _dialed = client.dial(server.address().unwrap(), control);
    let Ok(Event::Up { tx, .. }) = client_events.recv_timeout(PATIENCE) else {
        panic!("the connection does not come up");
    };
    tx.send(&Message::Member(vec![1])).unwrap();
    expect_that!(
        server_events.recv_timeout(PATIENCE),
        ok(matches_pattern!(Event::Up { .. }))
    );
    expect_that!(
        server_events.recv_timeout(PATIENCE),
        ok(matches_pattern!(Event::Forbidden { .. }))
    );
    expect_that!(server.traffic().refused(), eq(1));
}

#[gtest]
fn another_host_at_the_address_is_not_taken_for_the_expected_one() {
    let runtime = Runtime::new().unwrap();
    let authority = Authority::generate().unwrap();
    let (server, _events) = endpoint(&runtime, &authority, &peer(Role::Control, "c1"));
    let (client, client_events) = endpoint(&runtime, &authority, &peer(Role::Sidecar, "s1"));
    let _dialed = client.dial(server.address().unwrap(), peer(Role::Control, "c2"));
    expect_that!(
        client_events.recv_timeout(Duration::from_millis(500)),
        err(anything())
    );
}
