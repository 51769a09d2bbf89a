//! Connections between the fleet's own processes, and the keys that open them.
//!
//! Every process has one UDP endpoint. A connection stands only between two processes whose
//! certificates the fleet's authority has signed; each certificate names one role and one host.
//! A connection carries a control stream of [`Message`](coltsfootnotch_wire::Message) frames in
//! order and one stream per attempt. What arrives is handed to one closure, as an [`Event`]; the
//! closure is called on the runtime's threads and is expected to pass the event on.

mod any_peer;
mod credentials;
mod endpoint;
mod event;
mod frames;
mod keys;
mod link;
mod peer;

pub use credentials::{Credentials, CredentialsError};
pub use endpoint::{Dialed, Endpoint, EndpointError, Traffic};
pub use event::{Event, LinkId};
pub use frames::{FrameError, read_frame, write_frame};
pub use keys::{Authority, IssuedKey, KeysError};
pub use link::{AttemptStream, LinkTx};
pub use peer::{PeerError, PeerId};
