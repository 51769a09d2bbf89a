//! The task of one attempt at the sidecar: passes pieces to the entry, and keeps them for one whose
//! connection broke.

use std::collections::VecDeque;
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
use super::upstream_call::Part;

/// How long the pieces are kept for an entry whose connection broke; as long as the entry tries.
const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Bytes of pieces kept for one attempt; a slower entry than that gets an explicit error.
const MAX_KEPT_BYTES: usize = 512 * 1024;
/// Tokens between two reports of service while a stream runs: the service of others is weighed
/// against it at most this late.
const TOKENS_PER_REPORT: u64 = 16;

/// A stream by which an entry takes an attempt up again.
pub(super) struct Resumed {
    pub(super) stream: AttemptStream,
    pub(super) from: u64,
}

/// How an attempt is reached while it runs.
#[derive(Clone)]
pub(super) struct RunnerControl {
    pub(super) cancelled: Arc<AtomicBool>,
    pub(super) wake: Arc<Notify>,
    pub(super) resume: mpsc::Sender<Resumed>,
}

impl RunnerControl {
    /// Ends the attempt: its caller has gone.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
        self.wake.notify_one();
    }
}

/// What an attempt costs.
#[derive(Debug, Clone, Copy)]
pub(super) enum Cost {
    Tokens(TokenWeights),
    Call(ServiceUnits),
}

/// One attempt.
pub(super) struct Runner {
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamName,
    pub(super) cost: Cost,
    pub(super) stream: Option<AttemptStream>,
    pub(super) parts: mpsc::Receiver<Part>,
    pub(super) resumed: mpsc::Receiver<Resumed>,
    pub(super) control: RunnerControl,
    pub(super) tx: Channel<SidecarMsg>,
    pub(super) state: Progress,
}

/// How far an attempt has come.
#[derive(Default)]
pub(super) struct Progress {
    frames: VecDeque<(u64, Vec<u8>)>,
    kept_bytes: usize,
    next: u64,
    head: Option<(u16, String)>,
    usage: Usage,
    reported: u64,
    lost_at: Option<Instant>,
    last: Option<AttemptReply>,
}

impl Runner {
    /// Runs until the upstream has ended and the entry has it all, or is gone for good.
    pub(super) async fn run(mut self) {
        while self.state.last.is_none() {
            let give_up_at = self.give_up_at();
            tokio::select! {
                part = self.parts.recv() => self.take(part).await,
                Some(resumed) = self.resumed.recv() => self.take_up(resumed).await,
                () = self.control.wake.notified() => self.cancel().await,
                () = tokio::time::sleep_until(give_up_at) => self.cancel().await,
            }
        }
        let ended = SidecarMsg::Ended {
            attempt: self.attempt,
            usage: self.state.usage,
            outcome: match &self.state.last {
                Some(AttemptReply::Failed { reason, .. }) => RunOutcome::Failed(*reason),
                Some(AttemptReply::NotStarted { .. }) => RunOutcome::NotReached,
                _ => RunOutcome::Finished,
            },
        };
        self.tx.send(ended);
        self.hand_over().await;
        self.tx.send(SidecarMsg::Forgotten {
            attempt: self.attempt,
        });
    }

    /// When the attempt is given up: a while after its entry went, and never while it is there.
    fn give_up_at(&self) -> Instant {
        self.state
            .lost_at
            .map_or_else(far_off, |lost_at| lost_at + RESUME_WINDOW)
    }

    async fn take(&mut self, part: Option<Part>) {
        match part {
            Some(Part::NotReached) => {
                let reason = NotStartedReason::NotReached;
                self.end(AttemptReply::NotStarted {
                    attempt: self.attempt,
                    reason,
                })
                .await;
            }
            Some(Part::Head {
                status,
                content_type,
            }) => {
                self.state.head = Some((status, content_type));
                self.send_start().await;
            }
            Some(Part::Piece { data, tokens }) => self.take_piece(data, tokens).await,
            Some(Part::Usage(usage)) => {
                self.state.usage.tokens_in = usage.prompt_tokens;
                self.state.usage.tokens_out =
                    usage.completion_tokens.max(self.state.usage.tokens_out);
            }
            Some(Part::Done) => {
                self.state.usage.service = self.service();
                let (attempt, pieces, usage) = (self.attempt, self.state.next, self.state.usage);
                self.end(AttemptReply::Done {
                    attempt,
                    pieces,
                    usage,
                })
                .await;
            }
            Some(Part::Failed(reason)) => self.fail(reason).await,
            None => self.fail(FailReason::UpstreamBroke).await,
        }
    }

    async fn take_piece(&mut self, data: Vec<u8>, tokens: u64) {
        if self.state.next == 0 {
            self.tx.send(SidecarMsg::FirstPiece {
                attempt: self.attempt,
            });
        }
        self.state.usage.tokens_out += tokens;
        if self.state.usage.tokens_out >= self.state.reported + TOKENS_PER_REPORT {
            self.state.reported = self.state.usage.tokens_out;
            let total = self.service();
            self.tx.send(SidecarMsg::Progress {
                attempt: self.attempt,
                tokens: self.state.usage.tokens_out,
                total,
            });
        }
        let seq = self.state.next;
        self.state.next += 1;
        self.send(&AttemptReply::Piece {
            attempt: self.attempt,
            seq,
            data: data.clone(),
        })
        .await;
        self.state.keep(seq, data);
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
        self.control.cancelled.store(true, Ordering::Relaxed);
        self.fail(FailReason::Cancelled).await;
    }

    async fn fail(&mut self, reason: FailReason) {
        self.state.usage.service = self.service();
        let (attempt, usage) = (self.attempt, self.state.usage);
        self.end(AttemptReply::Failed {
            attempt,
            reason,
            usage,
        })
        .await;
    }

    async fn end(&mut self, last: AttemptReply) {
        self.send(&last).await;
        self.state.last = Some(last);
    }

    async fn send_start(&mut self) {
        let Some((status, content_type)) = self.state.head.clone() else {
            return;
        };
        let attempt = self.attempt;
        let upstream = self.upstream.clone();
        self.send(&AttemptReply::Started { attempt, upstream })
            .await;
        self.send(&AttemptReply::Head {
            attempt,
            status,
            content_type,
        })
        .await;
    }

    async fn send(&mut self, reply: &AttemptReply) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if write_frame(&mut stream.send, reply).await.is_err() {
            self.stream = None;
            self.state.lost_at = Some(Instant::now());
        }
    }

    /// An entry is back: it is sent what it has not seen.
    async fn take_up(&mut self, resumed: Resumed) {
        self.stream = Some(resumed.stream);
        self.state.lost_at = None;
        let first_kept = self
            .state
            .frames
            .front()
            .map_or(self.state.next, |(seq, _)| *seq);
        if resumed.from < first_kept || resumed.from > self.state.next {
            self.control.cancelled.store(true, Ordering::Relaxed);
            return self.fail(FailReason::PiecesGone).await;
        }
        self.send_start().await;
        let missed: Vec<_> = self
            .state
            .frames
            .iter()
            .filter(|(seq, _)| *seq >= resumed.from)
            .cloned()
            .collect();
        for (seq, data) in missed {
            self.send(&AttemptReply::Piece {
                attempt: self.attempt,
                seq,
                data,
            })
            .await;
        }
    }

    /// Keeps the end for an entry that may not have got it, until it confirms or the window closes.
    async fn hand_over(&mut self) {
        let window = Instant::now() + RESUME_WINDOW;
        loop {
            if let Some(stream) = &mut self.stream {
                let finished = stream.send.finish().is_ok();
                // Resolves when the entry has acknowledged every byte, or has gone.
                let acknowledged = tokio::time::timeout_at(window, stream.send.stopped()).await;
                if finished && matches!(acknowledged, Ok(Ok(_))) {
                    return;
                }
                self.stream = None;
            }
            let Ok(Some(resumed)) = tokio::time::timeout_at(window, self.resumed.recv()).await
            else {
                return;
            };
            self.take_up(resumed).await;
            if let Some(last) = self.state.last.clone() {
                self.send(&last).await;
            }
        }
    }
}

impl Progress {
    fn keep(&mut self, seq: u64, data: Vec<u8>) {
        self.kept_bytes += data.len();
        self.frames.push_back((seq, data));
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((_, oldest)) = self.frames.pop_front() else {
                return;
            };
            self.kept_bytes -= oldest.len();
        }
    }
}

/// A time that no attempt lives to see.
fn far_off() -> Instant {
    Instant::now() + Duration::from_secs(24 * 60 * 60)
}
