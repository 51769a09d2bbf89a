//! Memory and sockets that an entry holds for its callers.
//!
//! Callers that read or send slowly, and floods of connections that are relayed to neighbours, make an
//! entry hold far more than requests in progress account for. A host that goes over its memory is killed
//! with all its connections, and one without free descriptors accepts no caller at all. So everything
//! that is held is counted: above a share of the limits connections are not kept for further requests,
//! above a larger one new requests are refused before their bodies are read, and at the limits new
//! connections are closed.
//!
//! The callers of one account share what is left with the others: an account may hold as much as is
//! still free, so that slow callers of one account never take the room of all. Long responses leave a
//! part of that free for new requests.

mod hold;
mod limits;
mod resources;

pub use hold::Hold;
pub use limits::{HostLimits, Load};
pub use resources::{HeldKind, HeldResources};
