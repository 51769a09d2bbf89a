//! Bytes of upstreams that become no part of a response.

use googletest::prelude::*;

use super::*;

/// Reads as long as the limit allows in one turn; returns the bytes.
fn read_a_turn(limit: &ReadLimit) -> u64 {
    limit.begin_turn();
    let mut read = 0;
    while let ReadAllowance::Bytes(bytes) = limit.allowance() {
        let bytes = bytes.min(3_000);
        limit.on_read(bytes);
        read += bytes as u64;
    }
    read
}

/// Guards against a connection that reads all that comes in one turn.
#[googletest::test]
fn a_turn_reads_a_bounded_part() {
    let limit = ReadLimit::default();
    expect_that!(read_a_turn(&limit), eq(TURN_BYTES));
    expect_that!(limit.allowance(), eq(ReadAllowance::NextTurn));
}

/// Guards against bytes that are read without end though no part of a response comes of them.
#[googletest::test]
fn bytes_without_progress_exceed_the_limit() {
    let limit = ReadLimit::default();
    let turns = (0..1_000).take_while(|_| read_a_turn(&limit) > 0).count() as u64;
    expect_that!(turns, eq(MAX_WITHOUT_PROGRESS / TURN_BYTES));
    expect_that!(limit.allowance(), eq(ReadAllowance::Exceeded));
    expect_that!(limit.exceeded_by(), some(eq(MAX_WITHOUT_PROGRESS)));
}

/// Guards against a limit that ends long responses.
#[googletest::test]
fn progress_keeps_a_long_response_within_the_limit() {
    let limit = ReadLimit::default();
    for _ in 0..1_000 {
        expect_that!(read_a_turn(&limit), eq(TURN_BYTES));
        limit.on_progress();
    }
    expect_that!(limit.exceeded_by(), none());
}
