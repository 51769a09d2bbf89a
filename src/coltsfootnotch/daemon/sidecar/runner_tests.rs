//! What an attempt buffers, and how it ends.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AttemptId;
use googletest::prelude::*;
use stakker::Stakker;
use stakker::sync::Channel;
use tokio::sync::{Notify, mpsc};

use super::{Cost, MAX_BUFFERED_BYTES, ResponsePart, Runner, RunnerHandle, RunnerState};

/// Time in which the call of an attempt ends after it, on a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);

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

/// Guards against a call that waits to pass on the next part of a response after its attempt has ended.
#[googletest::test]
fn an_attempt_that_has_ended_takes_no_more_parts() {
    let mut stakker = Stakker::new(std::time::Instant::now());
    stakker.set_poll_waker(|| {});
    let (tx, _guard) = Channel::new(&mut stakker, stakker::fwd_nop!());
    let (parts_tx, parts) = mpsc::channel(1);
    let (resume, resume_requests) = mpsc::channel(1);
    let handle = RunnerHandle {
        cancelled: Arc::new(AtomicBool::new(false)),
        cancel_notify: Arc::new(Notify::new()),
        resume,
    };
    let runner = Runner {
        attempt: AttemptId {
            entry: Incarnation(1),
            request: 1,
            attempt: 0,
        },
        upstream: UpstreamName::new("llm-1").unwrap(),
        cost: Cost::Call(ServiceUnits(1)),
        stream: None,
        parts,
        resume_requests,
        handle: handle.clone(),
        tx,
        state: RunnerState::default(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_time().build().unwrap();
    let is_closed = runtime.block_on(async move {
        tokio::spawn(runner.run());
        handle.cancel();
        let sending = async {
            let part = || ResponsePart::Chunk {
                data: b":\n\n".to_vec(),
                tokens: 0,
            };
            while parts_tx.send(part()).await.is_ok() {}
        };
        tokio::time::timeout(CLOSE_TIMEOUT, sending).await.is_ok()
    });
    expect_true!(is_closed);
}
