//! Messages between members. They are wire types: encode them with any serde codec.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, MemberId, SnapshotMeta, Term};

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The member it is meant for. A host that came back with another disk drops it: the sender
    /// speaks to a member that no longer exists.
    pub to: MemberId,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the next term. Changes nothing at
    /// either side, so a member that was cut off can't drive up the term on its return.
    PreVote {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// The term that the vote would be for.
        for_term: Term,
        /// Whether the receiver would get the vote.
        granted: bool,
    },
    /// Asks for the vote of the sender's term.
    Vote {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// The leader itself asked for this election, so hearing it lately is no objection.
        transfer: bool,
    },
    /// Answers [`Body::Vote`], once the vote is synced.
    VoteReply {
        /// Whether the receiver got the vote.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append {
        /// The entry before the first of `entries`.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries after `prev_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The round of heartbeats that the message belongs to.
        round: u64,
    },
    /// The sender's log matches the leader's up to `matched`, synced.
    Appended {
        /// Last matching entry.
        matched: LogIndex,
        /// The round of the message answered.
        round: u64,
    },
    /// The sender's log lacks `prev_index`, or holds another entry there.
    AppendRejected {
        /// The `prev_index` of the message answered.
        prev_index: LogIndex,
        /// The leader should try the entry after this one next.
        hint: LogIndex,
        /// The round of the message answered.
        round: u64,
    },
    /// A part of a snapshot, for a member that lags behind the leader's log.
    Chunk {
        /// The snapshot that the part belongs to.
        meta: SnapshotMeta,
        /// Place of the part, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total: u64,
        /// Checksum (CRC-32) of the whole snapshot.
        crc: u32,
        /// The bytes.
        data: Arc<[u8]>,
        /// The round of heartbeats that the message belongs to.
        round: u64,
    },
    /// Asks for the part of the snapshot that starts at `offset`.
    ChunkReply {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Place of the next part, in bytes.
        offset: u64,
        /// The round of the message answered.
        round: u64,
    },
    /// The leader hands over: the receiver, which has every entry, starts an election at once.
    TimeoutNow,
}
