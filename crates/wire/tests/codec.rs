//! Malformed, truncated and oversized frames are rejected without a panic.

use coltsfootnotch_types::{Incarnation, Role};
use coltsfootnotch_wire::{
    AttemptId, CodecError, MAX_FRAME_BYTES, Message, ToRelay, ToSidecar, decode, encode,
    split_frame,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn fixed_seed() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

fn cancel() -> Message {
    let attempt = AttemptId {
        entry: Incarnation(3),
        request: 1,
        attempt: 0,
    };
    Message::ToSidecar(ToSidecar::Cancel { attempt })
}

#[gtest]
fn an_oversized_frame_is_rejected_by_its_length_prefix() {
    let len = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    expect_that!(
        split_frame(&len.to_be_bytes()),
        err(matches_pattern!(CodecError::TooLarge { .. }))
    );
}

#[gtest]
fn a_role_may_send_only_its_own_messages() {
    expect_true!(cancel().may_be_sent_by(Role::Entry));
    expect_false!(cancel().may_be_sent_by(Role::Sidecar));
    let propose = Message::ToRelay(ToRelay::Propose {
        id: 1,
        command: vec![],
    });
    // A control host proposes nothing over a connection, so a stolen control key can't either. The
    // control host checks which operations the other roles may propose.
    expect_false!(propose.may_be_sent_by(Role::Control));
    expect_true!(propose.may_be_sent_by(Role::Sidecar));
}

// Guards against processes of one wire version that don't understand each other: bytes are a length and themselves,
// however they are serialised.
#[gtest]
fn bytes_are_encoded_in_one_piece() {
    let frame = encode(&Message::Member(vec![7, 200, 0])).unwrap();
    expect_that!(frame, eq(&vec![0, 0, 0, 5, 4, 3, 7, 200, 0]));
    let (body, _) = split_frame(&frame).unwrap().unwrap();
    expect_that!(decode::<(u8, Vec<u8>)>(body), ok(eq(&(4, vec![7, 200, 0]))));
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn arbitrary_bytes_decode_to_an_error_or_a_message(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(message) = decode::<Message>(&bytes) {
            let frame = encode(&message).unwrap();
            let (body, _) = split_frame(&frame).unwrap().unwrap();
            prop_assert_eq!(decode::<Message>(body).unwrap(), message);
        }
    }

    #[test]
    fn a_truncated_frame_is_incomplete(cut in 0_usize..20) {
        let frame = encode(&cancel()).unwrap();
        let cut = cut.min(frame.len() - 1);
        prop_assert!(split_frame(&frame[..cut]).unwrap().is_none());
    }
}
