//! Batching, request deadlines and configuration deltas of the control role, without a network.

use std::time::Duration;

use coltsfootnotch::daemon::control::batcher::{Batcher, split};
use coltsfootnotch::daemon::control::config_push::ConfigPush;
use coltsfootnotch::daemon::control::packet::{LeaderRequest, LeaderResponse};
use coltsfootnotch::daemon::control::request_table::{
    Origin, RequestId, RequestState, RequestTable,
};
use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_manifest::{Manifest, ManifestDelta};
use coltsfootnotch_state::{
    AttemptId, Close, ClosedBy, KeyDigest, LedgerOp, LedgerReply, LedgerWrite, LogTime, Op, Reply,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ConfigBody, FromRelay, ProposeError};
use googletest::prelude::*;

use super::client::manifest;
use super::group::host;

fn write(number: u64) -> LedgerOp {
    let entry = Incarnation(1);
    LedgerOp {
        account: AccountName::new("bistro").expect("a name"),
        key: KeyDigest::of(&number.to_string()),
        write: LedgerWrite::Close(Close {
            attempt: AttemptId { entry, number },
            by: ClosedBy::Entry(entry),
        }),
    }
}

/// A reply that identifies its write.
fn reply_to(op: &LedgerOp) -> LedgerReply {
    let LedgerWrite::Close(close) = &op.write else {
        panic!("only closes are written here");
    };
    LedgerReply::InDoubt {
        attempt: close.attempt,
        sidecar: coltsfootnotch_state::ProcessId {
            host: host("s1"),
            incarnation: Incarnation(2),
        },
        since: LogTime(0),
    }
}

fn writes_of(op: &Op) -> &[LedgerOp] {
    match op {
        Op::Batch(writes) => writes,
        other => panic!("not a batch: {other:?}"),
    }
}

/// A burst of 1,000 bookings arrives. The first is proposed at once and alone; the others wait for it and
/// share two log entries.
#[test]
fn a_burst_is_proposed_in_few_batches_and_a_single_write_at_once() {
    let mut batcher = Batcher::default();
    let mut sizes = Vec::new();
    for number in 0..1_000 {
        batcher.push_one(RequestId(number), write(number));
        if let Some((_, op)) = batcher.next_batch() {
            sizes.push(writes_of(&op).len());
        }
    }
    loop {
        batcher.finish_batch();
        match batcher.next_batch() {
            Some((_, op)) => sizes.push(writes_of(&op).len()),
            None => break,
        }
    }
    assert_that!(sizes, elements_are![eq(&1), eq(&512), eq(&487)]);
}

/// Guards against mixed-up replies: requests share a batch, some with several writes, and each gets the
/// replies to its own writes.
#[test]
fn each_request_of_a_batch_gets_the_replies_to_its_own_writes() {
    let mut batcher = Batcher::default();
    batcher.push_one(RequestId(1), write(1));
    batcher.push_many(RequestId(2), vec![write(2), write(3)]);
    batcher.push_one(RequestId(3), write(4));
    let (shares, op) = batcher.next_batch().expect("a batch");
    let replies = writes_of(&op).iter().map(reply_to).collect();

    let split = split(shares, replies);

    let expected = vec![
        (RequestId(1), Reply::Ledger(reply_to(&write(1)))),
        (
            RequestId(2),
            Reply::Batch(vec![reply_to(&write(2)), reply_to(&write(3))]),
        ),
        (RequestId(3), Reply::Ledger(reply_to(&write(4)))),
    ];
    assert_that!(split, eq(&expected));
}

/// A leader steps down with a batch in flight and further writes queued. The queued writes were not
/// proposed and are returned; the lost batch doesn't block later ones.
#[test]
fn a_leader_that_steps_down_returns_unproposed_writes() {
    let mut batcher = Batcher::default();
    batcher.push_one(RequestId(1), write(1));
    assert_that!(batcher.next_batch().is_some(), eq(true));
    batcher.push_one(RequestId(2), write(2));
    assert_that!(batcher.abandon(), elements_are![eq(&RequestId(2))]);
    batcher.push_one(RequestId(3), write(3));
    assert_that!(batcher.next_batch().is_some(), eq(true));
}

/// Without a leader, requests are refused as not proposed after the leader timeout and not before. Requests
/// over the limit are refused at once.
#[test]
fn without_a_leader_requests_wait_a_bounded_time_and_number() {
    const BURST: u64 = 20_000;
    let mut table = RequestTable::default();
    let refused = LeaderResponse::Proposed(Err(ProposeError::NoQuorum));
    let mut refused_at_once = 0;
    for id in 0..BURST {
        let origin = Origin::Propose(LinkId(1), id);
        if let Err(response) = table.open(Duration::ZERO, origin, LeaderRequest::Propose(vec![1])) {
            assert_that!(response, eq(&refused));
            refused_at_once += 1;
        }
    }
    assert_that!(table.open_count() + refused_at_once, eq(BURST as usize));
    assert_that!(table.open_count(), le(16_384));
    assert_that!(table.expire(Duration::from_secs(1)), len(eq(0)));
    let late = table.expire(Duration::from_secs(2));
    assert_that!(
        late.iter().all(|(_, response)| *response == refused),
        eq(true)
    );
    assert_that!(table.open_count(), eq(0));
}

/// The connection to the leader breaks after a proposal was forwarded. It may be committed, so its outcome
/// is unknown and must not be reported as not proposed.
#[test]
fn a_proposal_in_progress_has_an_unknown_outcome() {
    let mut table = RequestTable::default();
    let origin = Origin::Propose(LinkId(1), 1);
    let id = table
        .open(Duration::ZERO, origin, LeaderRequest::Propose(vec![1]))
        .expect("capacity");
    table.set_state(Duration::ZERO, id, RequestState::Forwarded(LinkId(9)));
    assert_that!(table.forwarded_over(LinkId(9)), elements_are![eq(&id)]);
    let (_, response) = table.abort(id).expect("it is open");
    assert_that!(
        response,
        eq(&LeaderResponse::Proposed(Err(ProposeError::Unknown)))
    );
}

/// Guards against an unbounded wait during an election, when members take each other for the leader: a
/// request that is repeatedly returned keeps its deadline.
#[test]
fn a_request_that_returns_to_waiting_keeps_its_deadline() {
    let mut table = RequestTable::default();
    let origin = Origin::Propose(LinkId(1), 1);
    let id = table
        .open(Duration::ZERO, origin, LeaderRequest::Propose(vec![1]))
        .expect("capacity");
    for ms in (0..1_500).step_by(100) {
        let now = Duration::from_millis(ms);
        table.set_state(now, id, RequestState::Forwarded(LinkId(9)));
        table.set_state(now, id, RequestState::Waiting);
    }
    let late = table.expire(Duration::from_millis(1_500));
    assert_that!(late, len(eq(1)));
}

/// After ten changes, a host with one of the last few configurations gets a delta to the newest; one
/// further behind gets none, so that the number of stored bases is bounded.
#[test]
fn a_host_a_few_changes_behind_gets_a_delta_to_the_newest() {
    let mut push = ConfigPush::default();
    let mut manifests = Vec::new();
    for number in 1..=10 {
        let req = manifest(number, &["bistro", &format!("diner-{number}")]);
        manifests.push(Manifest::from_body(&req.body).expect("a manifest"));
        push.accept(ConfigBody {
            number,
            digest: req.digest.0,
            body: req.body,
        });
    }
    let newest = manifests.last().expect("the newest");
    for (base, expected) in manifests.iter().zip([
        false, false, false, false, false, true, true, true, true, false,
    ]) {
        let Some(FromRelay::ConfigDelta { number, delta }) = push.delta(base.number) else {
            assert_that!(expected, eq(false), "from {}", base.number);
            continue;
        };
        assert_that!(expected, eq(true), "from {}", base.number);
        assert_that!(number, eq(10));
        let delta: ManifestDelta = postcard::from_bytes(&delta).expect("a delta");
        assert_that!(delta.apply(base).expect("it fits"), eq(newest));
    }
}
