//! Types of the daemons' own domain.

mod host_cx;
mod refusal;

pub use host_cx::{HostCx, HostIdentity};
pub use refusal::{Refusal, RefusalKind};
