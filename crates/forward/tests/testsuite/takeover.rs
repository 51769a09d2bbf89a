//! When another upstream takes over a stream.

use std::time::Duration;

use coltsfootnotch_forward::streams::{Takeover, TakeoverRefusal, TakeoverStep};
use googletest::prelude::*;
use proptest::prelude::{Strategy, prop_assert, prop_oneof, proptest};

const FULL: TakeoverRefusal = TakeoverRefusal::Full("full");

/// Streams of an upstream that fall silent at the same time.
const CROWD: u32 = 48;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A takeover of a silent stream, in its first search.
fn searching() -> Takeover {
    let mut takeover = Takeover::new(at(0), 1, 2);
    assert_eq!(takeover.step(at(0)), TakeoverStep::Search);
    takeover
}

/// A takeover of a silent stream whose request was sent to another upstream.
fn asked() -> Takeover {
    let mut takeover = searching();
    takeover.on_found();
    takeover
}

/// Guards against a stream that is given up for a silence, whatever keeps others from going on with it.
#[gtest]
fn a_silence_alone_never_ends_a_stream() {
    let refusals = [
        FULL,
        TakeoverRefusal::Unavailable("no budget"),
        TakeoverRefusal::Never("stopping"),
    ];
    for refusal in refusals {
        let mut takeover = Takeover::new(at(0), 1, 2);
        for time in 0..20_000 {
            match takeover.step(at(time)) {
                TakeoverStep::Search => takeover.on_refused(at(time), refusal),
                TakeoverStep::Wait(_) => {}
                step => panic!("{step:?} at {time} with {refusal:?}"),
            }
        }
    }
    let mut used_up = Takeover::new(at(0), 2, 2);
    expect_that!(used_up.step(at(9_000)), eq(TakeoverStep::Wait(None)));
    let mut impossible = Takeover::impossible(1, "no numbers");
    expect_that!(impossible.step(at(9_000)), eq(TakeoverStep::Wait(None)));
}

/// Guards against a crowd of silent streams that floods the actor with searches.
#[gtest]
fn silent_streams_search_less_and_less_often() {
    let mut searches = [0_u32; 10];
    for _ in 0..CROWD {
        let mut takeover = Takeover::new(at(0), 1, 2);
        for time in 0..10_000_u32 {
            if takeover.step(at(time.into())) == TakeoverStep::Search {
                searches[time as usize / 1_000] += 1;
                takeover.on_refused(at(time.into()), FULL);
            }
        }
    }
    expect_that!(searches[0], le(CROWD * 5));
    expect_that!(searches[1..], each(le(&(CROWD * 2))));
    expect_that!(searches[1..], each(ge(&CROWD)), "each goes on searching");
}

/// Guards against a hung upstream whose streams wait for the next search although there is room again.
#[gtest]
fn the_loss_of_a_silent_upstream_begins_a_search_at_once() {
    for refusal in [FULL, TakeoverRefusal::Never("stopping")] {
        let mut takeover = searching();
        takeover.on_refused(at(0), refusal);
        takeover.on_present_lost(at(10));
        expect_that!(takeover.step(at(10)), eq(TakeoverStep::Search));
    }
}

/// Guards against a stream that is given up at its upstream's loss while another one has its request.
#[gtest]
fn an_upstream_that_was_asked_is_kept_when_the_present_one_is_lost() {
    let mut takeover = asked();
    takeover.on_present_lost(at(10));
    expect_that!(takeover.step(at(3_000)), eq(TakeoverStep::Wait(None)));
    takeover.on_answered(at(3_000));
    expect_that!(takeover.step(at(3_000)), eq(TakeoverStep::Switch));
}

/// Guards against two upstreams that run a stream for longer than 400 ms.
#[gtest]
fn the_silent_upstream_is_given_up_soon_after_another_has_answered() {
    let mut takeover = asked();
    takeover.on_answered(at(500));
    let step = takeover.step(at(500));
    let TakeoverStep::Wait(Some(until)) = step else {
        panic!("{step:?}");
    };
    expect_that!(until, le(at(500 + 300)));
    expect_that!(takeover.step(until), eq(TakeoverStep::Switch));
}

/// Guards against a stream that ends with the failure of the upstream that was asked, or reaches more upstreams than
/// its route allows.
#[gtest]
fn an_attempt_that_fails_counts_and_ends_no_silent_stream() {
    let mut takeover = asked();
    expect_that!(takeover.attempts(), eq(2), "it may run from now on");
    takeover.on_failed(at(700), true);
    expect_that!(takeover.attempts(), eq(2));
    expect_that!(takeover.step(at(9_000)), eq(TakeoverStep::Wait(None)));
    takeover.on_present_lost(at(9_000));
    let step = takeover.step(at(9_000));
    expect_that!(step, eq(TakeoverStep::GiveUp("all attempts are used up")));

    let mut takeover = asked();
    takeover.on_failed(at(700), false);
    expect_that!(takeover.attempts(), eq(1), "it has not run");
    expect_that!(takeover.step(at(9_000)), eq(TakeoverStep::Search));
}

/// Guards against streams of a lost upstream that are given up at once while the others are full, or that wait
/// without end.
#[gtest]
fn a_lost_upstream_is_replaced_within_a_second_or_not_at_all() {
    let mut takeover = Takeover::new(at(0), 1, 2);
    takeover.on_present_lost(at(0));
    let mut end = None;
    for time in 0..3_000 {
        match takeover.step(at(time)) {
            TakeoverStep::Search => takeover.on_refused(at(time), FULL),
            TakeoverStep::GiveUp(reason) => end = end.or(Some((time, reason))),
            _ => {}
        }
    }
    let (time, reason) = end.expect("it ends");
    expect_that!(reason, eq("full"));
    expect_that!(time, all!(ge(1_000), le(1_100)));
}

/// What may happen to a stream that is taken over.
#[derive(Debug, Clone, Copy)]
enum Happens {
    Refused(TakeoverRefusal),
    Found,
    Failed(bool),
    Answered,
    AnswerLost,
    PresentLost,
    Time(u64),
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        proptest::prelude::Just(Happens::Refused(FULL)),
        proptest::prelude::Just(Happens::Refused(TakeoverRefusal::Unavailable("budget"))),
        proptest::prelude::Just(Happens::Refused(TakeoverRefusal::Never("stopping"))),
        proptest::prelude::Just(Happens::Found),
        proptest::prelude::any::<bool>().prop_map(Happens::Failed),
        proptest::prelude::Just(Happens::Answered),
        proptest::prelude::Just(Happens::AnswerLost),
        proptest::prelude::Just(Happens::PresentLost),
        (0_u64..400).prop_map(Happens::Time),
    ]
}

proptest! {
    /// Whatever happens in whichever order, no stream is given up while its upstream is listened to, none reaches more
    /// upstreams than its route allows, and none waits without end after a loss.
    #[test]
    fn a_stream_ends_only_with_its_upstream(
        happenings in proptest::collection::vec(happens(), 1..80),
        max_attempts in 1_u32..4,
    ) {
        let mut takeover = Takeover::new(at(0), 1, max_attempts);
        let (mut now, mut is_lost) = (0, false);
        // Whether a search is in progress, another upstream was asked, or it has answered.
        let (mut searches, mut is_asked, mut has_answered) = (false, false, false);
        for happens in happenings {
            match happens {
                Happens::Refused(refusal) if searches => {
                    takeover.on_refused(at(now), refusal);
                    searches = false;
                }
                Happens::Found if searches => {
                    takeover.on_found();
                    (searches, is_asked) = (false, true);
                }
                Happens::Failed(may_have_run) if is_asked => {
                    takeover.on_failed(at(now), may_have_run);
                    is_asked = false;
                }
                Happens::Answered if is_asked => {
                    takeover.on_answered(at(now));
                    (is_asked, has_answered) = (false, true);
                }
                Happens::AnswerLost if has_answered => {
                    takeover.on_answer_lost(at(now));
                    has_answered = false;
                }
                Happens::PresentLost if !is_lost => {
                    takeover.on_present_lost(at(now));
                    is_lost = true;
                }
                Happens::Time(passed) => now += passed,
                _ => {}
            }
            prop_assert!(takeover.attempts() <= max_attempts);
            match takeover.step(at(now)) {
                TakeoverStep::Search => {
                    prop_assert!(!searches && !is_asked && !has_answered);
                    searches = true;
                }
                TakeoverStep::Switch => {
                    prop_assert!(has_answered);
                    return Ok(());
                }
                TakeoverStep::GiveUp(_) => {
                    prop_assert!(is_lost && !searches && !is_asked && !has_answered);
                    return Ok(());
                }
                TakeoverStep::Wait(until) => {
                    let waits_for_other = searches || is_asked;
                    prop_assert!(!is_lost || waits_for_other || until.is_some());
                }
            }
        }
    }
}

/// Guards against a stream that no upstream can go on with and that is searched for once more, which its log line would
/// give as the reason.
#[gtest]
fn a_stream_that_cannot_be_taken_over_keeps_its_reason() {
    let mut takeover = Takeover::impossible(1, "it can't be resumed");
    takeover.on_present_lost(at(0));
    let given_up = TakeoverStep::GiveUp("it can't be resumed");
    expect_that!(takeover.step(at(0)), eq(given_up));
    expect_false!(takeover.search_once_more(at(0)));
    expect_that!(takeover.step(at(0)), eq(given_up));
}
