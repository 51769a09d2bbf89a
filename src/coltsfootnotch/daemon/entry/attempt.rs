//! The task of one attempt: it owns the attempt's stream and delivers the pieces in order, once.

use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_fabric::{AttemptStream, LinkTx, read_frame, write_frame};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptReply, Begin, BeginCause, FailReason, Usage};
use metrics::Histogram;
use tokio::sync::{mpsc, watch};

use super::ReplyPart;
use super::attempt_end::{AttemptEnd, Collected};
use crate::core::HostCx;
use crate::util::events;

/// How long a broken connection may take to come back before the answer is given up.
pub(super) const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Largest answer that is collected whole, in bytes; a larger one ends in an error.
const MAX_COLLECTED: usize = 8 * 1024 * 1024;

/// A connection to a sidecar run; none while it is down.
pub(super) type LinkWatch = watch::Receiver<Option<(Incarnation, LinkTx)>>;

/// One attempt.
pub(super) struct AttemptTask {
    pub(super) cx: HostCx,
    pub(super) begin: Begin,
    pub(super) link: LinkWatch,
    pub(super) reply: mpsc::Sender<ReplyPart>,
    /// Whether pieces go to the caller as they come; else the answer is collected.
    pub(super) stream: bool,
    pub(super) write_timeout: Duration,
    pub(super) next: u64,
    pub(super) collected: Collected,
    pub(super) first_piece: Option<Duration>,
    /// When the last piece came, for the time between tokens.
    pub(super) last_piece: Option<Duration>,
    pub(super) gaps: Histogram,
    pub(super) upstream: Option<UpstreamName>,
}

enum Step {
    Go,
    End(AttemptEnd),
    Broken,
}

impl AttemptTask {
    /// Runs the attempt to its end.
    pub(super) async fn run(mut self) -> AttemptEnd {
        let Some(mut stream) = self.open().await else {
            return AttemptEnd::NotSent;
        };
        loop {
            match self.read_until_broken(&mut stream).await {
                Step::End(end) => return end,
                Step::Go | Step::Broken => {}
            }
            let Some(resumed) = self.resume().await else {
                return AttemptEnd::Lost {
                    delivered: self.next > 0 && self.stream,
                    upstream: self.upstream,
                };
            };
            stream = resumed;
        }
    }

    async fn open(&mut self) -> Option<AttemptStream> {
        let link = self.current_link()?;
        let mut stream = link.open().await.ok()?;
        // A write that fails may still have reached the sidecar; that shows when reading.
        let _sent = write_frame(&mut stream.send, &self.begin).await;
        Some(stream)
    }

    /// The connection to the sidecar run that the attempt names, if it is up.
    fn current_link(&self) -> Option<LinkTx> {
        let link = self.link.borrow();
        let (incarnation, tx) = link.as_ref()?;
        (*incarnation == self.begin.sidecar).then(|| tx.clone())
    }

    async fn resume(&mut self) -> Option<AttemptStream> {
        tokio::time::timeout(RESUME_WINDOW, self.reopen())
            .await
            .ok()
            .flatten()
    }

    async fn reopen(&mut self) -> Option<AttemptStream> {
        self.begin.cause = BeginCause::Resume { from: self.next };
        self.begin.call.body.clear();
        loop {
            // The link that broke may be shown as up until its end is noticed.
            self.link.changed().await.ok()?;
            if self
                .link
                .borrow()
                .as_ref()
                .is_some_and(|(run, _)| *run != self.begin.sidecar)
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
            let Ok(reply) = read_frame::<AttemptReply>(&mut stream.recv).await else {
                return Step::Broken;
            };
            match self.take(reply).await {
                Step::Go => {}
                step => return step,
            }
        }
    }

    async fn take(&mut self, reply: AttemptReply) -> Step {
        if reply.attempt() != self.begin.attempt {
            self.drop_piece("crossed");
            return Step::Go;
        }
        match reply {
            AttemptReply::NotStarted { reason, .. } => Step::End(AttemptEnd::NotStarted(reason)),
            AttemptReply::Started { upstream, .. } => {
                self.upstream = Some(upstream);
                Step::Go
            }
            AttemptReply::Head {
                status,
                content_type,
                ..
            } => self.head(status, content_type).await,
            AttemptReply::Piece { seq, data, .. } => self.piece(seq, data).await,
            AttemptReply::Done { pieces, usage, .. } if pieces == self.next => {
                self.done(usage).await
            }
            // Pieces are missing: the answer must not pass for a whole one.
            AttemptReply::Done { .. } => Step::Broken,
            AttemptReply::Failed { reason, .. } => {
                let delivered = self.stream && self.next > 0;
                let upstream = self.upstream.take();
                Step::End(AttemptEnd::Failed {
                    reason,
                    delivered,
                    upstream,
                })
            }
        }
    }

    async fn done(&mut self, usage: Usage) -> Step {
        // An answer without a body still has a status.
        if self.stream
            && self.next == 0
            && let Step::End(end) = self.send_head().await
        {
            return Step::End(end);
        }
        let collected = (!self.stream).then(|| std::mem::take(&mut self.collected));
        let first_piece = self.first_piece;
        Step::End(AttemptEnd::Done {
            usage,
            collected,
            first_piece,
        })
    }

    async fn head(&mut self, status: u16, content_type: String) -> Step {
        if self.next > 0 || self.collected.status != 0 {
            return Step::Go;
        }
        self.collected.status = status;
        self.collected.content_type = content_type;
        Step::Go
    }

    async fn piece(&mut self, seq: u64, data: Vec<u8>) -> Step {
        if seq < self.next {
            self.drop_piece("doubled");
            return Step::Go;
        }
        if seq > self.next {
            return Step::Broken;
        }
        let first = self.next == 0;
        self.next += 1;
        let now = self.cx.now();
        if let Some(last) = self.last_piece.replace(now) {
            self.gaps.record(now.saturating_sub(last).as_secs_f64());
        }
        if first {
            self.first_piece = Some(now);
        }
        if !self.stream {
            return self.collect(&data);
        }
        if first && let Step::End(end) = self.send_head().await {
            return Step::End(end);
        }
        self.deliver(ReplyPart::Piece(Bytes::from(data))).await
    }

    /// The head goes out with the first piece, so that until then another sidecar may be tried.
    async fn send_head(&mut self) -> Step {
        let status = self.collected.status;
        let content_type = std::mem::take(&mut self.collected.content_type);
        self.deliver(ReplyPart::Head {
            status,
            content_type,
        })
        .await
    }

    fn collect(&mut self, data: &[u8]) -> Step {
        if self.collected.body.len() + data.len() > MAX_COLLECTED {
            let reason = FailReason::UpstreamBroke;
            let upstream = self.upstream.take();
            return Step::End(AttemptEnd::Failed {
                reason,
                delivered: false,
                upstream,
            });
        }
        self.collected.body.extend_from_slice(data);
        Step::Go
    }

    async fn deliver(&mut self, part: ReplyPart) -> Step {
        match tokio::time::timeout(self.write_timeout, self.reply.send(part)).await {
            Ok(Ok(())) => Step::Go,
            Ok(Err(_)) | Err(_) => Step::End(AttemptEnd::CallerStalled),
        }
    }

    fn drop_piece(&self, how: &str) {
        self.cx
            .metrics
            .counter("dropped_pieces", &[("how", how)])
            .increment(1);
        let attempt = self.begin.attempt;
        self.cx.log(
            &events::ANSWER_DROPPED,
            &[("attempt", &attempt), ("how", &how)],
        );
    }
}
