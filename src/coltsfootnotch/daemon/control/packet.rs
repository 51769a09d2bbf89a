//! Packets between control hosts that no other crate defines.
//!
//! A [`MemberPacket`] travels inside `Message::Member`, a [`RelayPacket`] inside
//! `Message::BetweenRelays`; the connection's certificate has already authenticated the sender as a
//! control host.

use coltsfootnotch_consensus::{MemberId, Message};
use coltsfootnotch_membership::{SummaryDelta, SumsDelta};
use coltsfootnotch_state::EvacuationOrder;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{BegunStreams, CrashReport, MembersError, ProposeError};
use serde::{Deserialize, Serialize};

use super::seeded::SeededHello;

/// A packet between members of the control group.
#[derive(Debug, Serialize, Deserialize)]
pub enum MemberPacket {
    /// The first packet of a connection; sent again after changes.
    Hello(MemberHello),
    /// A message of the replicated log.
    Log {
        /// The sender.
        from: MemberId,
        /// The message.
        msg: Message,
    },
    /// A request to the leader.
    Request {
        /// Identifies the response.
        id: u64,
        /// The request.
        body: LeaderRequest,
    },
    /// An upstream has reported to the sender that it has left.
    UpstreamLeft {
        /// Its identity.
        id: String,
        /// Start time of the run that left, if reported, in Unix milliseconds.
        born_ms: Option<u64>,
    },
    /// Load of the entries that report to the sender.
    Load(LoadPart),
    /// The response to a `Request`.
    Response {
        /// Number of the request.
        id: u64,
        /// The response.
        response: LeaderResponse,
    },
}

/// Load of the entries that report to one control host, since its last packet on the connection.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadPart {
    /// Number of the entries.
    pub entries: u32,
    /// Sum of their reports: an encoded [`LoadChanges`](coltsfootnotch_wire::LoadChanges).
    #[serde(with = "coltsfootnotch_types::bytes_format")]
    pub load: Vec<u8>,
    /// What they know of segments that crash upstreams.
    pub crashes: CrashReport,
    /// Streams that they have begun.
    pub streams: Vec<BegunStreams>,
}

/// Identity and state of a member, for the bootstrap of a group and the admission of new members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHello {
    /// The member: its host and its disk.
    pub member: MemberId,
    /// The control hosts listed in its settings, sorted.
    pub listed: Vec<HostName>,
    /// Whether its log is empty and it belongs to no group.
    pub empty: bool,
    /// State of its discovery, if it uses discovery.
    pub seeded: Option<SeededHello>,
}

/// A request that only the leader can execute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Propose an operation, encoded by [`crate::core::encode_op`].
    Propose(#[serde(with = "coltsfootnotch_types::bytes_format")] Vec<u8>),
    /// Get the index that must be applied before a linearizable read.
    Read,
    /// Add the member currently running on `host`, and remove the one that it replaces.
    Admit {
        /// The host of the new member.
        host: HostName,
        /// The host of the voter to remove once the new member is a voter; may be the same host after
        /// the loss of its disk.
        replaces: Option<HostName>,
        /// The log index that the control host had applied while the caller waited for its response.
        known: u64,
    },
    /// Remove the member on `host`.
    Remove {
        /// The host.
        host: HostName,
        /// As for `Admit`.
        known: u64,
    },
    /// Start or end the evacuation of a failure domain.
    Evacuate(EvacuationOrder),
}

impl LeaderRequest {
    /// Whether the request has no number by which a late one could be told from a new one.
    #[must_use]
    pub fn is_unnumbered(&self) -> bool {
        match self {
            Self::Propose(_) | Self::Read => false,
            Self::Admit { .. } | Self::Remove { .. } | Self::Evacuate(_) => true,
        }
    }

    /// Records, in an unnumbered request, the log index that its control host has applied.
    pub(super) fn set_known(&mut self, index: u64) {
        match self {
            Self::Propose(_) | Self::Read => {}
            Self::Admit { known, .. } | Self::Remove { known, .. } => *known = index,
            Self::Evacuate(order) => order.known = index,
        }
    }
}

/// The outcome of a [`LeaderRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// This member is not the leader. The request has no effect and may be retried.
    NotLeader,
    /// The reply of the state machine, encoded by [`crate::core::encode_reply`].
    Proposed(Result<Vec<u8>, ProposeError>),
    /// The index that must be applied before the read.
    Read(u64),
    /// The membership change was committed or refused.
    Members(Result<(), MembersError>),
}

/// Update between relays: the changes since the previous packet on the connection.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayPacket {
    /// Changes of the hosts attached to the sender.
    pub hosts: Option<SummaryDelta>,
    /// Changes of service sums.
    pub sums: Vec<SumsDelta>,
}
