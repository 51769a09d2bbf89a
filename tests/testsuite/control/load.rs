//! Decisions of the control role under load and without a leader, apart from any network.

use std::time::Duration;

use coltsfootnotch::daemon::control::batcher::{Batcher, split};
use coltsfootnotch::daemon::control::config_push::ConfigPush;
use coltsfootnotch::daemon::control::packet::{Answer, Ask};
use coltsfootnotch::daemon::control::request_table::{Origin, Place, RequestId, RequestTable};
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

/// A reply by which the write that it answers can be told.
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

/// A burst of 1,000 bookings arrives while the first is in flight. The first goes at once and alone,
/// since nothing was in flight; the others wait for it and take two entries of the log, not 999.
#[test]
fn a_burst_goes_in_few_batches_and_a_lone_write_at_once() {
    let mut batcher = Batcher::default();
    let mut sizes = Vec::new();
    for number in 0..1_000 {
        batcher.push_one(RequestId(number), write(number));
        if let Some((_, op)) = batcher.next_batch() {
            sizes.push(writes_of(&op).len());
        }
    }
    loop {
        batcher.landed();
        match batcher.next_batch() {
            Some((_, op)) => sizes.push(writes_of(&op).len()),
            None => break,
        }
    }
    assert_that!(sizes, elements_are![eq(&1), eq(&512), eq(&487)]);
}

/// Writes of many requests share a batch, some of them grouped by their hosts. Each request gets the
/// replies to its own writes: crossed, a caller would be told the outcome of another's booking.
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

/// The leader loses its office with a batch in flight and writes behind it. Those were not proposed
/// and may go to the next leader; when this member leads again it does not wait for the lost batch.
#[test]
fn a_leader_that_steps_down_gives_back_what_it_did_not_propose() {
    let mut batcher = Batcher::default();
    batcher.push_one(RequestId(1), write(1));
    assert_that!(batcher.next_batch().is_some(), eq(true));
    batcher.push_one(RequestId(2), write(2));
    assert_that!(batcher.abandon(), elements_are![eq(&RequestId(2))]);
    batcher.push_one(RequestId(3), write(3));
    assert_that!(batcher.next_batch().is_some(), eq(true));
}

/// There is no leader and none is elected. A burst of bookings is refused as not proposed once a
/// leader should have been there, and not before; what comes over the bound is refused at once.
#[test]
fn without_a_leader_requests_wait_a_bounded_time_and_number() {
    const BURST: u64 = 20_000;
    let mut table = RequestTable::default();
    let refused = Answer::Proposed(Err(ProposeError::NoQuorum));
    let mut refused_at_once = 0;
    for id in 0..BURST {
        let origin = Origin::Propose(LinkId(1), id);
        if let Err(answer) = table.open(Duration::ZERO, origin, Ask::Propose(vec![1])) {
            assert_that!(answer, eq(&refused));
            refused_at_once += 1;
        }
    }
    assert_that!(table.open_count() + refused_at_once, eq(BURST as usize));
    assert_that!(table.open_count(), le(16_384));
    assert_that!(table.expire(Duration::from_secs(1)), len(eq(0)));
    let late = table.expire(Duration::from_secs(2));
    assert_that!(late.iter().all(|(_, answer)| *answer == refused), eq(true));
    assert_that!(table.open_count(), eq(0));
}

/// A proposal was sent to the leader and the connection broke. It may have been committed, so the
/// host is told that the outcome is unknown, and never that it was not proposed.
#[test]
fn a_proposal_that_was_under_way_is_unknown_and_not_refused() {
    let mut table = RequestTable::default();
    let origin = Origin::Propose(LinkId(1), 1);
    let id = table
        .open(Duration::ZERO, origin, Ask::Propose(vec![1]))
        .expect("room");
    table.put(Duration::ZERO, id, Place::Sent(LinkId(9)));
    assert_that!(table.sent_over(LinkId(9)), elements_are![eq(&id)]);
    let (_, answer) = table.lose(id).expect("it is open");
    assert_that!(answer, eq(&Answer::Proposed(Err(ProposeError::Unknown))));
}

/// Members take each other for the leader in turn during an election. A request that is sent back
/// each time gets no more time for that: its caller hears in bounded time.
#[test]
fn a_request_that_is_sent_round_gets_no_more_time() {
    let mut table = RequestTable::default();
    let origin = Origin::Propose(LinkId(1), 1);
    let id = table
        .open(Duration::ZERO, origin, Ask::Propose(vec![1]))
        .expect("room");
    for ms in (0..1_500).step_by(100) {
        let now = Duration::from_millis(ms);
        table.put(now, id, Place::Sent(LinkId(9)));
        table.put(now, id, Place::Waiting);
    }
    let late = table.expire(Duration::from_millis(1_500));
    assert_that!(late, len(eq(1)));
}

/// Ten changes in a burst. A host that has one of the last few in force gets a delta that gives the
/// newest; one that is further behind gets none, and so the whole. What is kept stays bounded.
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
