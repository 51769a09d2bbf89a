//! A proxy on each path, which delays, resets, cuts one way or silences.

mod rule;
mod tcp;
mod udp;

pub use rule::{Path, Place, Rule, Rules};
pub use tcp::proxy_tcp;
pub use udp::proxy_udp;
