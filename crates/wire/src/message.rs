//! Every control message, and which role may send it.

use coltsfootnotch_types::Role;
use serde::{Deserialize, Serialize};

use crate::{FromRelay, FromSidecar, ToRelay, ToSidecar};

/// A frame on the control stream of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From an entry to a sidecar.
    ToSidecar(ToSidecar),
    /// From a sidecar to an entry.
    FromSidecar(FromSidecar),
    /// From a host or operator to a control host.
    ToRelay(ToRelay),
    /// From a control host to a host or operator.
    FromRelay(FromRelay),
    /// Between members of the control group: a message of the replicated log.
    Member(Vec<u8>),
    /// Between control hosts: soft state of the relays.
    BetweenRelays(Vec<u8>),
}

impl Message {
    /// Whether a process whose certificate names `role` may send this message.
    ///
    /// Without this check one stolen sidecar key could vote in the control group or apply a
    /// configuration; with it a key speaks only for its own role.
    ///
    /// ```
    /// use coltsfootnotch_types::Role;
    /// use coltsfootnotch_wire::Message;
    /// assert!(Message::Member(vec![]).may_be_sent_by(Role::Control));
    /// assert!(!Message::Member(vec![]).may_be_sent_by(Role::Sidecar));
    /// ```
    #[must_use]
    pub fn may_be_sent_by(&self, role: Role) -> bool {
        match self {
            Self::ToSidecar(_) => role == Role::Entry,
            Self::FromSidecar(_) => role == Role::Sidecar,
            Self::FromRelay(_) | Self::Member(_) | Self::BetweenRelays(_) => role == Role::Control,
            Self::ToRelay(ToRelay::Heartbeat(heartbeat)) => heartbeat.record.role == role,
            Self::ToRelay(ToRelay::Service(_)) => role == Role::Sidecar,
            Self::ToRelay(ToRelay::Load { .. } | ToRelay::Lease { .. }) => role == Role::Entry,
            // Which operations a role may propose is the control host's check.
            Self::ToRelay(ToRelay::Propose { .. }) => role != Role::Control,
            Self::ToRelay(ToRelay::AdmitMember { .. } | ToRelay::RemoveMember { .. }) => {
                role == Role::Operator
            }
            Self::ToRelay(ToRelay::ConfigConfirmed { .. } | ToRelay::Status { .. }) => true,
        }
    }
}
