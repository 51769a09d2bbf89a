//! Events of an endpoint.

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::Message;
use derive_more::Display;
use tokio::sync::OwnedSemaphorePermit;

use crate::{AttemptStream, FrameHold, LinkTx, PeerId};

/// Identifies a connection within a process; each reconnection to a host gets a new id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct LinkId(pub u64);

/// What a message takes until it is handled, which is when this value is dropped.
#[derive(Debug)]
pub struct MessageHold {
    _permit: Option<OwnedSemaphorePermit>,
    _memory: FrameHold,
}

impl MessageHold {
    pub(crate) fn new(permit: Option<OwnedSemaphorePermit>, memory: FrameHold) -> Self {
        Self {
            _permit: permit,
            _memory: memory,
        }
    }
}

/// An event of an endpoint.
///
/// The events of a link are `Up`, then messages and streams, then `Down`.
#[derive(Debug)]
pub enum Event {
    /// A connection was established.
    Up {
        /// The connection.
        link: LinkId,
        /// The remote process.
        peer: PeerId,
        /// The incarnation of the remote process.
        incarnation: Incarnation,
        /// The sending half of the connection.
        tx: LinkTx,
    },
    /// A control message was received that the peer's role may send.
    Message {
        /// The connection.
        link: LinkId,
        /// The sender.
        peer: PeerId,
        /// The message.
        message: Message,
        /// What the message takes; the peer may send as much again once it is dropped.
        hold: MessageHold,
    },
    /// The peer opened a stream.
    Stream {
        /// The connection.
        link: LinkId,
        /// The process that opened the stream.
        peer: PeerId,
        /// The stream.
        stream: AttemptStream,
    },
    /// The peer sent a message that its role may not send; the connection is closed.
    Forbidden {
        /// The sender.
        peer: PeerId,
    },
    /// The connection was closed or lost.
    Down {
        /// The connection.
        link: LinkId,
        /// The remote process.
        peer: PeerId,
    },
}
