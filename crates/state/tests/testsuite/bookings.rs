//! Calls that may not be repeated, when answers, processes and time are lost.

use crate::support::{Call, Log, account, answer, attempt, process};
use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{Disowned, LedgerLimits, LedgerRefusal, LedgerReply, RecordedBody};
use googletest::prelude::*;

const REFUSED_FULL: LedgerReply = LedgerReply::Refused(LedgerRefusal::AccountFull);

#[gtest]
fn a_caller_that_lost_its_answer_gets_the_recorded_one_through_any_entry() {
    // The caller's connection breaks after the order was printed. It asks again through another
    // entry, after the control hosts were restarted: it gets the answer, and nothing is dispatched.
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    let sidecar = process("sidecar-1", 10);
    expect_that!(
        log.ledger(call.intent(attempt(1, 1), &sidecar)),
        eq(&LedgerReply::Started)
    );
    let outcome = call.outcome(attempt(1, 1), answer("no. 17"));
    expect_that!(log.ledger(outcome), eq(&LedgerReply::Recorded));
    log.restart();
    expect_that!(
        log.ledger(call.intent(attempt(2, 1), &sidecar)),
        eq(&LedgerReply::AlreadyDone(answer("no. 17")))
    );
}

#[gtest]
fn a_second_call_meets_an_open_attempt_until_its_sidecar_disowns_it() {
    // An entry is lost between intent and start. The caller asks again elsewhere: the attempt is in
    // doubt. The sidecar named in the intent says that it never dispatched it; a later run of that
    // sidecar cannot say so. Then a new attempt starts, and a late copy of the first one does not.
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    let (sidecar, restarted) = (process("sidecar-1", 10), process("sidecar-1", 11));
    let first = call.intent(attempt(1, 1), &sidecar);
    log.ledger(first.clone());
    let in_doubt = LedgerReply::InDoubt {
        attempt: attempt(1, 1),
        sidecar: sidecar.clone(),
        since: LogTime(0),
    };
    expect_that!(
        log.ledger(call.intent(attempt(2, 1), &sidecar)),
        eq(&in_doubt)
    );
    let by_other = call.close(attempt(1, 1), Disowned::BySidecar(restarted.clone()));
    expect_that!(
        log.ledger(by_other),
        eq(&LedgerReply::Refused(LedgerRefusal::NotItsProcess))
    );
    let by_it = call.close(attempt(1, 1), Disowned::BySidecar(sidecar));
    expect_that!(log.ledger(by_it), eq(&LedgerReply::Closed));
    expect_that!(
        log.ledger(call.intent(attempt(2, 2), &restarted)),
        eq(&LedgerReply::Started)
    );
    expect_that!(
        log.ledger(first),
        matches_pattern!(LedgerReply::InDoubt { .. })
    );
    let late = call.outcome(attempt(1, 1), answer("no. 1"));
    let closed = LedgerReply::Refused(LedgerRefusal::AttemptClosed);
    expect_that!(log.ledger(late), eq(&closed));
    expect_that!(log.machine.ledger().counters().violations, eq(2));
}

#[gtest]
fn a_rereading_call_that_finds_the_booking_settles_the_doubt_for_good() {
    // Entry and sidecar are both lost after the order was made. The rereading call finds it by its
    // key. The true outcome that comes late changes nothing: all callers get the same answer.
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    log.ledger(call.intent(attempt(1, 1), &process("sidecar-1", 10)));
    let settled = call.settle(attempt(1, 1), answer("found no. 17"));
    expect_that!(log.ledger(settled), eq(&LedgerReply::Settled));
    expect_that!(
        log.ledger(call.outcome(attempt(1, 1), answer("no. 17"))),
        eq(&LedgerReply::AlreadyDone(answer("found no. 17")))
    );
}

#[gtest]
fn a_key_with_another_body_is_refused_and_the_same_key_of_another_account_is_not() {
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    let sidecar = process("sidecar-1", 10);
    log.ledger(call.intent(attempt(1, 1), &sidecar));
    let mut changed = Call::new("order-1");
    changed.body = BodyDigest::of(b"2,000 cards");
    expect_that!(
        log.ledger(changed.intent(attempt(1, 2), &sidecar)),
        eq(&LedgerReply::BodyMismatch)
    );
    changed.account = account("chain");
    expect_that!(
        log.ledger(changed.intent(attempt(1, 3), &sidecar)),
        eq(&LedgerReply::Started)
    );
}

#[gtest]
fn a_key_older_than_the_retention_is_refused_for_good() {
    // A caller resends an order days later, when its record has expired. A plain key is known by its
    // tombstone and a dated one by its own time, so neither runs again, also after a restart.
    let mut log = Log::default();
    let sidecar = process("sidecar-1", 10);
    let calls = [Call::new("order-1"), Call::new("ledger-0.order-1")];
    for call in &calls {
        log.ledger(call.intent(attempt(1, 1), &sidecar));
    }
    log.pass(71);
    expect_that!(
        log.ledger(calls[1].intent(attempt(1, 2), &sidecar)),
        matches_pattern!(LedgerReply::InDoubt { .. })
    );
    log.pass(2);
    for days in [0, 30, 300] {
        log.pass(days * 24);
        log.restart();
        for call in &calls {
            let late = call.intent(attempt(2, days), &sidecar);
            expect_that!(log.ledger(late), eq(&LedgerReply::TooOld));
        }
    }
    expect_that!(log.machine.ledger().usage(&calls[0].account).records, eq(0));
}

#[gtest]
fn raising_the_retention_does_not_let_a_forgotten_dated_key_run_again() {
    // A dated order is recorded for 72 hours. Meanwhile the retention is raised to 96. The record
    // still expires after 72: its key is then younger than 96 hours, and must be refused all the same.
    let (mut log, call) = (Log::default(), Call::new("ledger-3600.order-1"));
    let sidecar = process("sidecar-1", 10);
    log.pass(1);
    log.ledger(call.intent(attempt(1, 1), &sidecar));
    let retention_secs = 96 * 3_600;
    let longer = LedgerLimits {
        retention_secs,
        ..LedgerLimits::DEFAULT
    };
    log.apply(Op::SetLimits(longer));
    log.pass(73);
    expect_that!(
        log.ledger(call.intent(attempt(2, 1), &sidecar)),
        eq(&LedgerReply::TooOld)
    );
}

#[gtest]
fn an_account_that_floods_the_ledger_is_refused_unrun_and_others_are_not() {
    // One account sends new keys without end. It is refused when its records, or later its plain
    // keys, are used up; dated keys and other accounts go on.
    let mut log = Log::default();
    let sidecar = process("sidecar-1", 10);
    log.apply(Op::SetLimits(LedgerLimits {
        records_per_account: 3,
        tombstones_per_account: 5,
        ..LedgerLimits::DEFAULT
    }));
    let send =
        |log: &mut Log, text: String| log.ledger(Call::new(&text).intent(attempt(1, 1), &sidecar));
    let replies: Vec<_> = (0..4).map(|n| send(&mut log, format!("a-{n}"))).collect();
    expect_that!(replies[2..], [eq(&LedgerReply::Started), eq(&REFUSED_FULL)]);
    log.pass(73);
    let replies: Vec<_> = (0..3).map(|n| send(&mut log, format!("b-{n}"))).collect();
    let used_up = LedgerReply::Refused(LedgerRefusal::PlainKeysUsedUp);
    expect_that!(replies[1..], [eq(&LedgerReply::Started), eq(&used_up)]);
    let issued = log.at.0 / 1_000;
    let dated = send(&mut log, format!("ledger-{issued}.c"));
    expect_that!(dated, eq(&LedgerReply::Started));
    let ahead = send(&mut log, format!("ledger-{}.c", issued + 1));
    expect_that!(
        ahead,
        eq(&LedgerReply::Refused(LedgerRefusal::NotYetIssued))
    );
    let mut other = Call::new("a-0");
    other.account = account("chain");
    expect_that!(
        log.ledger(other.intent(attempt(1, 1), &process("sidecar-1", 10))),
        eq(&LedgerReply::Started)
    );
}

#[gtest]
fn an_answer_too_large_to_keep_is_recorded_by_its_digest() {
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    log.ledger(call.intent(attempt(1, 1), &process("sidecar-1", 10)));
    let body = "x".repeat(9_000);
    log.ledger(call.outcome(attempt(1, 1), answer(&body)));
    let kept = log.ledger(call.intent(attempt(1, 2), &process("sidecar-1", 10)));
    let LedgerReply::AlreadyDone(kept) = kept else {
        panic!("the call has ended, and is answered by {kept:?}");
    };
    let digest = BodyDigest::of(body.as_bytes());
    expect_that!(kept.body, eq(&RecordedBody::Digest { digest, len: 9_000 }));
    expect_that!(
        log.machine.ledger().usage(&call.account).answer_bytes,
        lt(100)
    );
}
