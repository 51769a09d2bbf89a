//! Proxies that delay, drop or reset the traffic on each path.

mod rules;
mod tcp;
mod udp;

pub use rules::{Endpoint, Path, Rule, Rules};
pub use tcp::proxy_tcp;
pub use udp::proxy_udp;
