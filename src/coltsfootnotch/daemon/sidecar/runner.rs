//! Task of one attempt at the sidecar: forwards the response to the entry, and buffers chunks for
//! an entry that lost its connection.

use std::collections::VecDeque;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_fabric::{AttemptStream, write_frame};
use coltsfootnotch_manifest::TokenWeights;
use coltsfootnotch_router::RunOutcome;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, AttemptReply, FailReason, NotStartedReason, Usage};
use stakker::sync::Channel;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::actor::SidecarMsg;
use super::upstream_call::ResponsePart;

/// Time for which chunks are buffered for a disconnected entry; the entry retries as long.
const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Maximum size in bytes of the buffered chunks of an attempt, with their overhead; a slower entry gets an error.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// What a buffered chunk takes besides its data, in bytes: its entry and the overhead of its allocation.
const CHUNK_OVERHEAD_BYTES: usize = 64;
/// Tokens between two progress reports of a running stream, which bounds how far the fair ledger
/// lags behind.
const TOKENS_PER_REPORT: u64 = 16;

/// A stream on which an entry resumes an attempt.
pub(super) struct ResumeRequest {
    pub(super) stream: AttemptStream,
    /// Sequence number of the first chunk to send.
    pub(super) from: u64,
}

/// Handle to the task of a running attempt.
#[derive(Clone)]
pub(super) struct RunnerHandle {
    pub(super) cancelled: Arc<AtomicBool>,
    pub(super) cancel_notify: Arc<Notify>,
    pub(super) resume: mpsc::Sender<ResumeRequest>,
}

impl RunnerHandle {
    /// Cancels the attempt.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
        self.cancel_notify.notify_one();
    }
}

/// How the service of an attempt is computed.
#[derive(Debug, Clone, Copy)]
pub(super) enum Cost {
    /// From its token counts.
    Tokens(TokenWeights),
    /// A fixed cost for each call.
    Call(ServiceUnits),
}

/// Task of one attempt.
pub(super) struct Runner {
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamName,
    pub(super) cost: Cost,
    pub(super) stream: Option<AttemptStream>,
    pub(super) parts: mpsc::Receiver<ResponsePart>,
    pub(super) resume_requests: mpsc::Receiver<ResumeRequest>,
    pub(super) handle: RunnerHandle,
    pub(super) tx: Channel<SidecarMsg>,
    pub(super) state: RunnerState,
}

/// The head of the upstream's response.
#[derive(Clone)]
struct ResponseHead {
    status: u16,
    content_type: String,
    ends_with_connection: bool,
}

/// Mutable state of a [`Runner`].
#[derive(Default)]
pub(super) struct RunnerState {
    /// Sequence numbers and data of the buffered chunks.
    buffered: VecDeque<(u64, Vec<u8>)>,
    buffered_bytes: usize,
    next_seq: u64,
    head: Option<ResponseHead>,
    usage: Usage,
    reported_tokens: u64,
    disconnected_at: Option<Instant>,
    final_reply: Option<AttemptReply>,
}

impl Runner {
    /// Runs until the upstream has finished and the entry has acknowledged the response, or the
    /// resume window has passed.
    pub(super) async fn run(mut self) {
        while self.state.final_reply.is_none() {
            let abandon_at = self.abandon_at();
            tokio::select! {
                part = self.parts.recv() => self.on_part(part).await,
                Some(request) = self.resume_requests.recv() => self.resume(request).await,
                () = self.handle.cancel_notify.notified() => self.cancel().await,
                // The message that cancels the attempt may have come before the attempt.
                () = stopped(&mut self.stream) => self.cancel().await,
                () = tokio::time::sleep_until(abandon_at) => self.cancel().await,
            }
        }
        self.discard_parts();
        let finished = SidecarMsg::AttemptFinished {
            attempt: self.attempt,
            usage: self.state.usage,
            outcome: match &self.state.final_reply {
                Some(AttemptReply::Failed { reason, .. }) => RunOutcome::Failed(*reason),
                Some(AttemptReply::NotStarted { .. }) => RunOutcome::NotReached,
                _ => RunOutcome::Finished,
            },
        };
        self.tx.send(finished);
        self.wait_acknowledged().await;
        self.tx.send(SidecarMsg::RunnerExited {
            attempt: self.attempt,
        });
    }

    /// Discards what the call still has of the response, so that it doesn't wait to pass it on.
    fn discard_parts(&mut self) {
        self.parts.close();
        while self.parts.try_recv().is_ok() {}
    }

    /// Time at which the attempt is abandoned: [`RESUME_WINDOW`] after the entry disconnected, and
    /// never while it is connected.
    fn abandon_at(&self) -> Instant {
        self.state
            .disconnected_at
            .map_or_else(far_future, |disconnected_at| {
                disconnected_at + RESUME_WINDOW
            })
    }

    async fn on_part(&mut self, part: Option<ResponsePart>) {
        match part {
            Some(ResponsePart::NotReached) => {
                let reason = NotStartedReason::NotReached;
                self.finish(AttemptReply::NotStarted {
                    attempt: self.attempt,
                    reason,
                })
                .await;
            }
            Some(ResponsePart::BackoffRequested(time)) => {
                self.tx.send(SidecarMsg::BackoffRequested {
                    attempt: self.attempt,
                    time,
                });
            }
            Some(ResponsePart::Head {
                status,
                content_type,
                ends_with_connection,
            }) => {
                self.state.head = Some(ResponseHead {
                    status,
                    content_type,
                    ends_with_connection,
                });
                self.send_start().await;
            }
            Some(ResponsePart::Chunk { data, tokens }) => self.on_chunk(data, tokens).await,
            Some(ResponsePart::Usage(usage)) => {
                self.state.usage.tokens_in = usage.prompt_tokens;
                self.state.usage.tokens_out =
                    usage.completion_tokens.max(self.state.usage.tokens_out);
            }
            Some(ResponsePart::Done) => {
                self.state.usage.service = self.service();
                let (attempt, chunks, usage) =
                    (self.attempt, self.state.next_seq, self.state.usage);
                self.finish(AttemptReply::Done {
                    attempt,
                    chunks,
                    usage,
                })
                .await;
            }
            Some(ResponsePart::Failed(reason)) => self.fail(reason).await,
            None => self.fail(FailReason::UpstreamAborted).await,
        }
    }

    async fn on_chunk(&mut self, data: Vec<u8>, tokens: u64) {
        if self.state.next_seq == 0 {
            self.tx.send(SidecarMsg::FirstChunk {
                attempt: self.attempt,
            });
        }
        self.state.usage.tokens_out += tokens;
        if self.state.usage.tokens_out >= self.state.reported_tokens + TOKENS_PER_REPORT {
            self.state.reported_tokens = self.state.usage.tokens_out;
            let total = self.service();
            self.tx.send(SidecarMsg::Progress {
                attempt: self.attempt,
                tokens: self.state.usage.tokens_out,
                total,
            });
        }
        let seq = self.state.next_seq;
        self.state.next_seq += 1;
        self.send(&AttemptReply::Chunk {
            attempt: self.attempt,
            seq,
            data: data.clone(),
        })
        .await;
        self.state.buffer_chunk(seq, data);
    }

    fn service(&self) -> ServiceUnits {
        match self.cost {
            Cost::Tokens(weights) => {
                weights.service_units(self.state.usage.tokens_in, self.state.usage.tokens_out)
            }
            Cost::Call(units) => units,
        }
    }

    async fn cancel(&mut self) {
        self.handle.cancelled.store(true, Ordering::Relaxed);
        self.fail(FailReason::Cancelled).await;
    }

    async fn fail(&mut self, reason: FailReason) {
        self.state.usage.service = self.service();
        let (attempt, usage) = (self.attempt, self.state.usage);
        self.finish(AttemptReply::Failed {
            attempt,
            reason,
            usage,
        })
        .await;
    }

    async fn finish(&mut self, final_reply: AttemptReply) {
        self.send(&final_reply).await;
        self.state.final_reply = Some(final_reply);
    }

    async fn send_start(&mut self) {
        let Some(head) = self.state.head.clone() else {
            return;
        };
        let attempt = self.attempt;
        let upstream = self.upstream.clone();
        self.send(&AttemptReply::Started { attempt, upstream })
            .await;
        self.send(&AttemptReply::Head {
            attempt,
            status: head.status,
            content_type: head.content_type,
            ends_with_connection: head.ends_with_connection,
        })
        .await;
    }

    async fn send(&mut self, reply: &AttemptReply) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if let Err(e) = write_frame(&mut stream.send, reply).await {
            if e.is_stopped() {
                self.handle.cancel();
            }
            self.stream = None;
            self.state.disconnected_at = Some(Instant::now());
        }
    }

    /// Sends a reconnected entry the chunks that it has not received.
    async fn resume(&mut self, request: ResumeRequest) {
        self.stream = Some(request.stream);
        self.state.disconnected_at = None;
        let first_buffered = self
            .state
            .buffered
            .front()
            .map_or(self.state.next_seq, |(seq, _)| *seq);
        if request.from < first_buffered || request.from > self.state.next_seq {
            self.handle.cancelled.store(true, Ordering::Relaxed);
            return self.fail(FailReason::ChunksDiscarded).await;
        }
        self.send_start().await;
        let missed: Vec<_> = self
            .state
            .buffered
            .iter()
            .filter(|(seq, _)| *seq >= request.from)
            .cloned()
            .collect();
        for (seq, data) in missed {
            self.send(&AttemptReply::Chunk {
                attempt: self.attempt,
                seq,
                data,
            })
            .await;
        }
    }

    /// Waits until the entry has acknowledged the response, and resends what is missing on each
    /// resume, until [`RESUME_WINDOW`] has passed.
    async fn wait_acknowledged(&mut self) {
        let deadline = Instant::now() + RESUME_WINDOW;
        loop {
            if let Some(stream) = &mut self.stream {
                let finished = stream.send.finish().is_ok();
                // Resolves once the entry has acknowledged every byte or disconnected.
                let acknowledged = tokio::time::timeout_at(deadline, stream.send.stopped()).await;
                if finished && matches!(acknowledged, Ok(Ok(_))) {
                    return;
                }
                self.stream = None;
            }
            let Ok(Some(request)) =
                tokio::time::timeout_at(deadline, self.resume_requests.recv()).await
            else {
                return;
            };
            self.resume(request).await;
            if let Some(final_reply) = self.state.final_reply.clone() {
                self.send(&final_reply).await;
            }
        }
    }
}

/// Completes when the entry has dropped the stream, as when its caller has left.
async fn stopped(stream: &mut Option<AttemptStream>) {
    match stream {
        Some(stream) => stream.stopped().await,
        None => pending().await,
    }
}

impl RunnerState {
    /// Buffers a chunk, and drops the oldest ones beyond [`MAX_BUFFERED_BYTES`].
    fn buffer_chunk(&mut self, seq: u64, data: Vec<u8>) {
        self.buffered_bytes += data.len() + CHUNK_OVERHEAD_BYTES;
        self.buffered.push_back((seq, data));
        while self.buffered_bytes > MAX_BUFFERED_BYTES {
            let Some((_, oldest)) = self.buffered.pop_front() else {
                return;
            };
            self.buffered_bytes -= oldest.len() + CHUNK_OVERHEAD_BYTES;
        }
    }
}

/// A time beyond the deadline of any attempt.
fn far_future() -> Instant {
    Instant::now() + Duration::from_secs(24 * 60 * 60)
}

#[cfg(test)]
#[path = "runner_tests.rs"]
mod tests;
