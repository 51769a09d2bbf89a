//! Control messages, and the roles that may send them.

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
    /// From a host or an operator to a control host.
    ToRelay(ToRelay),
    /// From a control host to a host or an operator.
    FromRelay(FromRelay),
    /// Between members of the control group: a consensus message.
    Member(#[serde(with = "coltsfootnotch_types::bytes_format")] Vec<u8>),
    /// Between control hosts: state of the relays that is not in the log.
    BetweenRelays(#[serde(with = "coltsfootnotch_types::bytes_format")] Vec<u8>),
}

impl Message {
    /// Whether a peer whose certificate states `role` may send this message.
    ///
    /// Prevents the use of a stolen key for the messages of another role, such as votes in the
    /// control group with the key of a sidecar.
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
            Self::ToRelay(
                ToRelay::Load { .. }
                | ToRelay::LoadElsewhere
                | ToRelay::FindStream { .. }
                | ToRelay::StreamMoved { .. }
                | ToRelay::Lease { .. }
                | ToRelay::Handover { .. }
                | ToRelay::Retries(_),
            ) => role == Role::Entry,
            // The control host checks which operations a role may propose.
            Self::ToRelay(ToRelay::Propose { .. }) => role != Role::Control,
            Self::ToRelay(ToRelay::AdmitMember { .. } | ToRelay::RemoveMember { .. }) => {
                role == Role::Operator
            }
            Self::ToRelay(ToRelay::ConfigConfirmed { .. } | ToRelay::Status { .. }) => true,
        }
    }
}
