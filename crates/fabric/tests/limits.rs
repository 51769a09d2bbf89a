//! Limits on what peers make an endpoint hold.

use std::sync::mpsc;
use std::time::Duration;

use coltsfootnotch_fabric::{
    AttemptStream, Credentials, DialHandle, Endpoint, Event, LinkTx, PeerId, PeerLimits,
    read_frame, write_frame,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Message, ToRelay};
use googletest::prelude::*;
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Process {
    endpoint: Endpoint,
    events: mpsc::Receiver<Event>,
    peer: PeerId,
}

impl Process {
    fn start(runtime: &Runtime, role: Role, host: &str, limits: PeerLimits) -> Self {
        let host = HostName::new(host).unwrap();
        let peer = PeerId { role, host };
        let credentials = Credentials::without_authority(&peer).unwrap();
        let (tx, events) = mpsc::channel();
        let handler = move |event| drop(tx.send(event));
        let any = "127.0.0.1:0".parse().unwrap();
        let handle = runtime.handle();
        let incarnation = Incarnation(1);
        let endpoint = match role {
            Role::Sidecar => {
                Endpoint::bind_for_attempts(handle, any, &credentials, incarnation, limits, handler)
            }
            _ => Endpoint::bind(handle, any, &credentials, incarnation, limits, handler),
        };
        Self {
            endpoint: endpoint.unwrap(),
            events,
            peer,
        }
    }

    fn dial(&self, to: &Self) -> DialHandle {
        let address = to.endpoint.address().unwrap();
        self.endpoint.dial(address, to.peer.clone())
    }

    fn wait_up(&self) -> LinkTx {
        match self.events.recv_timeout(TIMEOUT) {
            Ok(Event::Up { tx, .. }) => tx,
            other => panic!("not connected: {other:?}"),
        }
    }

    fn wait_stream(&self) -> AttemptStream {
        loop {
            if let Event::Stream { stream, .. } = self.events.recv_timeout(TIMEOUT).unwrap() {
                return stream;
            }
        }
    }
}

fn limits(connections: usize) -> PeerLimits {
    PeerLimits {
        connections,
        handshakes: connections,
        ..PeerLimits::default()
    }
}

// Guards against a host whose memory all goes to the connections of peers, and against one that stays closed to others
// after some of them have left.
#[gtest]
fn connections_beyond_the_limit_are_refused_until_one_ends() {
    let runtime = Runtime::new().unwrap();
    let control = Process::start(&runtime, Role::Control, "c1", limits(1));
    let first = Process::start(&runtime, Role::Entry, "e1", limits(1));
    let second = Process::start(&runtime, Role::Entry, "e2", limits(1));
    let first_dial = first.dial(&control);
    first.wait_up();
    let _second_dial = second.dial(&control);
    let refused = second.events.recv_timeout(Duration::from_millis(500));
    expect_that!(refused, err(anything()));
    expect_that!(control.endpoint.traffic().refused(), gt(0));
    drop(first_dial);
    first.endpoint.close();
    second.wait_up();
}

// Guards against a host whose memory all goes to frames for a peer that does not read them, and against closing the
// connections of those that do.
#[gtest]
fn the_connection_of_a_peer_that_reads_nothing_is_closed() {
    let runtime = Runtime::new().unwrap();
    let limits = PeerLimits {
        queued_bytes: 4 << 20,
        ..PeerLimits::default()
    };
    let control = Process::start(&runtime, Role::Control, "c1", limits);
    let silent = Process::start(&runtime, Role::Entry, "e1", limits);
    let _dial = silent.dial(&control);
    let to_silent = control.wait_up();
    silent.wait_up();
    let reader = Process::start(&runtime, Role::Entry, "e2", limits);
    let _dial = reader.dial(&control);
    let to_reader = control.wait_up();
    reader.wait_up();
    let message = |bytes| {
        let json = "a".repeat(bytes);
        Message::FromRelay(FromRelay::Status { id: 1, json })
    };
    // The silent peer's process takes no events, of which as many as may be unhandled are read first.
    let mut is_closed = false;
    for _ in 0..2_000 {
        to_silent.send(&message(64 * 1024)).unwrap();
        to_reader.send(&message(10)).unwrap();
        while reader.events.try_recv().is_ok() {}
        std::thread::sleep(Duration::from_millis(2));
        let ended = control.events.try_iter();
        is_closed |= ended
            .filter(|event| matches!(event, Event::Down { peer, .. } if *peer == silent.peer))
            .count()
            > 0;
        if is_closed {
            break;
        }
    }
    expect_that!(is_closed, eq(true));
    to_reader.send(&message(10)).unwrap();
    expect_that!(
        reader.events.recv_timeout(TIMEOUT),
        ok(matches_pattern!(Event::Message { .. }))
    );
}

// Guards against callers that read slowly and keep the responses of all others at the same upstream from arriving.
#[gtest]
fn responses_that_are_not_read_do_not_block_others() {
    let runtime = Runtime::new().unwrap();
    let sidecar = Process::start(&runtime, Role::Sidecar, "s1", PeerLimits::default());
    let entry = Process::start(&runtime, Role::Entry, "e1", PeerLimits::default());
    let _dial = entry.dial(&sidecar);
    let tx = entry.wait_up();
    let open = || runtime.block_on(tx.open()).unwrap();
    let mut unread = Vec::new();
    for _ in 0..40 {
        let mut ours = open();
        runtime
            .block_on(write_frame(&mut ours.send, &1_u8))
            .unwrap();
        let mut theirs = sidecar.wait_stream();
        // The write does not end while nobody reads.
        let written = runtime.spawn(async move {
            let _is_written = write_frame(&mut theirs.send, &vec![0_u8; 1 << 20]).await;
            theirs
        });
        unread.push((ours, written));
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut ours = open();
    runtime
        .block_on(write_frame(&mut ours.send, &1_u8))
        .unwrap();
    let mut theirs = sidecar.wait_stream();
    let response = async {
        write_frame(&mut theirs.send, &7_u8).await.ok()?;
        read_frame::<u8>(&mut ours.recv).await.ok()
    };
    let in_time = runtime.block_on(async { tokio::time::timeout(TIMEOUT, response).await });
    let read = in_time.ok().flatten();
    expect_that!(read, some(eq(7)));
    unread.iter().for_each(|(_, task)| task.abort());
}

// Guards against peers that send more than is handled: a host that handles no messages reads a limited number of them.
#[gtest]
fn messages_that_are_not_handled_are_not_read_without_limit() {
    let runtime = Runtime::new().unwrap();
    let control = Process::start(&runtime, Role::Control, "c1", PeerLimits::default());
    let entry = Process::start(&runtime, Role::Entry, "e1", PeerLimits::default());
    let _dial = entry.dial(&control);
    let tx = entry.wait_up();
    for id in 0..2_000 {
        tx.send(&Message::ToRelay(ToRelay::Status { id })).unwrap();
    }
    std::thread::sleep(Duration::from_millis(500));
    // They are kept, which holds what they take.
    let kept: Vec<_> = control.events.try_iter().collect();
    let messages = |events: &[Event]| {
        let is_message = |event: &&Event| matches!(event, Event::Message { .. });
        events.iter().filter(is_message).count()
    };
    expect_that!(messages(&kept), le(256));
    drop(kept);
    std::thread::sleep(Duration::from_millis(500));
    let more: Vec<_> = control.events.try_iter().collect();
    expect_that!(messages(&more), gt(0));
}

// Guards against the same by long messages, of which fewer are read.
#[gtest]
fn long_messages_that_are_not_handled_count_by_their_length() {
    let runtime = Runtime::new().unwrap();
    let control = Process::start(&runtime, Role::Control, "c1", PeerLimits::default());
    let entry = Process::start(&runtime, Role::Entry, "e1", PeerLimits::default());
    let _dial = entry.dial(&control);
    let tx = entry.wait_up();
    for id in 0..200 {
        let command = vec![0; 4_000];
        let message = Message::ToRelay(ToRelay::Propose { id, command });
        tx.send(&message).unwrap();
    }
    std::thread::sleep(Duration::from_millis(500));
    let kept: Vec<_> = control.events.try_iter().collect();
    let is_message = |event: &&Event| matches!(event, Event::Message { .. });
    let bytes = 4_000 * kept.iter().filter(is_message).count();
    expect_that!(bytes, gt(0));
    expect_that!(bytes, le(64 * 1024));
}
