//! Authentication of peers and authorization of messages by role.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use coltsfootnotch_fabric::{Authority, Credentials, Endpoint, Event, PeerId, PeerLimits};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::Message;
use googletest::prelude::*;
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(10);
const MEMORY_BYTES: u64 = 64 << 20;

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
    let address = "127.0.0.1:0".parse().unwrap();
    let handler = move |event| drop(tx.send(event));
    let endpoint = Endpoint::bind(
        runtime.handle(),
        address,
        &credentials,
        Incarnation(1),
        PeerLimits::for_memory(MEMORY_BYTES),
        handler,
    );
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

// A process with a certificate of another authority dials: TLS fails before any frame is read, and
// the rejected connection is counted.
#[gtest]
fn a_process_of_another_fleet_is_rejected() {
    let runtime = Runtime::new().unwrap();
    let control = peer(Role::Control, "c1");
    let (server, events) = endpoint(&runtime, &Authority::generate().unwrap(), &control);
    let (foreign, _) = endpoint(
        &runtime,
        &Authority::generate().unwrap(),
        &peer(Role::Control, "c2"),
    );
    let _dial = foreign.dial(server.address().unwrap(), control);
    expect_that!(wait_refused(&server), gt(0));
    expect_that!(events.try_recv(), err(anything()));
}

// Guards against a stolen sidecar key being used to impersonate a control member: the first message
// that the role may not send closes the connection before any handler receives it.
#[gtest]
fn a_sidecar_key_cannot_send_control_member_messages() {
    let runtime = Runtime::new().unwrap();
    let authority = Authority::generate().unwrap();
    let control = peer(Role::Control, "c1");
    let (server, server_events) = endpoint(&runtime, &authority, &control);
    let (client, client_events) = endpoint(&runtime, &authority, &peer(Role::Sidecar, "s1"));
    let _dial = client.dial(server.address().unwrap(), control);
    let Ok(Event::Up { tx, .. }) = client_events.recv_timeout(TIMEOUT) else {
        panic!("the connection is not established");
    };
    tx.send(&Message::Member(vec![1])).unwrap();
    expect_that!(
        server_events.recv_timeout(TIMEOUT),
        ok(matches_pattern!(Event::Up { .. }))
    );
    expect_that!(
        server_events.recv_timeout(TIMEOUT),
        ok(matches_pattern!(Event::Forbidden { .. }))
    );
    expect_that!(server.traffic().refused(), eq(1));
}

#[gtest]
fn a_connection_to_an_unexpected_host_is_not_established() {
    let runtime = Runtime::new().unwrap();
    let authority = Authority::generate().unwrap();
    let (server, _events) = endpoint(&runtime, &authority, &peer(Role::Control, "c1"));
    let (client, client_events) = endpoint(&runtime, &authority, &peer(Role::Sidecar, "s1"));
    let _dial = client.dial(server.address().unwrap(), peer(Role::Control, "c2"));
    expect_that!(
        client_events.recv_timeout(Duration::from_millis(500)),
        err(anything())
    );
}
