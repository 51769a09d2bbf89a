//! What control hosts say to each other, besides what the packages define.
//!
//! A [`MemberPacket`] travels inside `Message::Member`, a [`RelayPacket`] inside
//! `Message::BetweenRelays`; the connection's certificate has already shown that a control host
//! sent them.

use coltsfootnotch_consensus::{MemberId, Message};
use coltsfootnotch_membership::{SummaryDelta, SumsDelta};
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{MembersError, ProposeError};
use serde::{Deserialize, Serialize};

use super::seeded::SeededHello;

/// Between members of the control group.
#[derive(Debug, Serialize, Deserialize)]
pub enum MemberPacket {
    /// The first packet of a connection, and again when it changes.
    Hello(MemberHello),
    /// A message of the replicated log.
    Log {
        /// Who sent it.
        from: MemberId,
        /// The message.
        msg: Message,
    },
    /// Asks the leader to do something.
    Ask {
        /// Matches the answer.
        id: u64,
        /// What to do.
        ask: Ask,
    },
    /// An upstream told the sender that it has left.
    UpstreamLeft {
        /// Its identity.
        id: String,
        /// Start of the run that left, where it said so.
        born_ms: Option<u64>,
    },
    /// Answers `Ask`.
    Answer {
        /// Matches the question.
        id: u64,
        /// The answer.
        answer: Answer,
    },
}

/// Who a member is, for founding a group and for admitting a newcomer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHello {
    /// The member: its host and its disk.
    pub member: MemberId,
    /// The control hosts of its settings, in order.
    pub listed: Vec<HostName>,
    /// Whether it holds no entry and knows of no group.
    pub empty: bool,
    /// Where and how it found the others, if it had to.
    pub seeded: Option<SeededHello>,
}

/// What only the leader can do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Propose an operation, encoded by [`crate::core::encode_op`].
    Propose(Vec<u8>),
    /// Name an index that a read must have applied to be linearizable.
    Read,
    /// Admit the member that now runs on `host`, and remove the one that it replaces.
    Admit {
        /// The host of the newcomer.
        host: HostName,
        /// The host of the voter to remove once the newcomer counts; may be the same host, whose
        /// disk was lost.
        replaces: Option<HostName>,
    },
    /// Remove the member on `host`.
    Remove {
        /// The host.
        host: HostName,
    },
}

/// What became of an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Nothing was done, and nothing will be: this member does not lead. It may be asked again.
    NotLeader,
    /// The reply of the state machine, encoded by [`crate::core::encode_reply`].
    Proposed(Result<Vec<u8>, ProposeError>),
    /// The index to wait for.
    Read(u64),
    /// The change of members is committed, or was refused.
    Members(Result<(), MembersError>),
}

/// Between control hosts as relays: what changed since the packet before on this connection.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayPacket {
    /// Hosts that the sender hears.
    pub hosts: Option<SummaryDelta>,
    /// Sums of service.
    pub sums: Vec<SumsDelta>,
}
