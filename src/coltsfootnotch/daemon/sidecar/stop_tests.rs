//! What a sidecar that stops tells the entries.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_fabric::{
    Credentials, DialHandle, Endpoint, Event, LinkTx, PeerId, PeerLimits, read_frame, write_frame,
};
use coltsfootnotch_manifest::Limits;
use coltsfootnotch_state::DriftBound;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, AttemptReply, Call, OpenAttempt, OpenCause};
use googletest::prelude::*;
use tokio::runtime::Runtime;

use super::{SidecarConfig, SidecarHandle, start};
use crate::core::{HostCx, HostIdentity};

/// Attempts that are on their way as the sidecar stops.
const ATTEMPTS: u64 = 400;

/// Stops in a test, since whether a reply has left by then is left to chance.
const ROUNDS: usize = 10;

/// Time within which what is expected happens.
const WAIT: Duration = Duration::from_secs(10);

fn peer(role: Role) -> PeerId {
    let host = HostName::new(role.to_string()).unwrap();
    PeerId { role, host }
}

const LIMITS: Limits = Limits {
    connections: 100,
    header_bytes: 16 * 1024,
    body_bytes: 1 << 20,
    memory_bytes: 64 << 20,
    queue_requests: 1_000,
    read_timeout_ms: 10_000,
    write_timeout_ms: 10_000,
    upstreams: 10,
    hosts: 10,
};

fn start_sidecar(runtime: &Runtime) -> (HostCx, SidecarHandle) {
    let identity = HostIdentity {
        host: peer(Role::Sidecar).host,
        role: Role::Sidecar,
        domain: DomainName::new("a").unwrap(),
        incarnation: Incarnation(1),
    };
    let cx = HostCx::new(identity, runtime.handle().clone());
    let cfg = SidecarConfig {
        fleet_address: ([127, 0, 0, 1], 0).into(),
        announce_address: ([127, 0, 0, 1], 0).into(),
        control: Vec::new(),
        credentials: Credentials::without_authority(&peer(Role::Sidecar)).unwrap(),
        limits: LIMITS,
        shutdown: WAIT,
        policy: ChoicePolicy::Fair,
        drift: DriftBound::DEFAULT,
    };
    (cx.clone(), start(cx, cfg).unwrap())
}

/// Connects an entry to the sidecar.
fn connect(runtime: &Runtime, sidecar: &SidecarHandle) -> (Endpoint, DialHandle, LinkTx) {
    let (tx, rx) = mpsc::channel();
    let credentials = Credentials::without_authority(&peer(Role::Entry)).unwrap();
    let any = ([127, 0, 0, 1], 0).into();
    let handler = move |event| {
        if let Event::Up { tx: link, .. } = event {
            // The test needs the first connection only.
            let _received = tx.send(link);
        }
    };
    let entry = Endpoint::bind(
        runtime.handle(),
        any,
        &credentials,
        Incarnation(2),
        PeerLimits::default(),
        handler,
    );
    let entry = entry.unwrap();
    let dial = entry.dial(sidecar.fleet_address(), peer(Role::Sidecar));
    let link = rx.recv_timeout(WAIT).unwrap();
    (entry, dial, link)
}

/// An attempt of a pool that the sidecar doesn't serve.
fn attempt(request: u64) -> OpenAttempt {
    OpenAttempt {
        attempt: AttemptId {
            entry: Incarnation(2),
            request,
            attempt: 0,
        },
        cause: OpenCause::Offer,
        account: AccountName::new("bistro").unwrap(),
        pool: PoolName::new("orders").unwrap(),
        sidecar: Incarnation(1),
        content: [0; 32],
        prefix: 0,
        repeatable: false,
        suspected_of: Vec::new(),
        estimate: ServiceUnits(1),
        deadline_ms: 1_000,
        call: Call {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            content_type: None,
            idempotency_key: None,
            body: vec![b'x'; 4_000],
            stream: false,
        },
    }
}

/// Opens an attempt; returns the reply, or none if the sidecar has stopped.
async fn open(link: LinkTx, request: u64) -> Option<AttemptReply> {
    let mut stream = link.open().await.ok()?;
    write_frame(&mut stream.send, &attempt(request))
        .await
        .ok()?;
    read_frame(&mut stream.recv).await.ok()
}

/// Number of attempts that the sidecar has not started.
fn not_started(cx: &HostCx) -> usize {
    let text = cx.metrics.render();
    let counts = text
        .lines()
        .filter(|line| line.starts_with("cfn_not_started{"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
    counts.sum()
}

/// Guards against an entry that takes a request for one that may have run: the sidecar has not started it, and ends
/// before its reply has left.
#[googletest::test]
fn attempts_that_a_stopping_sidecar_has_not_started_are_reported() {
    for _ in 0..ROUNDS {
        stop_beside_attempts();
    }
}

fn stop_beside_attempts() {
    let runtime = Runtime::new().unwrap();
    let (cx, sidecar) = start_sidecar(&runtime);
    let (_entry, _dial, link) = connect(&runtime, &sidecar);
    let open = |request| runtime.spawn(open(link.clone(), request));
    let opened: Vec<_> = (0..ATTEMPTS).map(open).collect();
    let started = Instant::now();
    while not_started(&cx) == 0 && started.elapsed() < WAIT {
        std::thread::yield_now();
    }
    sidecar.stop();
    sidecar.join();
    let mut replies = 0;
    for reply in opened {
        let reply = runtime.block_on(reply).unwrap();
        replies += usize::from(matches!(reply, Some(AttemptReply::NotStarted { .. })));
    }
    expect_that!(not_started(&cx), gt(0));
    expect_that!(replies, eq(not_started(&cx)));
}
