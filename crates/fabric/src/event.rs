//! What happens on an endpoint.

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::Message;
use derive_more::Display;

use crate::{AttemptStream, LinkTx, PeerId};

/// Names one connection within a process; a later connection to the same host has another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct LinkId(pub u64);

/// What happens on an endpoint. For one link: `Up`, then messages and streams, then `Down`.
#[derive(Debug)]
pub enum Event {
    /// A connection stands.
    Up {
        /// The connection.
        link: LinkId,
        /// Who is at the other end.
        peer: PeerId,
        /// The run of its process.
        incarnation: Incarnation,
        /// Sends on it.
        tx: LinkTx,
    },
    /// A control message came that the peer's role may send.
    Message {
        /// The connection.
        link: LinkId,
        /// Who sent it.
        peer: PeerId,
        /// The message.
        message: Message,
    },
    /// The peer opened a stream.
    Stream {
        /// The connection.
        link: LinkId,
        /// Who opened it.
        peer: PeerId,
        /// The stream.
        stream: AttemptStream,
    },
    /// A peer sent what its role may not send; the connection was closed.
    Forbidden {
        /// Who sent it.
        peer: PeerId,
    },
    /// The connection is gone.
    Down {
        /// The connection.
        link: LinkId,
        /// Who was at the other end.
        peer: PeerId,
    },
}
