//! Types shared by the daemons.

pub mod config_patch;
mod host_cx;
mod proposal;
mod refusal;

pub use host_cx::{HostCx, HostIdentity};
pub use proposal::{ProposalError, decode_op, decode_reply, encode_op, encode_reply};
pub use refusal::{Refusal, RefusalKind};
