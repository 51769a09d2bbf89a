//! Message handling: term checks and dispatch.

use std::time::Duration;

use super::Core;
use super::install::Incoming;
use crate::{Body, LogIndex, MemberId, Message};

impl Core {
    /// Handles a message from another member. Messages addressed to another member are ignored.
    pub fn step(&mut self, now: Duration, from: &MemberId, msg: Message) {
        self.advance(now);
        if msg.to != self.me || *from == self.me {
            return;
        }
        match &msg.body {
            Body::PreVote {
                last_index,
                last_term,
            } => return self.on_pre_vote(from, msg.term, *last_index, *last_term),
            // A member in a lower term may grant a pre-vote for the next term.
            Body::PreVoteReply { for_term, granted } if msg.term <= self.hard.term => {
                return self.on_pre_vote_reply(from, *for_term, *granted);
            }
            Body::Vote { transfer, .. } if msg.term > self.hard.term => {
                if self.has_live_leader() && !transfer {
                    return;
                }
                self.follow(msg.term, None);
            }
            _ if msg.term > self.hard.term => self.follow(msg.term, None),
            _ => {}
        }
        if msg.term < self.hard.term {
            return self.on_outdated(from, &msg.body);
        }
        self.on_current(from, msg.body);
    }

    fn on_current(&mut self, from: &MemberId, body: Body) {
        match body {
            // Handled in `step`; a refusal from a higher term has already updated the term.
            Body::PreVote { .. } | Body::PreVoteReply { .. } => {}
            Body::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(from, last_index, last_term),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.record_leader_contact(from);
                self.on_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Body::Appended { matched, round } => self.on_appended(from, matched, round),
            Body::AppendRejected {
                prev_index,
                hint,
                round,
            } => self.on_append_rejected(from, prev_index, hint, round),
            Body::Chunk {
                meta,
                offset,
                total,
                crc,
                data,
                round,
            } => {
                self.record_leader_contact(from);
                self.on_chunk(from, Incoming::new(meta, total, crc), offset, &data, round);
            }
            Body::ChunkReply {
                index,
                offset,
                round,
            } => self.on_chunk_reply(from, index, offset, round),
            Body::TimeoutNow => self.on_timeout_now(),
        }
    }

    /// Handles a message of an earlier term. The reply informs an outdated leader or candidate of
    /// the current term; other messages are ignored.
    fn on_outdated(&mut self, from: &MemberId, body: &Body) {
        let answer = match body {
            Body::Append {
                prev_index, round, ..
            } => Body::AppendRejected {
                prev_index: *prev_index,
                hint: LogIndex(0),
                round: *round,
            },
            Body::Chunk { meta, round, .. } => Body::ChunkReply {
                index: meta.index,
                offset: 0,
                round: *round,
            },
            Body::Vote { .. } => Body::VoteReply { granted: false },
            _ => return,
        };
        self.answer(from, answer);
    }
}
