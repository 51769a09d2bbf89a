//! Memory of idle connections.

use std::sync::mpsc;
use std::time::Duration;

use coltsfootnotch_fabric::{Credentials, DialHandle, Endpoint, Event, PeerId, PeerLimits};
use coltsfootnotch_types::prelude::*;
use googletest::prelude::*;
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(30);
const MEMORY_BYTES: u64 = 110 << 20;

/// Hosts that one control host is connected to.
const HOSTS: u32 = 100;

/// Memory of a connection at both of its ends, in KiB. A control host of 300 hosts may use half of
/// 110 MB for its ends.
const MAX_KIB: u64 = 2 * 55 * 1024 / 300;

fn peer(role: Role, host: &str) -> PeerId {
    PeerId {
        role,
        host: HostName::new(host).unwrap(),
    }
}

fn endpoint(runtime: &Runtime, peer: &PeerId) -> (Endpoint, mpsc::Receiver<Event>) {
    let credentials = Credentials::without_authority(peer).unwrap();
    let (tx, rx) = mpsc::channel();
    let handler = move |event| drop(tx.send(event));
    let address = "127.0.0.1:0".parse().unwrap();
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

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

// Each connection allocated the state of thousands of streams that its peer might open: a control
// host of 300 hosts exceeded its memory while they were all idle.
#[gtest]
fn an_idle_connection_allocates_no_streams_in_advance() {
    let runtime = Runtime::new().unwrap();
    let control = peer(Role::Control, "c1");
    let (server, events) = endpoint(&runtime, &control);
    let entries: Vec<_> = (0..HOSTS)
        .map(|n| endpoint(&runtime, &peer(Role::Entry, &format!("e{n}"))))
        .collect();
    let before = resident_kib();
    let address = server.address().unwrap();
    let dial = |(entry, _): &(Endpoint, _)| entry.dial(address, control.clone());
    let _dials: Vec<DialHandle> = entries.iter().map(dial).collect();
    for _ in 0..HOSTS {
        let up = events.recv_timeout(TIMEOUT);
        expect_that!(up, ok(matches_pattern!(Event::Up { .. })));
    }
    let used = resident_kib().saturating_sub(before) / u64::from(HOSTS);
    expect_that!(used, lt(MAX_KIB));
}
