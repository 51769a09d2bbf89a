//! Messages between members. These are wire types, to be encoded with any serde codec.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, MemberId, SnapshotMeta, Term};

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The receiver. A host that now has another disk, and thus another identity, ignores the
    /// message.
    pub to: MemberId,
    /// The sender's term.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the next term. Neither side changes
    /// its state, which guards against a partitioned member raising the term when it reconnects.
    PreVote {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to [`Body::PreVote`].
    PreVoteReply {
        /// The term of the prospective vote.
        for_term: Term,
        /// Whether the receiver would get the vote.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// The election is part of a leadership transfer, so a live leader is no reason to refuse.
        transfer: bool,
    },
    /// Reply to [`Body::Vote`], sent once the vote is synced.
    VoteReply {
        /// Whether the receiver got the vote.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat if there are none.
    Append {
        /// The entry before the first of `entries`.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries after `prev_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The heartbeat round that the message belongs to.
        round: u64,
    },
    /// The sender's log matches the leader's up to `matched` and is synced.
    Appended {
        /// Last matching entry.
        matched: LogIndex,
        /// The heartbeat round of the message this replies to.
        round: u64,
    },
    /// The sender's log lacks `prev_index` or has a different entry at that index.
    AppendRejected {
        /// The `prev_index` of the message this replies to.
        prev_index: LogIndex,
        /// The leader should next send the entry after this one.
        hint: LogIndex,
        /// The heartbeat round of the message this replies to.
        round: u64,
    },
    /// A chunk of a snapshot, for a member that lags behind the start of the leader's log.
    Chunk {
        /// The snapshot that the chunk belongs to.
        meta: SnapshotMeta,
        /// Offset of the chunk, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total: u64,
        /// Checksum (CRC-32) of the whole snapshot.
        crc: u32,
        /// Data of the chunk.
        #[serde(with = "coltsfootnotch_types::bytes_format")]
        data: Arc<[u8]>,
        /// The heartbeat round that the message belongs to.
        round: u64,
    },
    /// Requests the chunk of the snapshot that starts at `offset`.
    ChunkReply {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Offset of the next chunk, in bytes.
        offset: u64,
        /// The heartbeat round of the message this replies to.
        round: u64,
    },
    /// Leadership transfer: the receiver, whose log is complete, starts an election immediately.
    TimeoutNow,
}
