//! What an attempt buffers.

use googletest::prelude::*;

use super::{MAX_BUFFERED_BYTES, RunnerState};

/// Guards against chunks of a few bytes whose memory isn't counted.
#[googletest::test]
fn many_small_chunks_take_no_more_memory_than_few_long_ones() {
    let mut state = RunnerState::default();
    for seq in 0..200_000 {
        state.buffer_chunk(seq, b":\n\n".to_vec());
    }
    let held: usize = state.buffered.iter().map(|(_, data)| data.capacity()).sum();
    let entries = state.buffered.len() * size_of::<(u64, Vec<u8>)>();
    expect_that!(held + entries, le(MAX_BUFFERED_BYTES));
    expect_that!(state.buffered.back().unwrap().0, eq(199_999));
}
