//! At-most-once calls under lost answers, lost processes and expiry.

use crate::support::{Call, Log, account, answer, attempt, process};
use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{ClosedBy, LedgerLimits, LedgerRefusal, LedgerReply, RecordedBody};
use googletest::prelude::*;

const ACCOUNT_FULL: LedgerReply = LedgerReply::Refused(LedgerRefusal::AccountFull);

#[gtest]
fn a_resent_call_gets_the_recorded_answer_through_any_entry() {
    // Guards against a second run when the caller lost the answer and resends the call through
    // another entry after a restart of the control hosts.
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
fn a_second_call_is_in_doubt_until_the_sidecar_closes_the_open_attempt() {
    // An entry is lost between intent and start. Only the run of the sidecar that the intent names
    // can close the attempt. Then another attempt starts, and a late duplicate of the first does
    // not.
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
    let by_restarted = call.close(attempt(1, 1), ClosedBy::Sidecar(restarted.clone()));
    expect_that!(
        log.ledger(by_restarted),
        eq(&LedgerReply::Refused(LedgerRefusal::NotAuthorized))
    );
    let by_sidecar = call.close(attempt(1, 1), ClosedBy::Sidecar(sidecar));
    expect_that!(log.ledger(by_sidecar), eq(&LedgerReply::Closed));
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
fn a_reread_call_that_finds_the_booking_resolves_the_attempt() {
    // Entry and sidecar are lost after the booking was made. A late outcome does not replace the
    // answer that the reread call found: all callers get the same one.
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    log.ledger(call.intent(attempt(1, 1), &process("sidecar-1", 10)));
    let resolved = call.resolve(attempt(1, 1), answer("found no. 17"));
    expect_that!(log.ledger(resolved), eq(&LedgerReply::Resolved));
    expect_that!(
        log.ledger(call.outcome(attempt(1, 1), answer("no. 17"))),
        eq(&LedgerReply::AlreadyDone(answer("found no. 17")))
    );
}

#[gtest]
fn a_key_with_another_body_is_refused_but_not_for_another_account() {
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
fn a_key_older_than_the_retention_is_refused_permanently() {
    // Guards against a second run of a call that is resent after its record has expired, also after
    // a restart: a plain key is refused by its tombstone and a dated key by its issue time.
    let mut log = Log::default();
    let sidecar = process("sidecar-1", 10);
    let calls = [Call::new("order-1"), Call::new("ledger-0.order-1")];
    for call in &calls {
        log.ledger(call.intent(attempt(1, 1), &sidecar));
    }
    log.advance(71);
    expect_that!(
        log.ledger(calls[1].intent(attempt(1, 2), &sidecar)),
        matches_pattern!(LedgerReply::InDoubt { .. })
    );
    log.advance(2);
    for days in [0, 30, 300] {
        log.advance(days * 24);
        log.restart();
        for call in &calls {
            let late = call.intent(attempt(2, days), &sidecar);
            expect_that!(log.ledger(late), eq(&LedgerReply::TooOld));
        }
    }
    expect_that!(log.machine.ledger().usage(&calls[0].account).records, eq(0));
}

#[gtest]
fn raising_the_retention_does_not_let_an_expired_dated_key_run_again() {
    // The record expires after 72 hours although the retention was raised to 96. Its key is then
    // younger than the retention and must still be refused.
    let (mut log, call) = (Log::default(), Call::new("ledger-3600.order-1"));
    let sidecar = process("sidecar-1", 10);
    log.advance(1);
    log.ledger(call.intent(attempt(1, 1), &sidecar));
    let retention_secs = 96 * 3_600;
    let longer = LedgerLimits {
        retention_secs,
        ..LedgerLimits::DEFAULT
    };
    log.apply(Op::SetLimits(longer));
    log.advance(73);
    expect_that!(
        log.ledger(call.intent(attempt(2, 1), &sidecar)),
        eq(&LedgerReply::TooOld)
    );
}

#[gtest]
fn an_account_that_floods_the_ledger_is_refused_and_others_are_not() {
    // An account is refused when it reaches its limit of records, or later of plain keys. Dated
    // keys and other accounts are still accepted.
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
    expect_that!(replies[2..], [eq(&LedgerReply::Started), eq(&ACCOUNT_FULL)]);
    log.advance(73);
    let replies: Vec<_> = (0..3).map(|n| send(&mut log, format!("b-{n}"))).collect();
    let exhausted = LedgerReply::Refused(LedgerRefusal::PlainKeysExhausted);
    expect_that!(replies[1..], [eq(&LedgerReply::Started), eq(&exhausted)]);
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
fn an_answer_over_the_size_limit_is_recorded_by_its_digest() {
    let (mut log, call) = (Log::default(), Call::new("order-1"));
    log.ledger(call.intent(attempt(1, 1), &process("sidecar-1", 10)));
    let body = "x".repeat(9_000);
    log.ledger(call.outcome(attempt(1, 1), answer(&body)));
    let reply = log.ledger(call.intent(attempt(1, 2), &process("sidecar-1", 10)));
    let LedgerReply::AlreadyDone(recorded) = reply else {
        panic!("unexpected reply to a finished call: {reply:?}");
    };
    let digest = BodyDigest::of(body.as_bytes());
    expect_that!(
        recorded.body,
        eq(&RecordedBody::Digest { digest, len: 9_000 })
    );
    expect_that!(
        log.machine.ledger().usage(&call.account).answer_bytes,
        lt(100)
    );
}
