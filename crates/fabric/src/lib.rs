//! QUIC connections with mutual TLS between the fleet's processes, and the keys for them.
//!
//! Every process has one UDP endpoint. Two processes connect only if the fleet's authority signed
//! both certificates; each certificate contains one role and one host. A connection carries an
//! ordered control stream of [`Message`](coltsfootnotch_wire::Message) frames and one stream per
//! attempt. Each [`Event`] is passed to a handler, which runs on the runtime's threads and must not
//! block. [`PeerLimits`] bound what peers make a process hold, also before they have shown a key.

mod accept_any;
mod connection;
mod credentials;
mod endpoint;
mod event;
mod frame_memory;
mod frames;
mod keys;
mod link;
mod peer;
mod peer_limits;
mod send_queues;

pub use credentials::{Credentials, CredentialsError};
pub use endpoint::{DialHandle, Endpoint, EndpointError, Traffic};
pub use event::{Event, LinkId, MessageHold};
pub use frame_memory::{FrameHold, FrameMemory, ReceiveError};
pub use frames::{FrameError, read_frame, write_frame};
pub use keys::{Authority, IssuedKey, KeysError};
pub use link::{AttemptStream, LinkTx};
pub use peer::{PeerError, PeerId};
pub use peer_limits::PeerLimits;
