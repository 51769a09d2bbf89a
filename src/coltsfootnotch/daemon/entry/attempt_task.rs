//! The task of one attempt, which owns its stream and delivers the chunks in order, exactly once.

use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_fabric::{AttemptStream, LinkTx, read_frame, write_frame};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptReply, FailReason, OpenAttempt, OpenCause, Usage};
use metrics::Histogram;
use tokio::sync::{mpsc, watch};

use super::ResponsePart;
use super::attempt_result::{AttemptResult, CollectedResponse};
use crate::core::HostCx;
use crate::util::events;

/// Time within which a broken connection must be re-established to resume the response.
pub(super) const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Maximum size of a collected response body, in bytes; a larger one fails the attempt.
const MAX_COLLECTED_BYTES: usize = 8 * 1024 * 1024;

/// Watches the connection to a sidecar; none while it is down.
pub(super) type LinkWatch = watch::Receiver<Option<(Incarnation, LinkTx)>>;

/// State of one attempt.
pub(super) struct AttemptTask {
    pub(super) cx: HostCx,
    pub(super) open: OpenAttempt,
    pub(super) link: LinkWatch,
    pub(super) response: mpsc::Sender<ResponsePart>,
    /// Whether chunks are streamed to the caller; otherwise the response is collected.
    pub(super) stream: bool,
    pub(super) write_timeout: Duration,
    pub(super) next_seq: u64,
    pub(super) collected: CollectedResponse,
    pub(super) first_chunk_at: Option<Duration>,
    /// Arrival time of the last chunk, for the time between tokens.
    pub(super) last_chunk_at: Option<Duration>,
    pub(super) chunk_gaps: Histogram,
    pub(super) upstream: Option<UpstreamName>,
}

enum Step {
    Continue,
    Finished(AttemptResult),
    Broken,
}

impl AttemptTask {
    /// Runs the attempt until it finishes.
    pub(super) async fn run(mut self) -> AttemptResult {
        let Some(mut stream) = self.open().await else {
            return AttemptResult::NotSent;
        };
        loop {
            match self.read_until_broken(&mut stream).await {
                Step::Finished(result) => return result,
                Step::Continue | Step::Broken => {}
            }
            let Some(resumed) = self.resume().await else {
                return AttemptResult::ConnectionLost {
                    delivered: self.next_seq > 0 && self.stream,
                    upstream: self.upstream,
                };
            };
            stream = resumed;
        }
    }

    async fn open(&mut self) -> Option<AttemptStream> {
        let link = self.current_link()?;
        let mut stream = link.open().await.ok()?;
        // A failed write may still have reached the sidecar, which the read then shows.
        let _sent = write_frame(&mut stream.send, &self.open).await;
        Some(stream)
    }

    /// Returns the connection to the sidecar incarnation of the attempt, if it is up.
    fn current_link(&self) -> Option<LinkTx> {
        let link = self.link.borrow();
        let (incarnation, tx) = link.as_ref()?;
        (*incarnation == self.open.sidecar).then(|| tx.clone())
    }

    async fn resume(&mut self) -> Option<AttemptStream> {
        tokio::time::timeout(RESUME_WINDOW, self.reopen())
            .await
            .ok()
            .flatten()
    }

    async fn reopen(&mut self) -> Option<AttemptStream> {
        self.open.cause = OpenCause::Resume {
            from: self.next_seq,
        };
        self.open.call.body.clear();
        loop {
            // The watch may report a broken link as up until its loss is detected.
            self.link.changed().await.ok()?;
            if self
                .link
                .borrow()
                .as_ref()
                .is_some_and(|(run, _)| *run != self.open.sidecar)
            {
                return None;
            }
            if let Some(stream) = self.open().await {
                return Some(stream);
            }
        }
    }

    async fn read_until_broken(&mut self, stream: &mut AttemptStream) -> Step {
        loop {
            let Ok(message) = read_frame::<AttemptReply>(&mut stream.recv).await else {
                return Step::Broken;
            };
            match self.on_reply(message).await {
                Step::Continue => {}
                step => return step,
            }
        }
    }

    async fn on_reply(&mut self, message: AttemptReply) -> Step {
        if message.attempt() != self.open.attempt {
            self.record_dropped_chunk("crossed");
            return Step::Continue;
        }
        match message {
            AttemptReply::NotStarted { reason, .. } => {
                Step::Finished(AttemptResult::NotStarted(reason))
            }
            AttemptReply::Started { upstream, .. } => {
                self.upstream = Some(upstream);
                Step::Continue
            }
            AttemptReply::Head {
                status,
                content_type,
                ends_with_connection,
                ..
            } => {
                self.on_head(status, content_type, ends_with_connection);
                Step::Continue
            }
            AttemptReply::Chunk { seq, data, .. } => self.on_chunk(seq, data).await,
            AttemptReply::Done { chunks, usage, .. } if chunks == self.next_seq => {
                self.on_done(usage).await
            }
            // Chunks are missing, so the response must not count as complete.
            AttemptReply::Done { .. } => Step::Broken,
            AttemptReply::Failed { reason, .. } => {
                let delivered = self.stream && self.next_seq > 0;
                let upstream = self.upstream.take();
                Step::Finished(AttemptResult::Failed {
                    reason,
                    delivered,
                    upstream,
                })
            }
        }
    }

    async fn on_done(&mut self, usage: Usage) -> Step {
        // A response without a body still has a status.
        if self.stream
            && self.next_seq == 0
            && let Step::Finished(result) = self.send_head().await
        {
            return Step::Finished(result);
        }
        let collected = (!self.stream).then(|| std::mem::take(&mut self.collected));
        let first_chunk_at = self.first_chunk_at;
        Step::Finished(AttemptResult::Done {
            usage,
            collected,
            first_chunk_at,
        })
    }

    fn on_head(&mut self, status: u16, content_type: String, ends_with_connection: bool) {
        if self.next_seq > 0 || self.collected.status != 0 {
            return;
        }
        self.collected.status = status;
        self.collected.content_type = content_type;
        self.collected.ends_with_connection = ends_with_connection;
    }

    async fn on_chunk(&mut self, seq: u64, data: Vec<u8>) -> Step {
        if seq < self.next_seq {
            self.record_dropped_chunk("doubled");
            return Step::Continue;
        }
        if seq > self.next_seq {
            return Step::Broken;
        }
        let first = self.next_seq == 0;
        self.next_seq += 1;
        let now = self.cx.now();
        if let Some(last) = self.last_chunk_at.replace(now) {
            self.chunk_gaps
                .record(now.saturating_sub(last).as_secs_f64());
        }
        if first {
            self.first_chunk_at = Some(now);
        }
        if !self.stream {
            return self.collect(&data);
        }
        if first && let Step::Finished(result) = self.send_head().await {
            return Step::Finished(result);
        }
        self.deliver(ResponsePart::Chunk(Bytes::from(data))).await
    }

    /// Sends the head along with the first chunk; until then the attempt can be retried.
    async fn send_head(&mut self) -> Step {
        let status = self.collected.status;
        let content_type = std::mem::take(&mut self.collected.content_type);
        self.deliver(ResponsePart::Head {
            status,
            content_type,
            ends_with_connection: self.collected.ends_with_connection,
        })
        .await
    }

    fn collect(&mut self, data: &[u8]) -> Step {
        if self.collected.body.len() + data.len() > MAX_COLLECTED_BYTES {
            let reason = FailReason::UpstreamAborted;
            let upstream = self.upstream.take();
            return Step::Finished(AttemptResult::Failed {
                reason,
                delivered: false,
                upstream,
            });
        }
        self.collected.body.extend_from_slice(data);
        Step::Continue
    }

    async fn deliver(&mut self, part: ResponsePart) -> Step {
        match tokio::time::timeout(self.write_timeout, self.response.send(part)).await {
            Ok(Ok(())) => Step::Continue,
            Ok(Err(_)) | Err(_) => Step::Finished(AttemptResult::CallerStalled),
        }
    }

    fn record_dropped_chunk(&self, how: &str) {
        self.cx
            .metrics
            .counter("dropped_pieces", &[("how", how)])
            .increment(1);
        let attempt = self.open.attempt;
        self.cx.log(
            &events::RESPONSE_CHUNK_DROPPED,
            &[("attempt", &attempt), ("how", &how)],
        );
    }
}
